//! What a councillor has promised and accepted, kept on disk: one file with a header of its own and a `redb`
//! database behind it. A record counts as kept once [`Store::persist`] has returned.

mod codec;
pub mod errors;
mod file;
pub mod store;
#[cfg(test)]
mod tests;

pub use errors::RegisterError;
pub use store::Store;
