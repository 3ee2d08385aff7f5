//! The condition of both directions of a relay, and the tasks that wait for it to change.

use crate::impairment::{Direction, ImpairedLink, NetworkCondition};
use futures_lite::future::poll_fn;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::task::{Poll, Waker};
use std::time::Instant;

/// The state that all connections of a relay share.
pub(super) struct ConnectionPath {
    /// The address that connections are relayed to.
    pub(super) target: SocketAddr,
    /// The zero of the times that the links are given.
    pub(super) started: Instant,
    /// The link of each direction, by `Direction as usize`.
    pub(super) links: [RefCell<ImpairedLink>; 2],
    /// How many times a condition has changed.
    pub(super) version: Cell<u64>,
    /// Tasks to wake when a condition changes.
    pub(super) waiting: RefCell<Vec<Waker>>,
}

impl ConnectionPath {
    /// Whether the condition of either direction matches.
    pub(super) fn any_direction(&self, matches: impl Fn(NetworkCondition) -> bool) -> bool {
        self.links.iter().any(|link| matches(link.borrow().condition()))
    }

    /// Waits until `is_met` returns true.
    pub(super) async fn wait_until(&self, is_met: impl Fn(&ConnectionPath) -> bool) {
        poll_fn(|context| {
            if is_met(self) {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                waiting.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }

    /// Whether a direction is cut at the moment.
    pub(super) fn is_cut(&self, direction: Direction) -> bool {
        self.links[direction as usize].borrow().condition().cut
    }

    /// Waits until a direction is not cut.
    pub(super) async fn wait_until_not_cut(&self, direction: Direction) {
        self.wait_until(|path| !path.is_cut(direction)).await;
    }
}
