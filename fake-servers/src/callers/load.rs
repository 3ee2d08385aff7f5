//! Set-ups at a rate to each manager.

use super::connection::{serve, Line, SharedLine};
use super::message::{tear_down, SetUp};
use super::{CallerLog, CallerOrder, CallerSettings};
use async_channel::Receiver;
use async_executor::Task;
use fastrand::Rng;
use ottersail_invariants::platform::ClientEvent;
use ottersail_net::{Executor, Stream, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection that does not come up within this time is none.
const CONNECT: Duration = Duration::from_secs(1);
/// Of a hundred clients that give up, those that close their connection where nobody else uses it: clients keep
/// a connection that has a session on it.
const CLOSES_PERCENT: u32 = 30;
/// Gap between the pieces of a set-up that is sent in pieces.
const BETWEEN_PIECES: Duration = Duration::from_millis(15);

/// The clients of one manager.
struct Load {
    exec: Executor,
    settings: CallerSettings,
    log: CallerLog,
    manager: usize,
    address: SocketAddr,
    per_second: Cell<f64>,
    may_connect: Cell<bool>,
    lines: RefCell<Vec<SharedLine>>,
    random: RefCell<Rng>,
    sent: Cell<u64>,
}

pub async fn follow(exec: Executor, settings: CallerSettings, log: CallerLog, orders: Receiver<CallerOrder>) {
    let mut loads: BTreeMap<usize, (Rc<Load>, Task<()>)> = BTreeMap::new();
    while let Ok(order) = orders.recv().await {
        match order {
            CallerOrder::Load { manager, address, per_second } => {
                let (load, _) = loads.entry(manager).or_insert_with(|| {
                    let load = Rc::new(Load::new(exec, &settings, &log, manager, address));
                    let task = exec.spawn(load.clone().run());
                    (load, task)
                });
                load.per_second.set(per_second);
                load.may_connect.set(true);
            }
            CallerOrder::OpenConnectionsOnly { manager } => {
                loads.get(&manager).into_iter().for_each(|load| load.0.may_connect.set(false));
            }
            CallerOrder::Stop { manager } => {
                loads.get(&manager).into_iter().for_each(|load| load.0.per_second.set(0.0));
            }
        }
    }
}

impl Load {
    fn new(
        exec: Executor,
        settings: &CallerSettings,
        log: &CallerLog,
        manager: usize,
        address: SocketAddr,
    ) -> Load {
        Load {
            exec,
            settings: settings.clone(),
            log: log.clone(),
            manager,
            address,
            per_second: Cell::new(0.0),
            may_connect: Cell::new(true),
            lines: RefCell::default(),
            random: RefCell::new(Rng::with_seed(settings.seed.wrapping_add(manager as u64))),
            sent: Cell::new(0),
        }
    }

    async fn run(self: Rc<Load>) {
        loop {
            let rate = self.per_second.get();
            if rate <= 0.0 {
                Timer::after(Duration::from_millis(10)).await;
                continue;
            }
            let gap = -(1.0 - self.random.borrow_mut().f64()).ln() / rate;
            Timer::after(Duration::from_secs_f64(gap.min(1.0))).await;
            self.exec.spawn(self.clone().set_up()).detach();
        }
    }

    /// One set-up, on an open connection or on a new one.
    async fn set_up(self: Rc<Load>) {
        let Some(line) = self.line().await else {
            return;
        };
        let number = self.sent.get();
        self.sent.set(number + 1);
        let session = format!("{:04x}{number:012x}", self.manager + 1);
        let (class, patience, home) = {
            let mut random = self.random.borrow_mut();
            let class = random.usize(..self.settings.classes.len());
            let span = self.settings.patience.end - self.settings.patience.start;
            (
                class,
                self.settings.patience.start + span.mul_f64(random.f64()),
                random.u64(..self.settings.cells),
            )
        };
        let text = SetUp {
            session: &session,
            class: &self.settings.classes[class],
            patience_ms: patience.as_millis(),
            home,
            copies: self.settings.copies,
            top_rung: self.settings.top_rung,
        }
        .text();
        line.borrow_mut().open.insert(session.clone());
        self.send(&line, &text, &session, class, patience).await;
        if self.draws(self.settings.give_up_percent) {
            self.give_up_early(&line, &session, patience).await;
        }
    }

    async fn send(&self, line: &SharedLine, text: &str, session: &str, class: usize, patience: Duration) {
        let (manager, session) = (self.manager, session.to_string());
        let sent = ClientEvent::SetUp { at: Instant::now(), manager, session, class, patience };
        let alone = line.borrow().open.len() == 1;
        let (first, second) = text.as_bytes().split_at(text.len() / 2);
        // On a connection that others use at the same time a message goes in one piece.
        if !alone || !self.draws(self.settings.pieces_percent) {
            return line.borrow_mut().say(text.as_bytes(), Some(sent));
        }
        line.borrow_mut().say(first, None);
        line.borrow_mut().in_pieces = true;
        Timer::after(BETWEEN_PIECES).await;
        line.borrow_mut().in_pieces = false;
        line.borrow_mut().say(second, Some(sent));
    }

    async fn give_up_early(&self, line: &SharedLine, session: &str, patience: Duration) {
        let part = self.random.borrow_mut().f64();
        Timer::after(patience.mul_f64(part * part)).await;
        let closes = self.draws(CLOSES_PERCENT);
        let mut line = line.borrow_mut();
        if !line.open.contains(session) || line.in_pieces {
            return;
        }
        if closes && line.open.len() == 1 && !line.has_sessions {
            line.close();
        } else if line.open.remove(session) {
            let session = session.to_string();
            line.say(
                tear_down(&session).as_bytes(),
                Some(ClientEvent::GaveUp { at: Instant::now(), session }),
            );
        }
    }

    fn draws(&self, percent: u32) -> bool {
        self.random.borrow_mut().u32(..100) < percent
    }

    async fn line(&self) -> Option<SharedLine> {
        self.lines.borrow_mut().retain(|line| !line.borrow().ended);
        let usable: Vec<SharedLine> =
            self.lines.borrow().iter().filter(|line| !line.borrow().in_pieces).cloned().collect();
        if self.lines.borrow().len() < self.settings.connections && self.may_connect.get() {
            return self.connect().await;
        }
        self.random.borrow_mut().choice(usable)
    }

    async fn connect(&self) -> Option<SharedLine> {
        let late = async {
            Timer::after(CONNECT).await;
            None
        };
        let up = async { Stream::connect(self.address).await.ok() };
        let stream = futures_lite::future::or(up, late).await?;
        let line = SharedLine::new(RefCell::new(Line::default()));
        self.lines.borrow_mut().push(line.clone());
        self.exec.spawn(serve(stream, line.clone(), self.log.clone())).detach();
        Some(line)
    }
}
