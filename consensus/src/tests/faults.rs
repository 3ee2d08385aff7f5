//! The faults that a simulation injects.

/// Probabilities of faults, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Of all messages: lost.
    pub loss: usize,
    /// Of all messages: delivered twice.
    pub duplicate: usize,
    /// Of all steps of 50 ms: one direction of a link is cut for some hundred milliseconds.
    pub cut_link: usize,
    /// Of all steps of 50 ms: a councillor crashes.
    pub crash: usize,
    /// Of all crashes: the store is lost too, if a majority keeps its stores.
    pub lose_store: usize,
    /// Of all calls of a councillor: the upper layer's guard refuses accepts.
    pub refuse_accept: usize,
    /// Milliseconds that a disk sync takes beyond the 5 to 10 of a good disk.
    pub extra_sync_ms: usize,
}
