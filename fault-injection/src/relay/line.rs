//! The state of both directions of a relay, and who waits for it to change.

use crate::impairment::{Direction, ImpairedLink, NetworkCondition};
use futures_lite::future::poll_fn;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::task::{Poll, Waker};
use std::time::Instant;

/// What all connections of a relay go over.
pub(super) struct Line {
    pub(super) to: SocketAddr,
    pub(super) began: Instant,
    pub(super) ways: [RefCell<ImpairedLink>; 2],
    pub(super) version: Cell<u64>,
    pub(super) waiting: RefCell<Vec<Waker>>,
}

impl Line {
    pub(super) fn any(&self, what: impl Fn(NetworkCondition) -> bool) -> bool {
        self.ways.iter().any(|it| what(it.borrow().condition()))
    }

    /// Waits until that holds.
    pub(super) async fn until(&self, what: impl Fn(&Line) -> bool) {
        poll_fn(|cx| {
            if what(self) {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|it| it.will_wake(cx.waker())) {
                waiting.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }

    pub(super) async fn passes(&self, way: Direction) {
        self.until(|it| !it.ways[way as usize].borrow().condition().cut).await;
    }
}
