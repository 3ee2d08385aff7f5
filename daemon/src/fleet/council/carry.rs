//! The council's place among the fleet's tasks: its bell, its disk, and what it wants done.

use super::{Council, Keeper, Outs};
use crate::fleet::Fleet;
use crate::owner::PlacementOwner;
use ottersail::time::Ms;
use ottersail_front::recording::FrontInput;
use ottersail_membership::{MemberId, Topic};
use ottersail_net::Timer;
use ottersail_rollout::{Name, Order, ViewingCounts};
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Between two looks at whether the registers say that the slots are given back.
const LOOK: Duration = Duration::from_millis(2);

/// What a fleet holds of it.
pub(in crate::fleet) struct Counsel {
    council: RefCell<Option<Council>>,
    keeper: Option<Keeper>,
    owner: Weak<PlacementOwner>,
    /// A permit is used: the version to come back with.
    out: (async_channel::Sender<Name>, async_channel::Receiver<Name>),
    armed: Cell<f64>,
    rearm: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Counsel {
    pub fn new(born: Option<(Council, Option<Keeper>)>, owner: &Rc<PlacementOwner>) -> Counsel {
        let (council, keeper) = born.map_or((None, None), |it| (Some(it.0), it.1));
        Counsel {
            council: RefCell::new(council),
            keeper,
            owner: Rc::downgrade(owner),
            out: async_channel::bounded(1),
            armed: Cell::new(f64::INFINITY),
            rearm: async_channel::bounded(1),
        }
    }

    fn bell_at(&self) -> f64 {
        self.council.borrow().as_ref().map_or(f64::INFINITY, |it| it.bell_at().0)
    }
}

impl Fleet {
    /// Starts the tasks, if there is a council.
    pub(in crate::fleet) fn counsel(self: &Rc<Fleet>) {
        if self.counsel.council.borrow().is_some() {
            self.exec.spawn(self.clone().ring_council()).detach();
            self.exec.spawn(self.clone().keep()).detach();
        }
    }

    /// A viewing was asked for here.
    pub fn viewing_requested(&self) {
        if let Some(council) = self.counsel.council.borrow().as_ref() {
            council.viewing_requested();
        }
    }

    /// On the way out: the module goes by its kept slot alone, and then the slots are given back, for so long
    /// at most. Symptom without that: with each release a manager's part lies idle for a lease.
    pub(in crate::fleet) async fn give_back(&self, at_most: Duration) {
        self.council(|it, now, outs| it.leave(now, outs));
        let given = || self.counsel.council.borrow().as_ref().is_none_or(Council::gave_all_back);
        let until = Instant::now() + at_most;
        while !given() && Instant::now() < until {
            Timer::after(LOOK).await;
        }
        if self.counsel.council.borrow().is_some() {
            info!(target: "parts", all = given(), "slots given back");
        }
    }

    /// One input, and what follows from it.
    fn council(&self, input: impl FnOnce(&mut Council, Ms, &mut Outs)) {
        let Some(mut shrunk) = self.with_council(input) else { return };
        // The module goes by less now, and only now may others have the rest.
        while shrunk {
            shrunk = self.with_council(|it, now, outs| it.shrunk(now, outs)).unwrap_or(false);
        }
        self.go_out();
        if self.counsel.bell_at() < self.counsel.armed.get() {
            _ = self.counsel.rearm.0.try_send(());
        }
    }

    /// Uses a permit, if there is one: first nothing more is taken, then the clock is looked at again. Guards
    /// against a process that stands still between its permit and going, past the permit's end.
    fn go_out(&self) {
        let going = self.counsel.council.borrow().as_ref().and_then(|it| it.wants_out(self.now()));
        let (Some(going), Some(owner)) = (going, self.counsel.owner.upgrade()) else { return };
        // Told to end already: else a permit that ran out would have it take viewings again.
        if owner.with_front(|it| it.is_draining()) {
            return;
        }
        owner.handle(&FrontInput::Drain);
        let now = self.now();
        let in_time = |it: &mut Council| it.still_in_time(now, &going);
        if self.counsel.council.borrow_mut().as_mut().is_some_and(in_time) {
            info!(target: "releases", version = %going.version, "goes out by its permit");
            _ = self.counsel.out.0.try_send(going.version);
        } else {
            warn!(target: "releases", "a permit ran out before it was used: viewings are taken again");
            owner.handle(&FrontInput::Resume);
        }
    }

    /// Comes back once this manager goes out by a permit, with the version to come back with.
    pub async fn departure(&self) -> Option<Name> {
        self.counsel.out.1.recv().await.ok()
    }

    /// An order of this manager's own file.
    pub fn submit_order(&self, order: Order) {
        self.council(|it, _, _| it.order(order));
    }

    /// This manager's state for the councillors.
    fn stands(&self, council: &mut Council, now: Ms) {
        let Some(owner) = self.counsel.owner.upgrade() else { return };
        let clock = ottersail_front::Ms(owner.clock.now());
        let (whole, it) = owner.with_front(|it| (it.is_ready(clock), it.counts()));
        let (set_ups, set_up_ms) = owner.set_up_totals();
        let counts = ViewingCounts {
            // Whoever is not even taken is blocked to its viewer.
            asked: it.asked + it.turned_away_untaken,
            blocked: it.blocked + it.turned_away_untaken,
            aborted: it.aborted,
            broken_off: it.broken_off,
            set_ups,
            set_up_ms,
        };
        council.stands(now, whole, counts);
    }

    /// Whether the module was told less.
    fn with_council(&self, input: impl FnOnce(&mut Council, Ms, &mut Outs)) -> Option<bool> {
        let mut outs = Outs::default();
        input(self.counsel.council.borrow_mut().as_mut()?, self.now(), &mut outs);
        let Outs { tells, keeps, part, shrunk, riders } = outs;
        // Promises first: their answers wait for the disk.
        for wish in keeps {
            if !self.counsel.keeper.as_ref().is_some_and(|it| it.put(wish)) {
                error!(
                    target: "council",
                    "the store takes no more: this councillor abstains; check the disk, then start again"
                );
                self.lost_store();
                break;
            }
        }
        if !tells.is_empty() {
            let now = self.now();
            self.told(None, |it, out| {
                for tell in &tells {
                    // One that is not known yet hears it at the next try.
                    it.send_message(now, tell.to, tell.topic, &tell.bytes, out);
                }
            });
        }
        for (topic, bytes) in riders {
            self.members.borrow_mut().set_piggyback(topic, &bytes);
        }
        if let Some(mut part) = part {
            if let (Some(owner), Some(ahead)) = (self.counsel.owner.upgrade(), self.ahead()) {
                if part.lease_end_ms > 0.0 {
                    part.lease_end_ms += ahead;
                }
                owner.handle(&FrontInput::SlotShareChanged { share: part });
            }
        }
        Some(shrunk)
    }

    /// How far the front's clock is before the members'; both go by the one monotonic clock. Read in this
    /// order a pause in between makes an `until` earlier and never later.
    fn ahead(&self) -> Option<f64> {
        let front = self.counsel.owner.upgrade()?.clock.now();
        Some(front - self.now().0)
    }

    /// Bytes of a topic above the members.
    pub(in crate::fleet) fn above(&self, heard: Vec<(MemberId, Topic, Vec<u8>)>) {
        for (from, topic, bytes) in heard {
            self.council(|it, now, outs| it.heard(now, from, topic, &bytes, outs));
        }
    }

    fn lost_store(&self) {
        let now = self.now();
        if let Some(council) = self.counsel.council.borrow_mut().as_mut() {
            council.lost_store(now);
        }
    }

    async fn ring_council(self: Rc<Fleet>) {
        loop {
            let due = self.counsel.bell_at();
            self.counsel.armed.set(due);
            // A little late, so that the time has come when it is looked at.
            let at = self.began + Duration::from_secs_f64((due + 0.1).clamp(0.0, 1e12) / 1e3);
            futures_lite::future::or(Timer::at(at), async {
                _ = self.counsel.rearm.1.recv().await;
            })
            .await;
            if self.counsel.bell_at() <= self.now().0 {
                self.council(|it, now, outs| {
                    self.stands(it, now);
                    it.bell(now, outs);
                    it.roster(now, self.members.borrow().others(), outs);
                });
            }
            futures_lite::future::yield_now().await;
        }
    }

    /// What the disk has kept goes back in.
    async fn keep(self: Rc<Fleet>) {
        let Some(keeper) = &self.counsel.keeper else { return };
        while let Ok(done) = keeper.done.recv().await {
            self.council(|it, now, outs| it.kept(now, done, outs));
        }
        self.lost_store();
    }

    pub(in crate::fleet) fn register_council(&self, registry: &mut Registry) {
        if let (Some(council), Some(ahead)) = (self.counsel.council.borrow().as_ref(), self.ahead()) {
            council.register(self.now(), ahead, registry);
        }
    }
}
