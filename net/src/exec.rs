//! The executor of a thread.

use async_executor::LocalExecutor;

/// The executor of a thread; it lives as long as the process.
pub type Exec = &'static LocalExecutor<'static>;

/// An executor for the calling thread.
pub fn executor() -> Exec {
    Box::leak(Box::new(LocalExecutor::new()))
}
