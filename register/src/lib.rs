//! The durable store of a councillor: what it has promised and accepted. One file holds a header and, behind it, a
//! `redb` database. A record is durable once [`Store::persist`] has returned.

mod codec;
pub mod errors;
mod file;
pub mod store;
#[cfg(test)]
mod tests;

pub use errors::RegisterError;
pub use store::Store;
