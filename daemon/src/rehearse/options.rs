//! The options of a rehearsal, and the time limits of its phases.

use ottersail_front::baseline::Pick;
use std::path::PathBuf;
use std::time::Duration;

/// The command line options of `ottersail rehearse`.
pub struct RehearsalOptions {
    /// The day's settings file.
    pub day: PathBuf,
    /// File that the managers' events are recorded to.
    pub record: Option<PathBuf>,
    /// File that the traffic on all sockets is recorded to.
    pub traffic: Option<PathBuf>,
    /// Seed, in place of the day's.
    pub seed: Option<u64>,
    /// Log filter of the managers.
    pub log: String,
    /// Whether the managers' files and logs are kept.
    pub keep: bool,
    /// Cores of each manager.
    pub cores: usize,
    /// Policy of the managers, in place of the day's; the inner `None` stands for the usual decisions.
    pub pick: Option<Option<Pick>>,
    /// Number of managers, in place of the day's.
    pub managers: Option<usize>,
    /// Another version of the program, for every second manager.
    pub other_program: Option<PathBuf>,
    /// Folder that figures and plots are written to.
    pub report: Option<PathBuf>,
}

/// How long viewings may play on after the last viewer has come.
pub(super) const PLAY_OUT: Duration = Duration::from_secs(12);
/// How long managers may take to become ready.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a manager may take to end after SIGTERM.
pub(super) const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
