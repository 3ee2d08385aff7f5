//! The owner of placement: the one thread that holds the front, its clock and its record. What happens comes
//! in as news from all cores; what the front wants goes out as errands. Nothing here decides.

mod hands;
mod record;

use crate::fleet::Fleet;
use crate::metrics::{page, Times};
use crate::post::{Core, Errand, News, Slot};
use async_channel::{Receiver, Sender};
use hands::Hands;
use ottersail_cores::OwnerLoad;
use ottersail_front::ids::ViewingId;
use ottersail_front::recording::{EffectRecorder, FrontInput};
use ottersail_front::{Front, Ms, RequestId};
use ottersail_net::{idle_time, Clock, ConnectionCounts, Timer};
pub use record::Tape;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::warn;

/// News taken in a row before other tasks have their turn.
const AT_ONCE: usize = 64;

pub struct PlacementOwner {
    pub clock: Clock,
    front: RefCell<Front>,
    last: Cell<f64>,
    tape: RefCell<Option<Tape>>,
    slots: RefCell<BTreeMap<RequestId, (Arc<Slot>, String)>>,
    cores: Vec<Arc<Core>>,
    /// The core that sees to a viewing, from its first set-up on: what is done for one viewing is done in
    /// order, so that a set-up is closed before the next goes out, also where its core stands still in
    /// between.
    homes: RefCell<BTreeMap<ViewingId, usize>>,
    room: RefCell<OwnerLoad>,
    sweep_homes_at: Cell<usize>,
    armed: Cell<f64>,
    rearm: (Sender<()>, Receiver<()>),
    times: Times,
    server: Arc<ConnectionCounts>,
    /// The other members, if it has any; the front knows its part of what all share.
    pub fleet: OnceCell<Rc<Fleet>>,
    /// Time time_in_front in the front so far.
    pub time_in_front: Cell<Duration>,
}

impl PlacementOwner {
    pub fn new(
        clock: Clock,
        front: Front,
        tape: Option<Tape>,
        cores: Vec<Arc<Core>>,
        times: Times,
        server: Arc<ConnectionCounts>,
    ) -> Rc<PlacementOwner> {
        Rc::new(PlacementOwner {
            clock,
            front: RefCell::new(front),
            last: Cell::new(0.0),
            tape: RefCell::new(tape),
            slots: RefCell::default(),
            cores,
            homes: RefCell::default(),
            room: RefCell::new(OwnerLoad::new(clock.now())),
            sweep_homes_at: Cell::new(1024),
            armed: Cell::new(f64::INFINITY),
            rearm: async_channel::bounded(1),
            times,
            server,
            fleet: OnceCell::new(),
            time_in_front: Cell::default(),
        })
    }

    /// Takes news for ever.
    pub async fn listen(self: Rc<PlacementOwner>, news: Receiver<News>) {
        let mut in_a_row = 0;
        while let Ok(it) = news.recv().await {
            match it {
                News::Happened { told, slot } => self.happened(told, slot),
                News::Page(to) => {
                    let (open, away) = (self.server.open(), self.server.turned_away());
                    let text = self.with_front(|it| {
                        page(it, &self.times, (open, away), &self.cores, self.fleet.get().map(|it| &**it))
                    });
                    _ = to.try_send(text);
                }
            }
            in_a_row += 1;
            if in_a_row >= AT_ONCE {
                in_a_row = 0;
                futures_lite::future::yield_now().await;
            }
        }
    }

    fn happened(&self, told: FrontInput, slot: Option<(Arc<Slot>, String)>) {
        if let (
            Some((slot, trace)),
            FrontInput::TitleRequested { request: ask, .. }
            | FrontInput::PlaylistRequested { request: ask, .. },
        ) = (slot, &told)
        {
            if !slot.claim.take() {
                // Answered while it waited for the owner: nothing may be done for it any more.
                return;
            }
            self.slots.borrow_mut().insert(*ask, (slot, trace));
        }
        if let (FrontInput::TitleRequested { .. }, Some(fleet)) = (&told, self.fleet.get()) {
            fleet.viewing_requested();
        }
        if let FrontInput::RequestClosed { request: ask } = &told {
            self.slots.borrow_mut().remove(ask);
        }
        self.handle(&told);
    }

    /// Tells the front that something happened, and sees to what it wants.
    pub fn handle(&self, told: &FrontInput) {
        let now = self.clock.now().max(self.last.get());
        self.last.set(now);
        let began = Instant::now();
        let mut front = self.front.borrow_mut();
        let mut tape = self.tape.borrow_mut();
        match tape.as_mut() {
            None => told.apply(&mut front, Ms(now), &mut Hands(self)),
            Some(open) => {
                let mut lines = Vec::new();
                let mut hands = Hands(self);
                told.apply(
                    &mut front,
                    Ms(now),
                    &mut EffectRecorder { lines: &mut lines, effects: Some(&mut hands) },
                );
                if let Err(trouble) = open.line(now, self.core_of_told(told), told, &lines) {
                    warn!(%trouble, "the record can't be written any more; it ends here");
                    *tape = None;
                }
            }
        }
        self.time_in_front.set(self.time_in_front.get() + began.elapsed());
        let due = front.next_timer().map_or(f64::INFINITY, |it| it.0);
        if due < self.armed.get() {
            _ = self.rearm.0.try_send(());
        }
    }

    /// Set-ups so far, and all their times in milliseconds.
    pub fn set_up_totals(&self) -> (u64, u64) {
        self.times.set_up_totals()
    }

    /// Ends the record, since what follows could not be played back.
    pub fn end_tape(&self) {
        *self.tape.borrow_mut() = None;
    }

    pub fn with_front<T>(&self, look: impl FnOnce(&mut Front) -> T) -> T {
        look(&mut self.front.borrow_mut())
    }

    /// Rings when the front wants to be rung.
    pub async fn ring(self: Rc<PlacementOwner>) {
        loop {
            let due = self.with_front(|it| it.next_timer()).map_or(f64::INFINITY, |it| it.0);
            self.armed.set(due);
            let wait = async {
                if due.is_finite() {
                    // A little late, so that the time has come when it is looked at.
                    Timer::at(self.clock.instant(due + 0.05)).await;
                } else {
                    futures_lite::future::pending::<()>().await;
                }
            };
            futures_lite::future::or(wait, async {
                _ = self.rearm.1.recv().await;
            })
            .await;
            if self.with_front(|it| it.next_timer()).is_some_and(|it| it.0 <= self.clock.now()) {
                self.handle(&FrontInput::TimersDue);
            }
            self.sweep();
            // Other tasks have their turn between two rings, however many are due.
            futures_lite::future::yield_now().await;
        }
    }

    fn core_of_told(&self, told: &FrontInput) -> usize {
        match told {
            FrontInput::TitleRequested { request: ask, .. }
            | FrontInput::PlaylistRequested { request: ask, .. }
            | FrontInput::RequestClosed { request: ask } => ask.0 as usize % self.cores.len(),
            FrontInput::SetUpEnded { viewing: vw, .. }
            | FrontInput::RungChanged { viewing: vw, .. }
            | FrontInput::EndConfirmed { viewing: vw } => self.core_of(vw),
            FrontInput::NoteReceived { server, .. } | FrontInput::ServerLost { server } => {
                self.core_of(server)
            }
            _ => 0,
        }
    }

    /// The core that listens to a server.
    fn core_of(&self, name: &str) -> usize {
        let sum = name.bytes().fold(0u64, |sum, byte| (sum * 31 + u64::from(byte)) % 65_521);
        sum as usize % self.cores.len()
    }

    fn home(&self, vw: &ViewingId) -> usize {
        self.homes.borrow().get(vw).copied().unwrap_or(0)
    }

    /// Settles which core does a viewing's errands from now on.
    fn settle_at(&self, vw: &ViewingId, ask: Option<RequestId>) {
        let asker = ask.map_or(0, |it| it.0 as usize % self.cores.len());
        let mut room = self.room.borrow_mut();
        room.sample(self.clock.now(), idle_time().as_secs_f64() * 1e3);
        let core = room.core_for(asker);
        self.homes.borrow_mut().entry(vw.clone()).or_insert(core);
    }

    /// Homes of viewings that are over are forgotten once there are many.
    pub fn sweep(&self) {
        let mut homes = self.homes.borrow_mut();
        if homes.len() >= self.sweep_homes_at.get() {
            let front = self.front.borrow();
            homes.retain(|vw, _| front.holds_viewing(vw));
            self.sweep_homes_at.set((homes.len() * 2).max(1024));
        }
    }

    fn send(&self, core: usize, errand: Errand) {
        if !self.cores[core].errands.put(errand) {
            warn!(core, "a core stands still; an end is left to the server's lease");
        }
    }
}
