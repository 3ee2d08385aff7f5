//! The record: one JSON object a line, with the time in milliseconds since 1970.

mod event;
mod read;
mod terms;

pub use event::{Event, Line, Standing};
pub use read::read;
pub use terms::{Even, PackageTerms, Shapes, Terms, Titles};
