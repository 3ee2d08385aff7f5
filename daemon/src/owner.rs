//! The placement owner: the one thread that holds the front, its clock and its record. Events come in as
//! messages from all cores; what the front asks for goes out as commands to the cores. All decisions are made
//! in the front.

mod core_assignment;
mod output;
mod record;

use crate::fleet::Fleet;
use crate::messages::{CoreCommand, CoreState, OwnerMessage, TracedRequest};
use crate::metrics::{encode_metrics, ConnectionTotals, Latencies};
use async_channel::{Receiver, Sender};
use ottersail_cores::OwnerLoad;
use ottersail_front::ids::ViewingId;
use ottersail_front::recording::{EffectRecorder, FrontInput};
use ottersail_front::{Front, Ms, RequestId};
use ottersail_net::{Clock, ConnectionCounts, Timer};
use output::CommandOutput;
pub use record::EventRecorder;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Messages that are processed in a row before the task yields to others.
const MESSAGES_BEFORE_YIELD: usize = 64;
/// The assignment of viewings to cores is not cleaned up while it has fewer entries than this.
const MIN_ASSIGNMENTS_BEFORE_CLEANUP: usize = 1024;
/// Timers fire this much late, in milliseconds, so that the front's due time has passed when it is checked.
const TIMER_SLACK_MS: f64 = 0.05;

/// The placement owner of a manager.
pub struct PlacementOwner {
    pub clock: Clock,
    front: RefCell<Front>,
    /// Time of the last event, in milliseconds since 1970. Events never go back in time.
    last_event_ms: Cell<f64>,
    recorder: RefCell<Option<EventRecorder>>,
    /// Requests that the front has accepted and not answered yet.
    requests: RefCell<BTreeMap<RequestId, TracedRequest>>,
    cores: Vec<Arc<CoreState>>,
    /// The core that sends a viewing's commands, from its first set-up on. All commands of one viewing go
    /// through one core, so that they stay in order: a set-up is closed before the next one is sent, even if
    /// the core stalls in between.
    core_by_viewing: RefCell<BTreeMap<ViewingId, usize>>,
    load: RefCell<OwnerLoad>,
    /// `core_by_viewing` is cleaned up once it has this many entries.
    cleanup_at: Cell<usize>,
    /// When the timer fires next, in milliseconds since 1970.
    timer_due_ms: Cell<f64>,
    reset_timer_sender: Sender<()>,
    reset_timer_receiver: Receiver<()>,
    latencies: Latencies,
    server: Arc<ConnectionCounts>,
    /// The fleet, if this manager is a member of one. The front knows only this manager's share of the total.
    pub fleet: OnceCell<Rc<Fleet>>,
    /// Total time spent in the front.
    pub time_in_front: Cell<Duration>,
}

impl PlacementOwner {
    /// Creates the owner of `front`, which sends its commands to `cores`.
    pub fn new(
        clock: Clock,
        front: Front,
        recorder: Option<EventRecorder>,
        cores: Vec<Arc<CoreState>>,
        latencies: Latencies,
        server: Arc<ConnectionCounts>,
    ) -> Rc<PlacementOwner> {
        let (reset_timer_sender, reset_timer_receiver) = async_channel::bounded(1);
        Rc::new(PlacementOwner {
            clock,
            front: RefCell::new(front),
            last_event_ms: Cell::new(0.0),
            recorder: RefCell::new(recorder),
            requests: RefCell::default(),
            cores,
            core_by_viewing: RefCell::default(),
            load: RefCell::new(OwnerLoad::new(clock.now())),
            cleanup_at: Cell::new(MIN_ASSIGNMENTS_BEFORE_CLEANUP),
            timer_due_ms: Cell::new(f64::INFINITY),
            reset_timer_sender,
            reset_timer_receiver,
            latencies,
            server,
            fleet: OnceCell::new(),
            time_in_front: Cell::default(),
        })
    }

    /// Processes messages from the cores until all of them have dropped their sender.
    pub async fn process_messages(self: Rc<PlacementOwner>, messages: Receiver<OwnerMessage>) {
        let mut in_a_row = 0;
        while let Ok(message) = messages.recv().await {
            match message {
                OwnerMessage::Event { event, request } => self.process_event(event, request),
                OwnerMessage::Metrics(sender) => {
                    let connections =
                        ConnectionTotals { open: self.server.open(), refused: self.server.turned_away() };
                    let text = self.with_front(|front| {
                        let fleet = self.fleet.get().map(|fleet| &**fleet);
                        encode_metrics(front, &self.latencies, &connections, &self.cores, fleet)
                    });
                    _ = sender.try_send(text);
                }
            }
            in_a_row += 1;
            if in_a_row >= MESSAGES_BEFORE_YIELD {
                in_a_row = 0;
                futures_lite::future::yield_now().await;
            }
        }
    }

    fn process_event(&self, event: FrontInput, request: Option<TracedRequest>) {
        if let (
            Some(request),
            FrontInput::TitleRequested { request: request_id, .. }
            | FrontInput::PlaylistRequested { request: request_id, .. },
        ) = (request, &event)
        {
            if !request.pending.claim.take() {
                // The request was answered while it waited for the owner; nothing may be done for it now.
                return;
            }
            self.requests.borrow_mut().insert(*request_id, request);
        }
        if let (FrontInput::TitleRequested { .. }, Some(fleet)) = (&event, self.fleet.get()) {
            fleet.viewing_requested();
        }
        if let FrontInput::RequestClosed { request: request_id } = &event {
            self.requests.borrow_mut().remove(request_id);
        }
        self.handle(&event);
    }

    /// Passes an event to the front and carries out what the front asks for.
    pub fn handle(&self, event: &FrontInput) {
        let now = self.clock.now().max(self.last_event_ms.get());
        self.last_event_ms.set(now);
        let began = Instant::now();
        let mut front = self.front.borrow_mut();
        let mut recorder = self.recorder.borrow_mut();
        match recorder.as_mut() {
            None => event.apply(&mut front, Ms(now), &mut CommandOutput(self)),
            Some(open_recorder) => {
                let mut lines = Vec::new();
                let mut output = CommandOutput(self);
                event.apply(
                    &mut front,
                    Ms(now),
                    &mut EffectRecorder { lines: &mut lines, effects: Some(&mut output) },
                );
                if let Err(error) = open_recorder.append(now, self.core_of_event(event), event, &lines) {
                    warn!(%error, "cannot write the record any more; it ends here");
                    *recorder = None;
                }
            }
        }
        self.time_in_front.set(self.time_in_front.get() + began.elapsed());
        let due = front.next_timer().map_or(f64::INFINITY, |due| due.0);
        if due < self.timer_due_ms.get() {
            _ = self.reset_timer_sender.try_send(());
        }
    }

    /// The number of set-ups so far, and the sum of their durations in milliseconds.
    pub fn set_up_totals(&self) -> (u64, u64) {
        self.latencies.set_up_totals()
    }

    /// Ends the record, because the events that follow could not be replayed.
    pub fn end_record(&self) {
        *self.recorder.borrow_mut() = None;
    }

    /// Calls `access` with the front.
    pub fn with_front<T>(&self, access: impl FnOnce(&mut Front) -> T) -> T {
        access(&mut self.front.borrow_mut())
    }

    /// Calls the front whenever one of its timers is due, until the process ends.
    pub async fn run_timers(self: Rc<PlacementOwner>) {
        loop {
            let due = self.with_front(|front| front.next_timer()).map_or(f64::INFINITY, |due| due.0);
            self.timer_due_ms.set(due);
            let wait = async {
                if due.is_finite() {
                    Timer::at(self.clock.instant(due + TIMER_SLACK_MS)).await;
                } else {
                    futures_lite::future::pending::<()>().await;
                }
            };
            futures_lite::future::or(wait, async {
                _ = self.reset_timer_receiver.recv().await;
            })
            .await;
            if self.with_front(|front| front.next_timer()).is_some_and(|due| due.0 <= self.clock.now()) {
                self.handle(&FrontInput::TimersDue);
            }
            self.clean_up_assignments();
            // Yields to other tasks between two timers, however many are due.
            futures_lite::future::yield_now().await;
        }
    }

    fn send(&self, core: usize, command: CoreCommand) {
        if !self.cores[core].commands.push(command) {
            warn!(
                core,
                "command queue of a core is full; dropped an end or probe (servers end viewings by lease)"
            );
        }
    }
}
