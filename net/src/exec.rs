//! The executor of a thread.

use async_executor::LocalExecutor;

/// The executor of a thread; it lives as long as the process.
pub type Executor = &'static LocalExecutor<'static>;

/// An executor for the calling thread.
pub fn executor() -> Executor {
    Box::leak(Box::new(LocalExecutor::new()))
}
