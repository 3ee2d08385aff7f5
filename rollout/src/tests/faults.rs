//! The faults that a simulated fleet has.

/// Probabilities of faults; all 0 without faults.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub slow: f64,
    pub twice: f64,
    /// A holder is killed, at each point between permit and return.
    pub killed: f64,
    /// A holder is paused, at each point between permit and return.
    pub stopped: f64,
    /// A proposal reaches only one councillor, and its proposer is paused for 10 s.
    pub half: f64,
}
