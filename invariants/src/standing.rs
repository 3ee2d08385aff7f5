//! Which viewings stood where and for how long, and how they would have stood had they been picked otherwise:
//! by one who sees all, by the published two random picks with loads that are fresh or old, by chance alone.

mod evenness;
mod picks;
mod stays;

pub use evenness::Evenness;
pub(crate) use picks::Picker;
pub(crate) use stays::Stays;

#[cfg(test)]
pub(crate) mod tests;
