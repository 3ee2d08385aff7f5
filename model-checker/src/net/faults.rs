/// How much of each trouble one history may see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Messages lost on the way.
    pub lose: u8,
    /// Messages that come twice.
    pub double: u8,
    /// One-way cuts; what is sent into one is lost without counting as `lose`.
    pub cut: u8,
    /// Crashes; a crashed machine may start again with its memory.
    pub crash: u8,
    /// Of those starts, how many find the memory lost.
    pub forget: u8,
    /// Pauses (as by SIGSTOP): the clock goes on, nothing is heard or done.
    pub pause: u8,
    /// Ticks of true time.
    pub ticks: u16,
}

/// How far clocks go in one tick of true time: each tick takes one row, one figure a machine, in clock units.
/// Rows of the slowest and the fastest rate bound the drift over any interval; one row alone is no drift.
pub type Rates = Vec<Vec<u32>>;
