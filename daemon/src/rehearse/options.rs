//! What is options of a rehearsal, and how long its parts may take.

use ottersail_front::baseline::Pick;
use std::path::PathBuf;
use std::time::Duration;

/// What is options of a rehearsal.
pub struct RehearsalOptions {
    pub day: PathBuf,
    pub record: Option<PathBuf>,
    pub traffic: Option<PathBuf>,
    pub seed: Option<u64>,
    /// How loud the managers are.
    pub log: String,
    pub keep: bool,
    /// Cores of each manager.
    pub cores: usize,
    /// Managers that pick plainly, and so many of them, in place of the day's own.
    pub pick: Option<Option<Pick>>,
    pub managers: Option<usize>,
    /// Another version of the program, for every second manager.
    pub beside: Option<PathBuf>,
    /// Where figures and plots go.
    pub report: Option<PathBuf>,
}

/// After the last viewer has come, those who watch have so long to end.
pub(super) const PLAY_OUT: Duration = Duration::from_secs(12);
pub(super) const START: Duration = Duration::from_secs(10);
/// A manager that is told to end has so long.
pub(super) const ENDS: Duration = Duration::from_secs(10);
