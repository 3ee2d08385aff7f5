//! Sockets that are watched, and who waits for them.

use rustix::event::epoll;
use rustix::fd::{AsFd, OwnedFd};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::{Context, Waker};

/// Who waits for a socket.
#[derive(Default)]
struct Waits {
    read: Option<Waker>,
    write: Option<Waker>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Read,
    Write,
}

/// All sockets that one thread watches; the number of each goes with its events.
pub(super) struct Sources {
    epoll: OwnedFd,
    waits: RefCell<Vec<Option<Waits>>>,
    free: RefCell<Vec<usize>>,
}

impl Sources {
    pub(super) fn new(epoll: OwnedFd) -> Sources {
        Sources { epoll, waits: RefCell::default(), free: RefCell::default() }
    }

    pub(super) fn epoll(&self) -> &OwnedFd {
        &self.epoll
    }

    /// Watches a socket for both sides from now on; an event comes with each change, so that no call is
    /// needed to wait again.
    pub(super) fn watch(self: &Rc<Sources>, socket: impl AsFd) -> io::Result<Source> {
        let index = self.free.borrow_mut().pop();
        let index = index.unwrap_or_else(|| {
            self.waits.borrow_mut().push(None);
            self.waits.borrow().len() - 1
        });
        let flags =
            epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::RDHUP | epoll::EventFlags::ET;
        if let Err(trouble) = epoll::add(&self.epoll, socket, epoll::EventData::new_u64(index as u64), flags)
        {
            self.free.borrow_mut().push(index);
            return Err(trouble.into());
        }
        self.waits.borrow_mut()[index] = Some(Waits::default());
        Ok(Source { of: self.clone(), index })
    }

    /// Wakes who waits for what has come.
    pub(super) fn wake(&self, events: &[epoll::Event]) {
        let mut sources = self.waits.borrow_mut();
        let (reads, writes) = (epoll::EventFlags::IN | epoll::EventFlags::RDHUP, epoll::EventFlags::OUT);
        let both = epoll::EventFlags::HUP | epoll::EventFlags::ERR;
        for event in events {
            let (data, flags) = (event.data, event.flags);
            // One that was dropped since has no entry, or another's, which then looks once in vain.
            let Some(Some(waits)) = usize::try_from(data.u64()).ok().and_then(|it| sources.get_mut(it))
            else {
                continue;
            };
            if flags.intersects(reads | both) {
                waits.read.take().into_iter().for_each(Waker::wake);
            }
            if flags.intersects(writes | both) {
                waits.write.take().into_iter().for_each(Waker::wake);
            }
        }
    }
}

/// A socket that is watched, until it is dropped or closed.
pub(crate) struct Source {
    of: Rc<Sources>,
    index: usize,
}

impl Source {
    /// The task is woken at the next event on that side. To be called only when the socket has just said that
    /// it would wait.
    pub(crate) fn wait_for(&self, side: Side, cx: &Context) {
        if let Some(waits) = &mut self.of.waits.borrow_mut()[self.index] {
            let place = match side {
                Side::Read => &mut waits.read,
                Side::Write => &mut waits.write,
            };
            match place {
                Some(old) => old.clone_from(cx.waker()),
                None => *place = Some(cx.waker().clone()),
            }
        }
    }

    /// Ends the watch. The socket may be open for longer, where others hold it.
    pub(crate) fn end(&self, socket: impl AsFd) {
        _ = epoll::delete(&self.of.epoll, socket);
        let taken = self.of.waits.borrow_mut()[self.index].take();
        if taken.is_some() {
            self.of.free.borrow_mut().push(self.index);
        }
    }
}
