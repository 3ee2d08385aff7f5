//! Limits the number of connections whose final bytes are written and whose other side has not closed yet.

use std::cell::Cell;
use std::rc::Rc;

/// Counter of these connections. Each holds a descriptor, so above the limit a connection is closed at once.
#[derive(Clone, Default)]
pub(crate) struct Lingering {
    count: Rc<Cell<usize>>,
    limit: usize,
}

/// A counted connection; uncounted when dropped.
pub(crate) struct Slot(Rc<Cell<usize>>);

impl Lingering {
    /// Creates a counter with this limit.
    pub fn new(limit: usize) -> Lingering {
        Lingering { count: Rc::default(), limit }
    }

    /// Counts one more connection; returns `None` at the limit.
    pub fn enter(&self) -> Option<Slot> {
        if self.count.get() >= self.limit {
            return None;
        }
        self.count.set(self.count.get() + 1);
        Some(Slot(self.count.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
