//! Judges the six rules from the record of what went over the sockets, as the stand-ins saw it by their own
//! clock. Nothing that a manager says of itself counts.

mod error;
pub mod platform;
pub mod record;
mod report;
mod rules;
mod spread;
mod standing;
mod verdict;

pub use error::{RecordError, ReportError};
pub use record::{Event, Line, Terms};
pub use report::write_report;
pub use rules::judge;
pub use spread::{spread, Compared, Spread, Swing, Times};
pub use standing::Evenness;
pub use verdict::{Finding, Verdict};
