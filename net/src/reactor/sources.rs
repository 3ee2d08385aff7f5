//! Sockets registered with epoll, and the tasks that wait for them.

use rustix::event::epoll;
use rustix::fd::{AsFd, OwnedFd};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::{Context, Waker};

/// The tasks that wait for a socket.
#[derive(Default)]
struct Waiters {
    read: Option<Waker>,
    write: Option<Waker>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Read,
    Write,
}

/// All sockets that one thread watches. The index of a socket is in its epoll events.
pub(super) struct Sources {
    epoll: OwnedFd,
    waiters: RefCell<Vec<Option<Waiters>>>,
    free: RefCell<Vec<usize>>,
}

impl Sources {
    pub(super) fn new(epoll: OwnedFd) -> Sources {
        Sources { epoll, waiters: RefCell::default(), free: RefCell::default() }
    }

    pub(super) fn epoll(&self) -> &OwnedFd {
        &self.epoll
    }

    /// Watches a socket for reading and writing. Events are edge-triggered, so that no system call is needed
    /// to wait again.
    pub(super) fn watch(self: &Rc<Sources>, socket: impl AsFd) -> io::Result<Source> {
        let index = self.free.borrow_mut().pop();
        let index = index.unwrap_or_else(|| {
            self.waiters.borrow_mut().push(None);
            self.waiters.borrow().len() - 1
        });
        let flags =
            epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::RDHUP | epoll::EventFlags::ET;
        if let Err(error) = epoll::add(&self.epoll, socket, epoll::EventData::new_u64(index as u64), flags) {
            self.free.borrow_mut().push(index);
            return Err(error.into());
        }
        self.waiters.borrow_mut()[index] = Some(Waiters::default());
        Ok(Source { sources: self.clone(), index })
    }

    /// Wakes the tasks that wait for these events.
    pub(super) fn wake(&self, events: &[epoll::Event]) {
        let mut sources = self.waiters.borrow_mut();
        let (reads, writes) = (epoll::EventFlags::IN | epoll::EventFlags::RDHUP, epoll::EventFlags::OUT);
        let both = epoll::EventFlags::HUP | epoll::EventFlags::ERR;
        for event in events {
            let (data, flags) = (event.data, event.flags);
            // A source that was dropped since has no entry, or that of another one, which is then woken once
            // in vain.
            let Some(Some(waiters)) =
                usize::try_from(data.u64()).ok().and_then(|index| sources.get_mut(index))
            else {
                continue;
            };
            if flags.intersects(reads | both) {
                waiters.read.take().into_iter().for_each(Waker::wake);
            }
            if flags.intersects(writes | both) {
                waiters.write.take().into_iter().for_each(Waker::wake);
            }
        }
    }
}

/// A registration of a socket.
pub(crate) struct Source {
    sources: Rc<Sources>,
    index: usize,
}

impl Source {
    /// Lets the task be woken at the next event on this side. What is there already wakes nobody: to be called
    /// when the socket has just returned `WouldBlock`, or to hear of its end.
    pub(crate) fn wait_for(&self, side: Side, cx: &Context) {
        if let Some(waiters) = &mut self.sources.waiters.borrow_mut()[self.index] {
            let waker = match side {
                Side::Read => &mut waiters.read,
                Side::Write => &mut waiters.write,
            };
            match waker {
                Some(old) => old.clone_from(cx.waker()),
                None => *waker = Some(cx.waker().clone()),
            }
        }
    }

    /// Stops watching. The socket itself may stay open, if others share it.
    pub(crate) fn deregister(&self, socket: impl AsFd) {
        _ = epoll::delete(&self.sources.epoll, socket);
        let taken = self.sources.waiters.borrow_mut()[self.index].take();
        if taken.is_some() {
            self.sources.free.borrow_mut().push(self.index);
        }
    }
}
