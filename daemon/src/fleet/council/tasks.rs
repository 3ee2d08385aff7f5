//! The council's tasks in the fleet: its timer, its disk writes, and the outputs that it needs carried out.

use super::{Council, Outputs, StoreWriter};
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

/// Interval at which a leaving manager checks whether its slots are returned.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The council's state and channels within the fleet.
pub(in crate::fleet) struct CouncilTasks {
    council: RefCell<Option<Council>>,
    store_writer: Option<StoreWriter>,
    owner: Weak<PlacementOwner>,
    /// Signals that a permit is used, with the version to return with.
    out: (async_channel::Sender<Name>, async_channel::Receiver<Name>),
    timer_at: Cell<f64>,
    timer_changed: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl CouncilTasks {
    pub fn new(born: Option<(Council, Option<StoreWriter>)>, owner: &Rc<PlacementOwner>) -> CouncilTasks {
        let (council, store_writer) = born.map_or((None, None), |(council, writer)| (Some(council), writer));
        CouncilTasks {
            council: RefCell::new(council),
            store_writer,
            owner: Rc::downgrade(owner),
            out: async_channel::bounded(1),
            timer_at: Cell::new(f64::INFINITY),
            timer_changed: async_channel::bounded(1),
        }
    }

    fn next_timer(&self) -> f64 {
        self.council.borrow().as_ref().map_or(f64::INFINITY, |council| council.next_timer().0)
    }
}

impl Fleet {
    /// Starts the tasks, if there is a council.
    pub(in crate::fleet) fn start_council(self: &Rc<Fleet>) {
        if self.council_tasks.council.borrow().is_some() {
            self.exec.spawn(self.clone().run_council_timer()).detach();
            self.exec.spawn(self.clone().run_store_results()).detach();
        }
    }

    /// Counts a viewing requested here.
    pub fn viewing_requested(&self) {
        if let Some(council) = self.council_tasks.council.borrow().as_ref() {
            council.viewing_requested();
        }
    }

    /// Returns the leased slots when this manager ends: the placement is first limited to its kept slot. Waits no longer
    /// than `at_most`. Without it, each release would leave a manager's part unused for the length of a lease.
    pub(in crate::fleet) async fn give_back(&self, at_most: Duration) {
        self.council(|council, now, outputs| council.leave(now, outputs));
        let returned =
            || self.council_tasks.council.borrow().as_ref().is_none_or(Council::has_returned_all_slots);
        let until = Instant::now() + at_most;
        while !returned() && Instant::now() < until {
            Timer::after(RETURN_CHECK_INTERVAL).await;
        }
        if self.council_tasks.council.borrow().is_some() {
            info!(target: "parts", all = returned(), "slots given back");
        }
    }

    /// Processes one input and everything that follows from it.
    fn council(&self, input: impl FnOnce(&mut Council, Ms, &mut Outputs)) {
        let Some(mut shrunk) = self.with_council(input) else { return };
        // The placement uses the smaller part now, and only now may other members get the rest.
        while shrunk {
            shrunk = self.with_council(|council, now, outputs| council.shrunk(now, outputs)).unwrap_or(false);
        }
        self.use_permit();
        if self.council_tasks.next_timer() < self.council_tasks.timer_at.get() {
            _ = self.council_tasks.timer_changed.0.try_send(());
        }
    }

    /// Uses a permit, if there is one: first stops taking viewings, then checks the clock again. This protects against a
    /// process that is paused between the check of its permit and leaving, beyond the permit's expiry.
    fn use_permit(&self) {
        let going = self
            .council_tasks
            .council
            .borrow()
            .as_ref()
            .and_then(|council| council.usable_permit(self.now()));
        let (Some(going), Some(owner)) = (going, self.council_tasks.owner.upgrade()) else { return };
        // If the manager is already ending, an expired permit must not make it take viewings again.
        if owner.with_front(|front| front.is_draining()) {
            return;
        }
        owner.handle(&FrontInput::Drain);
        let now = self.now();
        let in_time = |council: &mut Council| council.confirm_permit(now, &going);
        if self.council_tasks.council.borrow_mut().as_mut().is_some_and(in_time) {
            info!(target: "releases", version = %going.version, "leaving on a permit of the release");
            _ = self.council_tasks.out.0.try_send(going.version);
        } else {
            warn!(target: "releases", "a permit expired before it was used: taking viewings again");
            owner.handle(&FrontInput::Resume);
        }
    }

    /// Returns once this manager leaves on a permit, with the version to return with.
    pub async fn departure(&self) -> Option<Name> {
        self.council_tasks.out.1.recv().await.ok()
    }

    /// Submits the order of this manager's own file.
    pub fn submit_order(&self, order: Order) {
        self.council(|council, _, _| council.submit_order(order));
    }

    /// Updates the status of this manager for the councillors.
    fn update_status(&self, council: &mut Council, now: Ms) {
        let Some(owner) = self.council_tasks.owner.upgrade() else { return };
        let clock = ottersail_front::Ms(owner.clock.now());
        let (ready, front) = owner.with_front(|front| (front.is_ready(clock), front.counts()));
        let (set_ups, set_up_ms) = owner.set_up_totals();
        let counts = ViewingCounts {
            // For the viewer, a viewing that is not even taken is blocked.
            asked: front.asked + front.turned_away_untaken,
            blocked: front.blocked + front.turned_away_untaken,
            aborted: front.aborted,
            broken_off: front.broken_off,
            set_ups,
            set_up_ms,
        };
        council.set_status(now, ready, counts);
    }

    /// Processes one input and carries out the outputs. Returns whether the placement was given a smaller part.
    fn with_council(&self, input: impl FnOnce(&mut Council, Ms, &mut Outputs)) -> Option<bool> {
        let mut outputs = Outputs::default();
        input(self.council_tasks.council.borrow_mut().as_mut()?, self.now(), &mut outputs);
        let Outputs { messages, writes, part, shrunk, piggybacks } = outputs;
        // Writes come first, since replies wait for the disk.
        for write in writes {
            if !self.council_tasks.store_writer.as_ref().is_some_and(|writer| writer.put(write)) {
                error!(
                    target: "council",
                    "the store accepts no more writes: this councillor abstains; check the disk, then restart"
                );
                self.on_store_lost();
                break;
            }
        }
        if !messages.is_empty() {
            let now = self.now();
            self.with_members(None, |members, out| {
                for message in &messages {
                    // A member that is not known yet receives it at the next attempt.
                    members.send_message(now, message.to, message.topic, &message.bytes, out);
                }
            });
        }
        for (topic, bytes) in piggybacks {
            self.members.borrow_mut().set_piggyback(topic, &bytes);
        }
        if let Some(mut part) = part {
            if let (Some(owner), Some(ahead)) = (self.council_tasks.owner.upgrade(), self.ahead()) {
                if part.lease_end_ms > 0.0 {
                    part.lease_end_ms += ahead;
                }
                owner.handle(&FrontInput::SlotShareChanged { share: part });
            }
        }
        Some(shrunk)
    }

    /// By how many milliseconds the front's clock is ahead of the members' clock; both use the same monotonic clock. The
    /// clocks are read in this order so that a pause in between can only make a lease end earlier, never later.
    fn ahead(&self) -> Option<f64> {
        let front = self.council_tasks.owner.upgrade()?.clock.now();
        Some(front - self.now().0)
    }

    /// Passes on messages for the layers above the membership.
    pub(in crate::fleet) fn on_upper_layer(&self, received: Vec<(MemberId, Topic, Vec<u8>)>) {
        for (from, topic, bytes) in received {
            self.council(|council, now, outputs| council.on_message(now, from, topic, &bytes, outputs));
        }
    }

    fn on_store_lost(&self) {
        let now = self.now();
        if let Some(council) = self.council_tasks.council.borrow_mut().as_mut() {
            council.on_store_lost(now);
        }
    }

    async fn run_council_timer(self: Rc<Fleet>) {
        loop {
            let due = self.council_tasks.next_timer();
            self.council_tasks.timer_at.set(due);
            // Slightly late, so that the timer is due when it is checked.
            let wake_at = self.began + Duration::from_secs_f64((due + 0.1).clamp(0.0, 1e12) / 1e3);
            futures_lite::future::or(Timer::at(wake_at), async {
                _ = self.council_tasks.timer_changed.1.recv().await;
            })
            .await;
            if self.council_tasks.next_timer() <= self.now().0 {
                self.council(|council, now, outputs| {
                    self.update_status(council, now);
                    council.on_timer(now, outputs);
                    council.roster(now, self.members.borrow().others(), outputs);
                });
            }
            futures_lite::future::yield_now().await;
        }
    }

    /// Passes completed disk writes to the council.
    async fn run_store_results(self: Rc<Fleet>) {
        let Some(store_writer) = &self.council_tasks.store_writer else { return };
        while let Ok(done) = store_writer.done.recv().await {
            self.council(|council, now, outputs| council.on_persisted(now, done, outputs));
        }
        self.on_store_lost();
    }

    pub(in crate::fleet) fn register_council(&self, registry: &mut Registry) {
        if let (Some(council), Some(ahead)) = (self.council_tasks.council.borrow().as_ref(), self.ahead()) {
            council.register(self.now(), ahead, registry);
        }
    }
}
