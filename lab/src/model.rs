//! A day in simulated time: servers and their links, the list, managers, viewers. Everything happens as an event of one
//! wheel, drawn from one seed, so that a run repeats itself to the byte.

use crate::crowd::{draw, gap, playlist, Wanted};
use crate::detail::{band, Detail, Row, Span, SPANS};
use crate::figures::Figures;
use crate::links::{Held, Links, Manager, Rack, ServerNo, Taken, Warming};
use crate::player::{address, read, Buffer, Segment};
use crate::wheel::Wheel;
use ottersail_daemon::settings::day::Plan;
use ottersail_front::decisions::Decisions;
use ottersail_front::ids::{ManagerIx, Rung, ServerId, ViewingId};
use ottersail_front::tape::Told;
use ottersail_front::terms::Terms;
use ottersail_front::{
    Answers, AskId, Asked, Brain, Front, House, Ms, Orders, Reply, SetUp, SetUpEnd, WatchId,
};
use ottersail_standins::{Fault, FaultKind};
use ottersail_tickets::Keys;
use ottersail_wire::catalogue::{Listed, Standing, Title};
use ottersail_wire::notes::{EndCause, Note};
use ottersail_wire::report::Report;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The first moment of a day, in milliseconds since 1970.
const START: f64 = 1.7e12;
/// One way between any two machines, and as much again by chance, in milliseconds.
const WAY: f64 = 0.3;
/// A machine that is silent is given up after so long when connecting, and when it sends no notes, in milliseconds.
const CONNECT: f64 = 500.0;
const SILENCE: f64 = 3_000.0;
/// The list's news reach a manager within so long of being told, in milliseconds.
const PICK_UP: f64 = 50.0;
/// Servers look at their links this often, in milliseconds.
const SAMPLE: f64 = 250.0;
/// A server lets go of what nobody fetches for so long, in milliseconds.
const LEASE: f64 = 12_000.0;
/// Stalled for so long a viewer leaves, in milliseconds.
const STARVED: f64 = 20_000.0;
/// A segment that takes longer counts as lost, in milliseconds.
const SEGMENT_PATIENCE: f64 = 15_000.0;
/// A viewer asks so often at most.
const MOST_TRIES: u8 = 3;

enum Event {
    Arrive,
    /// A span of the day ends.
    Span,
    Step {
        viewer: usize,
        life: u32,
        step: Step,
    },
    /// The viewer has waited long enough for the answer to that request.
    GiveUp {
        viewer: usize,
        ask: u64,
        leaves: bool,
    },
    Reply {
        viewer: usize,
        ask: u64,
        reply: Reply,
    },
    Front {
        manager: Manager,
        life: u32,
        told: Box<Told>,
    },
    Wake {
        manager: Manager,
        life: u32,
    },
    Order {
        manager: Manager,
        order: Box<Order>,
    },
    /// A set-up's work is done.
    Worked {
        manager: Manager,
        life: u32,
        server: ServerNo,
        born: u32,
        vw: String,
        no: usize,
        title: usize,
    },
    Sample {
        server: ServerNo,
        born: u32,
    },
    /// The list tells what it knows.
    List,
    Fault {
        ix: usize,
        on: bool,
    },
    /// One of the servers that a fault takes one after the other; `on` false ends its drain.
    Retire {
        server: ServerNo,
        ix: usize,
        on: bool,
    },
    Neighbour {
        ix: usize,
        on: bool,
    },
    Kill {
        manager: Manager,
        back: bool,
    },
    Move {
        manager: Manager,
    },
}

#[derive(Clone, Copy)]
enum Step {
    Ask,
    Reload,
    Fetch,
    Fetched,
}

/// What a front wants done, on its way to a server.
enum Order {
    SetUp {
        vw: String,
        no: usize,
        server: ServerNo,
        title: usize,
        package: String,
        rung: usize,
        send_by: f64,
    },
    CallOff {
        vw: String,
        no: usize,
        server: ServerNo,
    },
    ChangeRung {
        vw: String,
        server: ServerNo,
        rung: usize,
    },
    LetGo {
        vw: String,
        server: ServerNo,
    },
    Listen {
        server: ServerNo,
    },
    HangUp {
        server: ServerNo,
    },
    Probe {
        server: ServerNo,
    },
}

#[derive(Default)]
struct Wishes {
    orders: Vec<Order>,
    replies: Vec<(AskId, Reply)>,
}

/// The model's servers are named by their number.
fn server(id: &ServerId) -> ServerNo {
    ServerNo(id.to_string().strip_prefix("box-").and_then(|it| it.parse().ok()).unwrap_or(usize::MAX))
}

fn name(it: ServerNo) -> String {
    format!("box-{}", it.0)
}

impl Orders for Wishes {
    fn set_up(&mut self, it: &SetUp) {
        let title = it.title.to_string();
        self.orders.push(Order::SetUp {
            vw: it.vw.to_string(),
            no: it.no,
            server: server(&it.server),
            title: title.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or(0),
            package: it.package.clone(),
            rung: it.rung.0,
            send_by: it.send_by.0,
        });
    }
    fn call_off(&mut self, vw: &ViewingId, no: usize, at: &ServerId, _: &str) {
        self.orders.push(Order::CallOff { vw: vw.to_string(), no, server: server(at) });
    }
    fn change_rung(&mut self, vw: &ViewingId, at: &ServerId, _: &str, rung: Rung) {
        self.orders.push(Order::ChangeRung { vw: vw.to_string(), server: server(at), rung: rung.0 });
    }
    fn let_go(&mut self, vw: &ViewingId, at: &ServerId, _: &str) {
        self.orders.push(Order::LetGo { vw: vw.to_string(), server: server(at) });
    }
    fn reply(&mut self, ask: AskId, reply: Reply) {
        self.replies.push((ask, reply));
    }
    fn listen(&mut self, at: &ServerId, _: &str) {
        self.orders.push(Order::Listen { server: server(at) });
    }
    fn hang_up(&mut self, at: &ServerId) {
        self.orders.push(Order::HangUp { server: server(at) });
    }
    fn probe(&mut self, at: &ServerId, _: &str) {
        self.orders.push(Order::Probe { server: server(at) });
    }
}

struct Post {
    front: Option<Front>,
    life: u32,
    armed: f64,
    /// It stands still until then; what comes waits.
    still_until: f64,
    waits: Vec<Told>,
    asks: BTreeMap<u64, usize>,
}

struct Viewer {
    wanted: Wanted,
    life: u32,
    tries: u8,
    manager: Manager,
    /// The request that waits for its answer, when it was sent, and whether it is a first one.
    ask: Option<(u64, f64, bool)>,
    watch: Option<WatchId>,
    buffer: Buffer,
    fetch: VecDeque<Segment>,
    fetched: bool,
    ended: bool,
    began: f64,
    asked_at: f64,
    failures: u8,
}

/// What more is known of a server than its links.
struct Kept {
    born: u32,
    next_report: f64,
    next_second: f64,
    silent: bool,
}

/// Makes the decisions of a manager that begins: the time, a seed, its terms.
pub type Decide = Box<dyn Fn(Ms, u64, Terms, &mut dyn Answers) -> Box<dyn Decisions>>;

pub struct Model {
    decide: Decide,
    plan: Plan,
    now: f64,
    end: f64,
    rng: fastrand::Rng,
    wheel: Wheel<Event>,
    links: Links,
    kept: Vec<Kept>,
    posts: Vec<Post>,
    viewers: Vec<Viewer>,
    free: Vec<usize>,
    asks: u64,
    /// What is known of each server, by when the list tells it.
    news: Vec<(f64, ServerNo, Option<Listed>)>,
    list: BTreeMap<usize, Listed>,
    index: u64,
    list_held: bool,
    reports_late: f64,
    taken: Vec<Vec<ServerNo>>,
    keys: Keys,
    watching: u64,
    figures: Figures,
    spans: Vec<Span>,
    span_began: Figures,
    waited_ms: f64,
    /// By rack: samples, short ones, and the sum of what was asked of the uplink.
    racks: Vec<(u64, u64, f64)>,
    /// By package and title: requests, and those blocked.
    titles: BTreeMap<(usize, usize), (u64, u64)>,
}

impl Model {
    /// # Errors
    /// If a fault is one that has no meaning without sockets.
    pub fn new(plan: &Plan, seed: u64) -> Result<Model, String> {
        Model::with(plan, seed, |now, seed, terms, out| Box::new(Brain::born(now, seed, terms, out)))
    }

    /// With other decisions than the module's, for comparison.
    ///
    /// # Errors
    /// As [`Model::new`].
    pub fn with(
        plan: &Plan,
        seed: u64,
        decide: impl Fn(Ms, u64, Terms, &mut dyn Answers) -> Box<dyn Decisions> + 'static,
    ) -> Result<Model, String> {
        let day = &plan.day;
        use FaultKind as Kind;
        let on_sockets = |it: &&Fault| {
            matches!(
                it.kind,
                Kind::Garble
                    | Kind::ListGarbled
                    | Kind::ListBack
                    | Kind::SlowReaders
                    | Kind::Nonsense
                    | Kind::Forgers
                    | Kind::Reset
                    | Kind::CoreStall
            )
        };
        if let Some(fault) = day.faults.iter().find(on_sockets) {
            return Err(format!(
                "fault {:?} is one of sockets: play that day with `ottersail rehearse`",
                fault.name
            ));
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        let uneven = |rng: &mut fastrand::Rng| 1.0 + day.uneven * (rng.f64() * 2.0 - 1.0);
        let racks = (0..day.racks.max(1))
            .map(|_| Rack { uplink_kb: day.uplink_kb * uneven(&mut rng), asked_kb: 0.0 })
            .collect();
        let warming = Warming {
            lasts: day.cold,
            start_capacity: day.start_capacity,
            fall_multiple: day.fall_multiple,
            fall: day.fall,
        };
        let keys =
            Keys::read("model bW9kZWxtb2RlbG1vZGVsbW9kZWxtb2RlbG1vZGVs").map_err(|it| it.to_string())?;
        let mut it = Model {
            decide: Box::new(decide),
            plan: plan.clone(),
            now: START,
            end: START + day.seconds * 1e3,
            rng,
            wheel: Wheel::new(START),
            links: Links::new(Vec::new(), racks, warming),
            kept: Vec::new(),
            posts: Vec::new(),
            viewers: Vec::new(),
            free: Vec::new(),
            asks: 0,
            news: Vec::new(),
            list: BTreeMap::new(),
            index: 0,
            list_held: false,
            reports_late: 0.0,
            taken: vec![Vec::new(); day.faults.len()],
            keys,
            watching: 0,
            figures: Figures::default(),
            spans: Vec::new(),
            span_began: Figures::default(),
            waited_ms: 0.0,
            racks: vec![(0, 0, 0.0); day.racks.max(1) as usize],
            titles: BTreeMap::new(),
        };
        (0..day.servers as u64).for_each(|cell| _ = it.add(cell, false));
        it.hear_news();
        for ix in 0..day.managers {
            it.posts.push(Post {
                front: None,
                life: 0,
                armed: f64::INFINITY,
                still_until: 0.0,
                waits: Vec::new(),
                asks: BTreeMap::new(),
            });
            it.begin(Manager(ix));
        }
        for (ix, fault) in day.faults.iter().enumerate() {
            it.wheel.put(START + fault.start * 1e3, Event::Fault { ix, on: true });
            it.wheel.put(START + fault.end * 1e3, Event::Fault { ix, on: false });
        }
        // A list's second: managers know it before the first viewer comes.
        it.wheel.put(START + 200.0, Event::Arrive);
        it.wheel.put(START + day.seconds * 1e3 / SPANS as f64, Event::Span);
        Ok(it)
    }

    /// Plays the day to its end, and lets who watches then watch on for a while.
    pub fn run(mut self) -> (Figures, Detail, f64) {
        let last =
            self.end + self.plan.day.packages.iter().map(|it| it.length.1 * 2e3).fold(10_000.0, f64::max);
        while let Some((at, event)) = self.wheel.pop() {
            if at > last || (at > self.end && self.watching == 0) {
                break;
            }
            self.now = self.now.max(at);
            self.figures.events += 1;
            self.happens(event);
        }
        self.figures.in_hand =
            self.viewers.iter().filter(|it| it.ask.is_some_and(|ask| ask.2)).count() as u64;
        self.figures.twice = self.links.twice;
        let drift = self.links.drift();
        let detail = self.detail();
        (self.figures, detail, drift)
    }

    fn detail(&mut self) -> Detail {
        let racks = self.racks.iter().enumerate().map(|(ix, (all, lost, asked))| Row {
            name: ix.to_string(),
            all: *all,
            lost: *lost,
            fill: asked / (*all).max(1) as f64,
        });
        let day = &self.plan.day;
        let titles = self.titles.iter().map(|((package, title), (all, lost))| Row {
            name: format!("{}-{title}", day.packages[*package].name),
            all: *all,
            lost: *lost,
            fill: 0.0,
        });
        let mut titles: Vec<Row> = titles.collect();
        titles.sort_by(|a, b| b.all.cmp(&a.all).then(a.name.cmp(&b.name)));
        titles.truncate(20);
        Detail { spans: std::mem::take(&mut self.spans), racks: racks.collect(), titles }
    }

    fn span_ends(&mut self) {
        let (mut links, mut uplinks, mut cold) = (Vec::new(), Vec::new(), 0);
        let mut rungs = vec![0; self.plan.day.rates_kb.len()];
        for ix in 0..self.links.servers.len() {
            if !self.links.servers[ix].alive {
                continue;
            }
            let report = self.links.report(ServerNo(ix));
            links.extend(report.link);
            uplinks.extend(report.uplink);
            cold += u64::from(self.links.warmth(ServerNo(ix), self.now) < 1.0);
            self.links.servers[ix].held.values().for_each(|it| rungs[it.rung] += 1);
        }
        let (now, then) = (&self.figures, &self.span_began);
        self.spans.push(Span {
            until: self.second(),
            asked: now.asked - then.asked,
            played: now.played - then.played,
            blocked: now.blocked - then.blocked,
            aborted: now.aborted - then.aborted,
            links: band(links),
            uplinks: band(uplinks),
            rungs,
            cold,
            cold_set_ups: now.cold_set_ups - then.cold_set_ups,
            waited_ms: std::mem::take(&mut self.waited_ms),
        });
        self.span_began = self.figures.clone();
        if self.spans.len() < SPANS {
            self.after(self.plan.day.seconds * 1e3 / SPANS as f64, Event::Span);
        }
    }

    fn second(&self) -> f64 {
        (self.now - START) / 1e3
    }

    fn way(&mut self) -> f64 {
        WAY * (1.0 + self.rng.f64())
    }

    fn after(&mut self, span: f64, event: Event) {
        self.wheel.put(self.now + span, event);
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Span => self.span_ends(),
            Event::Step { viewer, life, step } => {
                if self.viewers[viewer].life == life {
                    self.step(viewer, step);
                }
            }
            Event::GiveUp { viewer, ask, leaves } => self.gives_up(viewer, ask, leaves),
            Event::Reply { viewer, ask, reply } => self.replied(viewer, ask, reply),
            Event::Front { manager, life, told } => {
                if self.posts[manager.0].life == life {
                    self.tell(manager, *told);
                }
            }
            Event::Wake { manager, life } => {
                let post = &mut self.posts[manager.0];
                if post.life == life {
                    post.armed = f64::INFINITY;
                    self.tell(manager, Told::TimeHasCome);
                }
            }
            Event::Order { manager, order } => self.order(manager, *order),
            Event::Worked { manager, life, server, born, vw, no, title } => {
                if self.kept[server.0].born == born {
                    self.worked((manager, life), server, vw, no, title);
                }
            }
            Event::Sample { server, born } => {
                if self.kept[server.0].born == born {
                    self.sample(server);
                }
            }
            Event::List => self.hear_news(),
            Event::Fault { ix, on } => self.fault(ix, on),
            Event::Retire { server, ix, on } => self.retire(server, ix, on),
            Event::Neighbour { ix, on } => self.neighbour(ix, on),
            Event::Kill { manager, back } => self.kill(manager, back),
            Event::Move { manager } => self.moves(manager),
        }
    }

    // Managers.

    fn begin(&mut self, manager: Manager) {
        let day = &self.plan.day;
        let mut terms = self.plan.terms.clone();
        terms.me = ManagerIx(manager.0 as u64);
        terms.zone = day.zones[manager.0 % day.zones.len()].as_str().into();
        let house = House {
            url: format!("http://manager-{}", manager.0),
            keys: self.keys.clone(),
            ticket_s: 600,
            most_waiting: 100_000,
            most_watches: 1_000_000,
            send_within: Ms(self.plan.grace.0 * 0.25),
            linger: Ms(1000.0),
        };
        let mut wishes = Wishes::default();
        let (now, seed) = (Ms(self.now), self.rng.u64(..));
        let front =
            Front::with(now, terms, house, &mut wishes, |terms, out| (self.decide)(now, seed, terms, out));
        let post = &mut self.posts[manager.0];
        post.front = Some(front);
        post.life += 1;
        post.armed = f64::INFINITY;
        self.carry_out(manager, wishes);
        let (day, list) = (&self.plan.day, self.list.values().cloned().collect());
        let cells = self.plan.terms.cells.max(1);
        let titles = day.packages.iter().flat_map(|package| {
            (0..day.titles).map(move |number| Title {
                name: format!("{}-{number}", package.name),
                base: (number as u64 * 7) % cells,
                copies: day.copies,
            })
        });
        let titled = Told::Titled { titles: titles.collect() };
        let listed = Told::Listed { index: self.index, list };
        self.tell(manager, titled);
        self.tell(manager, listed);
    }

    fn tell(&mut self, manager: Manager, told: Told) {
        let now = self.now;
        let post = &mut self.posts[manager.0];
        if now < post.still_until {
            return post.waits.push(told);
        }
        let Some(front) = &mut post.front else {
            return;
        };
        let mut wishes = Wishes::default();
        told.tell(front, Ms(now), &mut wishes);
        if !matches!(told, Told::TimeHasCome) && front.next_due().is_some_and(|it| it.0 <= now) {
            front.time_has_come(Ms(now), &mut wishes);
        }
        let due = front.next_due().map_or(f64::INFINITY, |it| it.0);
        if due < post.armed {
            post.armed = due;
            let life = post.life;
            self.wheel.put(due.max(now), Event::Wake { manager, life });
        }
        self.carry_out(manager, wishes);
    }

    fn carry_out(&mut self, manager: Manager, wishes: Wishes) {
        for (ask, reply) in wishes.replies {
            if let Some(viewer) = self.posts[manager.0].asks.remove(&ask.0) {
                let way = self.way();
                self.after(way, Event::Reply { viewer, ask: ask.0, reply });
            }
        }
        // In order on each way: what is done for a viewing is done in order.
        let way = self.way();
        for order in wishes.orders {
            self.after(way, Event::Order { manager, order: Box::new(order) });
        }
    }

    /// A server, or the list, tells a manager something, after its way and `span` more.
    fn notify(&mut self, manager: Manager, span: f64, told: Told) {
        let (way, life) = (self.way(), self.posts[manager.0].life);
        self.after(way + span, Event::Front { manager, life, told: Box::new(told) });
    }

    fn kill(&mut self, manager: Manager, back: bool) {
        if back {
            return self.begin(manager);
        }
        let post = &mut self.posts[manager.0];
        post.front = None;
        post.life += 1;
        post.waits.clear();
        let asks = std::mem::take(&mut post.asks);
        for server in &mut self.links.servers {
            server.listeners.remove(&manager);
        }
        for (ask, viewer) in asks {
            let waits = &mut self.viewers[viewer].ask;
            if let Some((_, _, first)) = waits.take_if(|it| it.0 == ask) {
                self.figures.broken += u64::from(first);
                self.viewers[viewer].watch = None;
                self.again(viewer, 600.0);
            }
        }
    }

    fn moves(&mut self, manager: Manager) {
        let waits = std::mem::take(&mut self.posts[manager.0].waits);
        for told in waits {
            self.tell(manager, told);
        }
        self.tell(manager, Told::TimeHasCome);
    }

    // Servers.

    fn add(&mut self, cell: u64, cold: bool) -> ServerNo {
        let day = &self.plan.day;
        let weight = [0.5, 1.0, 1.0, 1.5][self.rng.usize(..4)];
        let uneven = 1.0 + day.uneven * (self.rng.f64() * 2.0 - 1.0);
        let it = ServerNo(self.links.servers.len());
        self.links.servers.push(crate::links::Server {
            rack: (cell % day.racks.max(1)) as usize,
            cell,
            zone: day.zones[cell as usize % day.zones.len()].clone(),
            weight,
            link_kb: day.link_kb * weight * uneven,
            places: day.places,
            cold_since: cold.then_some(self.now),
            taken: 0.0,
            alive: true,
            mute: false,
            draining: false,
            asked_kb: 0.0,
            held: HashMap::new(),
            sent: VecDeque::new(),
            listeners: BTreeSet::new(),
            past: VecDeque::new(),
            was_short: false,
        });
        self.kept.push(Kept { born: 0, next_report: 0.0, next_second: 0.0, silent: false });
        self.starts(it);
        self.publish(it, if cold { self.plan.day.notice } else { 0.0 });
        it
    }

    fn starts(&mut self, it: ServerNo) {
        self.kept[it.0].born += 1;
        self.kept[it.0].silent = false;
        self.links.servers[it.0].alive = true;
        let born = self.kept[it.0].born;
        // Not all at the same moment.
        let first = SAMPLE * self.rng.f64();
        self.after(first, Event::Sample { server: it, born });
    }

    fn comes_back(&mut self, it: ServerNo) {
        self.links.servers[it.0].cold_since = Some(self.now);
        self.starts(it);
        self.publish(it, self.plan.day.notice);
    }

    /// The process ends. A crash resets its connections; one that falls silent does not.
    fn dies(&mut self, it: ServerNo, silent: bool) {
        if !self.links.servers[it.0].alive {
            return;
        }
        self.links.die(it);
        self.kept[it.0].born += 1;
        self.kept[it.0].silent = silent;
        let listeners = std::mem::take(&mut self.links.servers[it.0].listeners);
        for manager in listeners {
            let span = if silent { SILENCE } else { 0.0 };
            self.notify(manager, span, Told::ServerLost { server: name(it) });
        }
        self.publish(it, if silent { self.plan.day.silent_notice } else { self.plan.day.notice });
    }

    fn rate(&self, package: usize, rung: usize) -> f64 {
        let day = &self.plan.day;
        day.rates_kb.get(rung).copied().unwrap_or(1.0) * day.packages[package].scale
    }

    fn order(&mut self, manager: Manager, order: Order) {
        let now = self.now;
        match order {
            Order::SetUp { vw, no, server, title, package, rung, send_by } => {
                let life = self.posts[manager.0].life;
                let end = |end| Told::SetUpEnded { vw: vw.clone(), no, end, report: Report::default() };
                if now > send_by {
                    return self.notify(manager, 0.0, end(SetUpEnd::NotSent));
                }
                if !self.links.servers[server.0].alive {
                    let span = if self.kept[server.0].silent { CONNECT } else { 0.0 };
                    return self.notify(manager, span, end(SetUpEnd::NoConnection));
                }
                self.figures.set_ups += 1;
                let warmth = self.links.warmth(server, now);
                self.figures.cold_set_ups += u64::from(warmth < 1.0);
                let package = self.plan.day.packages.iter().position(|it| it.name == package).unwrap_or(0);
                let kb = self.rate(package, rung);
                let held = Held { manager, no, package, rung, kb, seen: now };
                match self.links.set_up(now, server, &vw, held) {
                    Taken::Yes => {
                        let work = self.plan.day.set_up * (0.5 + self.rng.f64()) / warmth.max(0.05);
                        let born = self.kept[server.0].born;
                        self.after(work, Event::Worked { manager, life, server, born, vw, no, title });
                    }
                    Taken::NoPlace => {
                        self.figures.turned_away += 1;
                        let report = Report { delivered: None, ..self.links.report(server) };
                        let told = Told::SetUpEnded { vw, no, end: SetUpEnd::TurnedAway, report };
                        self.notify(manager, 0.0, told);
                    }
                    Taken::Fell => {
                        self.figures.fell += 1;
                        self.notify(manager, 0.0, end(SetUpEnd::ConnectionLost));
                        self.dies(server, false);
                    }
                }
            }
            Order::CallOff { vw, no, server } => {
                let held = self.links.servers[server.0].held.get(&vw).is_some_and(|it| it.no == no);
                if held {
                    self.links.end(server, &vw);
                }
            }
            Order::ChangeRung { vw, server, rung } => {
                let package = self.links.servers[server.0].held.get(&vw).map(|it| it.package);
                let list = package.filter(|_| self.links.servers[server.0].alive).map(|package| {
                    let kb = self.rate(package, rung);
                    let before = self.links.servers[server.0].held[&vw].rung;
                    self.links.set_rung(server, &vw, rung, kb);
                    self.figures.steps_up += u64::from(rung > before);
                    self.figures.steps_down += u64::from(rung < before);
                    // All titles of a package have segments of one length; the front keeps the title's own list.
                    playlist(&self.plan.day, package, 0)
                });
                self.notify(manager, 0.0, Told::RungChanged { vw, rung, playlist: list });
            }
            Order::LetGo { vw, server } => {
                let alive = self.links.servers[server.0].alive;
                if alive {
                    self.links.end(server, &vw);
                    self.notify(manager, 0.0, Told::LetGo { vw });
                }
            }
            Order::Listen { server } => {
                if self.links.servers[server.0].alive {
                    self.links.servers[server.0].listeners.insert(manager);
                } else {
                    let span = if self.kept[server.0].silent { SILENCE } else { 0.0 };
                    self.notify(manager, span, Told::ServerLost { server: name(server) });
                }
            }
            Order::HangUp { server } => _ = self.links.servers[server.0].listeners.remove(&manager),
            // One that is not answered is given up by the front's own clock.
            Order::Probe { server } => {
                if self.links.servers[server.0].alive && !self.kept[server.0].silent {
                    let report = Some(Report { delivered: None, ..self.links.report(server) });
                    self.notify(manager, 0.0, Told::Probed { server: name(server), report });
                }
            }
        }
    }

    fn worked(&mut self, (manager, life): (Manager, u32), it: ServerNo, vw: String, no: usize, title: usize) {
        let Some(held) = self.links.servers[it.0].held.get(&vw).filter(|it| it.no == no) else {
            return;
        };
        if self.posts[manager.0].life != life {
            // Its connection closed with its manager: nobody has the answer.
            self.links.end(it, &vw);
            return;
        }
        if self.links.servers[it.0].mute {
            return;
        }
        let list = playlist(&self.plan.day, held.package, title);
        let report = Report { delivered: None, ..self.links.report(it) };
        let end = SetUpEnd::Playing { playlist: list };
        self.notify(manager, 0.0, Told::SetUpEnded { vw, no, end, report });
    }

    fn sample(&mut self, it: ServerNo) {
        let now = self.now;
        self.links.remember(it, now);
        let report = self.links.report(it);
        self.figures.sampled += 1;
        let short = u64::from(report.delivered.is_some_and(|it| it < 0.98));
        self.figures.short += short;
        let rack = &mut self.racks[self.links.servers[it.0].rack];
        *rack = (rack.0 + 1, rack.1 + short, rack.2 + report.uplink.unwrap_or(0.0));
        let seen = self.links.seen(it, now, self.plan.day.seen_after + self.reports_late);
        let mut notes = Vec::new();
        if now >= self.kept[it.0].next_second {
            self.kept[it.0].next_second = now + 1000.0;
            let was_short = self.links.servers[it.0].was_short;
            if let Some(share) = seen.and_then(|it| it.delivered).filter(|it| *it < 0.98 || was_short) {
                self.links.servers[it.0].was_short = share < 0.98;
                notes.push(Note::Load(Report { delivered: Some(share), ..Report::default() }));
            }
        }
        if now >= self.kept[it.0].next_report {
            self.kept[it.0].next_report = now + self.plan.day.reports_every;
            notes.extend(seen.map(|it| Note::Load(Report { delivered: None, ..it })));
        }
        let listeners: Vec<Manager> = self.links.servers[it.0].listeners.iter().copied().collect();
        for note in notes {
            for manager in &listeners {
                self.notify(*manager, 0.0, Told::Noted { server: name(it), note: note.clone() });
            }
        }
        let idle = self.links.servers[it.0].held.iter().filter(|held| now - held.1.seen > LEASE);
        let mut idle: Vec<String> = idle.map(|it| it.0.clone()).collect();
        // The order of a hash is another each time.
        idle.sort();
        for viewing in idle {
            if let Some(held) = self.links.end(it, &viewing) {
                let note = Note::Ended { viewing, cause: EndCause::Left };
                self.notify(held.manager, 0.0, Told::Noted { server: name(it), note });
            }
        }
        let born = self.kept[it.0].born;
        self.after(SAMPLE, Event::Sample { server: it, born });
    }

    // The list.

    fn publish(&mut self, it: ServerNo, after: f64) {
        let server = &self.links.servers[it.0];
        let listed = server.alive.then(|| Listed {
            id: name(it),
            address: address(it),
            standing: if server.draining { Standing::Draining } else { Standing::Up },
            zone: server.zone.clone(),
            kind: self.plan.day.kind.clone(),
            cell: server.cell,
            weight: server.weight,
            started_ms: server.cold_since,
        });
        let at = self.now + after;
        // What was to be said of it later is overtaken.
        self.news.retain(|news| news.1 != it || news.0 <= at);
        self.news.push((at, it, listed));
        self.wheel.put(at, Event::List);
    }

    fn hear_news(&mut self) {
        if self.list_held {
            return;
        }
        let now = self.now;
        let (told, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.news).into_iter().partition(|it| it.0 <= now);
        self.news = later;
        if told.is_empty() {
            return;
        }
        for (_, it, listed) in told {
            self.index += 1;
            match listed {
                Some(listed) => _ = self.list.insert(it.0, listed),
                None => _ = self.list.remove(&it.0),
            }
        }
        let list: Vec<Listed> = self.list.values().cloned().collect();
        for ix in 0..self.posts.len() {
            let span = self.rng.f64() * PICK_UP;
            self.notify(Manager(ix), span, Told::Listed { index: self.index, list: list.clone() });
        }
    }

    // What goes wrong.

    fn pick(&mut self, part: f64) -> Vec<ServerNo> {
        let all = (0..self.links.servers.len()).map(ServerNo);
        let runs = |it: &ServerNo| self.links.servers[it.0].alive && !self.links.servers[it.0].draining;
        let mut all: Vec<ServerNo> = all.filter(runs).collect();
        self.rng.shuffle(&mut all);
        let count = ((all.len() as f64 * part).round() as usize).clamp(1, all.len().max(1));
        all.truncate(count);
        all
    }

    fn fault(&mut self, ix: usize, on: bool) {
        let fault = self.plan.day.faults[ix].clone();
        let span = (fault.end - fault.start) * 1e3;
        use FaultKind as Kind;
        if matches!(fault.kind, Kind::Crowd | Kind::Burst) {
            return;
        }
        if on {
            self.taken[ix] = self.pick(fault.part);
        }
        let taken = self.taken[ix].clone();
        let managers = ((self.posts.len() as f64 * fault.part).round() as usize).clamp(1, self.posts.len());
        match fault.kind {
            Kind::ListSilent | Kind::ListFailing => {
                self.list_held = on;
                if on && fault.kind == Kind::ListFailing {
                    (0..self.posts.len()).for_each(|it| self.notify(Manager(it), 0.0, Told::ListFailed));
                }
                self.hear_news();
            }
            Kind::ListStale => {
                // What is told from now on is told so much later.
                self.plan.day.notice += if on { fault.size * 1e3 } else { -fault.size * 1e3 };
            }
            Kind::SlowLinks => self.links.slow = if on { fault.size } else { 1.0 },
            Kind::LateReports => self.reports_late = if on { fault.size * 1e3 } else { 0.0 },
            Kind::Hang | Kind::LoseAnswers | Kind::Stall => {
                taken.iter().for_each(|it| self.links.servers[it.0].mute = on);
            }
            Kind::Crash | Kind::Vanish => {
                for it in taken {
                    if on {
                        self.dies(it, fault.kind == Kind::Vanish);
                    } else {
                        self.comes_back(it);
                    }
                }
            }
            Kind::Drain => {
                for it in taken {
                    if !self.links.servers[it.0].alive {
                        continue;
                    }
                    self.links.servers[it.0].draining = on;
                    self.publish(it, self.plan.day.notice);
                }
            }
            Kind::Replace | Kind::Remove if on => {
                let gap = span / taken.len().max(1) as f64;
                for (count, it) in taken.into_iter().enumerate() {
                    self.after(gap * count as f64, Event::Retire { server: it, ix, on: true });
                }
            }
            Kind::Neighbour if on => self.neighbour(ix, true),
            Kind::ManagerKill => (0..managers).for_each(|it| self.kill(Manager(it), !on)),
            Kind::ManagerRoll if on => {
                let gap = span / self.posts.len() as f64;
                for it in 0..self.posts.len() {
                    let manager = Manager(it);
                    self.after(gap * it as f64, Event::Kill { manager, back: false });
                    self.after(gap * it as f64 + fault.size * 1e3, Event::Kill { manager, back: true });
                }
            }
            Kind::ManagerStall if on => {
                for it in 0..managers {
                    self.posts[it].still_until = self.now + span;
                    self.after(span, Event::Move { manager: Manager(it) });
                }
            }
            _ => {}
        }
    }

    fn neighbour(&mut self, ix: usize, on: bool) {
        let fault = self.plan.day.faults[ix].clone();
        let over = self.second() >= fault.end - 1e-9;
        for it in self.taken[ix].clone() {
            self.links.servers[it.0].taken = if on && !over { fault.size } else { 0.0 };
        }
        if !over {
            let span = 2_000f64.min((fault.end - self.second()) * 1e3);
            self.after(span, Event::Neighbour { ix, on: !on });
        }
    }

    /// Drained for a while, then ended and, if so told, replaced by a cold one in its cell.
    fn retire(&mut self, it: ServerNo, ix: usize, on: bool) {
        let fault = self.plan.day.faults[ix].clone();
        if !self.links.servers[it.0].alive {
            return;
        }
        if on {
            self.links.servers[it.0].draining = true;
            self.publish(it, self.plan.day.notice);
            return self.after(fault.size * 1e3, Event::Retire { server: it, ix, on: false });
        }
        let cell = self.links.servers[it.0].cell;
        self.dies(it, false);
        if fault.kind == FaultKind::Replace {
            self.add(cell, true);
        }
    }

    // Viewers.

    fn arrive(&mut self) {
        let second = self.second();
        let gap = gap(&self.plan.day, &mut self.rng, second);
        if self.now + gap < self.end {
            self.after(gap, Event::Arrive);
        }
        let wanted = draw(&self.plan.day, &mut self.rng, second);
        let viewer = Viewer {
            wanted,
            life: 0,
            tries: 0,
            manager: Manager(0),
            ask: None,
            watch: None,
            buffer: Buffer::default(),
            fetch: VecDeque::new(),
            fetched: false,
            ended: false,
            began: 0.0,
            asked_at: 0.0,
            failures: 0,
        };
        self.watching += 1;
        let ix = match self.free.pop() {
            Some(ix) => {
                // Its numbers go on, so that nothing meant for who had the seat before reaches it.
                let life = self.viewers[ix].life + 1;
                self.viewers[ix] = Viewer { life, ..viewer };
                ix
            }
            None => {
                self.viewers.push(viewer);
                self.viewers.len() - 1
            }
        };
        self.step(ix, Step::Ask);
    }

    fn next(&mut self, viewer: usize, span: f64, step: Step) {
        let life = self.viewers[viewer].life;
        self.after(span, Event::Step { viewer, life, step });
    }

    /// The viewer is gone for good.
    fn leaves(&mut self, viewer: usize) {
        let it = &mut self.viewers[viewer];
        it.life += 1;
        it.ask = None;
        it.watch = None;
        self.figures.stalled_ms += it.buffer.stalled;
        let worst = it.buffer.stalled / 1e3 * self.plan.day.worth.get(it.wanted.best).copied().unwrap_or(1.0);
        self.figures.offered += it.buffer.offered;
        self.figures.earned += (it.buffer.earned - worst).max(0.0);
        it.buffer = Buffer::default();
        self.watching -= 1;
        self.free.push(viewer);
    }

    /// After a pause it may ask anew.
    fn again(&mut self, viewer: usize, pause: f64) {
        let may = self.rng.f64() <= self.plan.day.come_again && self.viewers[viewer].tries < MOST_TRIES;
        if !may {
            return self.leaves(viewer);
        }
        let pause = pause + 200.0 + 800.0 * self.rng.f64();
        self.next(viewer, pause, Step::Ask);
    }

    /// Sends a request, for which an answer is owed.
    fn ask(&mut self, viewer: usize, first: bool, told: impl FnOnce(AskId, &Viewer) -> Told) {
        self.asks += 1;
        let ask = self.asks;
        let package = self.viewers[viewer].wanted.package;
        let patience = self.plan.day.packages[package].patience;
        let impatient = first && self.rng.f64() < self.plan.day.impatient;
        let leaves = if impatient { self.rng.f64() * 60.0 } else { f64::INFINITY };
        let now = self.now;
        let it = &mut self.viewers[viewer];
        it.ask = Some((ask, now, first));
        let (manager, told) = (it.manager, told(AskId(ask), it));
        let title = self.viewers[viewer].wanted.title;
        if first {
            self.titles.entry((package, title)).or_default().0 += 1;
            self.figures.asked += 1;
        } else {
            self.figures.reloads += 1;
        }
        self.after(patience.min(leaves), Event::GiveUp { viewer, ask, leaves: leaves < patience });
        if self.posts[manager.0].front.is_none() {
            // Nobody listens there.
            return self.gives_up(viewer, ask, false);
        }
        self.posts[manager.0].asks.insert(ask, viewer);
        self.notify(manager, 0.0, told);
    }

    fn gives_up(&mut self, viewer: usize, ask: u64, leaves: bool) {
        let Some((_, _, first)) = self.viewers[viewer].ask.take_if(|it| it.0 == ask) else {
            return;
        };
        let manager = self.viewers[viewer].manager;
        let dead = self.posts[manager.0].front.is_none();
        if self.posts[manager.0].asks.remove(&ask).is_some() {
            self.notify(manager, 0.0, Told::Left { ask: AskId(ask) });
        }
        if first {
            *(if leaves {
                &mut self.figures.left
            } else if dead {
                &mut self.figures.broken
            } else {
                &mut self.figures.gave_up
            }) += 1;
        }
        if leaves {
            self.leaves(viewer);
        } else {
            self.viewers[viewer].watch = None;
            self.again(viewer, 600.0);
        }
    }

    fn step(&mut self, viewer: usize, step: Step) {
        let now = self.now;
        match step {
            Step::Ask => {
                let zone = self.viewers[viewer].wanted.zone;
                let (zones, count) = (self.plan.day.zones.len(), self.posts.len());
                // One of the managers of its zone, or any if the zone has none.
                let near = (count + zones - 1 - zone) / zones;
                let manager =
                    if near > 0 { zone + zones * self.rng.usize(..near) } else { self.rng.usize(..count) };
                let day = &self.plan.day;
                let it = &mut self.viewers[viewer];
                it.manager = Manager(manager);
                it.tries += 1;
                (it.asked_at, it.failures) = (now, 0);
                let package = &day.packages[it.wanted.package];
                let asked = Asked {
                    title: format!("{}-{}", package.name, it.wanted.title),
                    package: package.name.clone(),
                    tenant: it.wanted.tenant.clone(),
                    best: it.wanted.best,
                    patience: package.patience,
                };
                self.ask(viewer, true, |ask, _| Told::Asked { ask, asked });
            }
            Step::Reload => {
                let it = &self.viewers[viewer];
                let Some(watch) = it.watch.clone() else {
                    return self.again(viewer, 0.0);
                };
                if now - it.began > it.wanted.leaves || it.buffer.stalled > STARVED {
                    return self.leaves(viewer);
                }
                self.ask(viewer, false, |ask, it| Told::Reloaded {
                    ask,
                    watch,
                    unread: Some(it.buffer.next),
                });
            }
            Step::Fetch => self.fetch(viewer),
            Step::Fetched => self.fetched(viewer),
        }
    }

    fn replied(&mut self, viewer: usize, ask: u64, reply: Reply) {
        let Some((_, _, first)) = self.viewers[viewer].ask.take_if(|it| it.0 == ask) else {
            return;
        };
        let may_repeat = self.plan.day.packages[self.viewers[viewer].wanted.package].may_repeat;
        match (reply, first) {
            (Reply::Playlist(text), true) => {
                self.figures.played += 1;
                self.waited_ms += self.now - self.viewers[viewer].asked_at;
                self.figures.most_at_once = self.figures.most_at_once.max(self.watching);
                let id = text.lines().find_map(|line| {
                    let path = line.strip_prefix("http://")?.split_once("/viewing/")?.1;
                    path.split_once(".m3u8").map(|it| WatchId(it.0.to_string()))
                });
                let it = &mut self.viewers[viewer];
                (it.watch, it.began) = (id, self.now);
                let done = std::mem::take(&mut it.buffer);
                self.count(viewer, &done);
                self.step(viewer, Step::Reload);
            }
            (Reply::Playlist(text), false) => {
                let Some(listing) = read(&text) else {
                    return self.leaves(viewer);
                };
                let it = &mut self.viewers[viewer];
                let next = it.buffer.next;
                it.fetch = listing.segments.into_iter().filter(|it| it.at >= next).collect();
                (it.ended, it.fetched) = (listing.ended, false);
                self.fetch(viewer);
            }
            (Reply::Blocked { stay_away }, true) => {
                self.figures.blocked += 1;
                let wanted = &self.viewers[viewer].wanted;
                self.titles.entry((wanted.package, wanted.title)).or_default().1 += 1;
                // The header knows whole seconds only.
                let pause = stay_away.map_or(1e3, |it| (it / 1e3).ceil() * 1e3);
                self.again(viewer, pause.max(500.0));
            }
            (Reply::Aborted { .. }, true) => {
                self.figures.aborted += 1;
                if may_repeat {
                    self.again(viewer, 800.0);
                } else {
                    self.leaves(viewer);
                }
            }
            (Reply::Blocked { .. } | Reply::Aborted { .. }, false) if self.viewers[viewer].failures < 3 => {
                self.viewers[viewer].failures += 1;
                self.next(viewer, 1_000.0, Step::Reload);
            }
            (_, first) => {
                // No such watch any more, or a request that was unfit.
                self.figures.aborted += u64::from(first);
                self.viewers[viewer].watch = None;
                self.again(viewer, 0.0);
            }
        }
    }

    /// A watch is over, another begins: what was seen of it counts.
    fn count(&mut self, viewer: usize, done: &Buffer) {
        let best = self.plan.day.worth.get(self.viewers[viewer].wanted.best).copied().unwrap_or(1.0);
        self.figures.offered += done.offered;
        self.figures.earned += (done.earned - done.stalled / 1e3 * best).max(0.0);
        self.figures.stalled_ms += done.stalled;
    }

    fn fetch(&mut self, viewer: usize) {
        let (now, segment) = (self.now, self.plan.day.segment);
        let it = &mut self.viewers[viewer];
        if now - it.began > it.wanted.leaves {
            return self.leaves(viewer);
        }
        let Some(first) = it.fetch.front() else {
            if it.ended {
                return self.leaves(viewer);
            }
            let span = if it.fetched { it.buffer.reloads_at(now, segment) - now } else { segment / 2.0 };
            return self.next(viewer, span, Step::Reload);
        };
        let wants = it.buffer.wants_at(now, segment);
        if wants > now {
            return self.next(viewer, wants - now, Step::Fetch);
        }
        let server = first.server;
        let share = self.links.report(server).delivered.unwrap_or(1.0);
        let there = self.links.servers[server.0].alive;
        let held = self.links.servers[server.0].held.get_mut(&first.vw).filter(|_| there);
        let Some(held) = held else {
            return self.broke(viewer);
        };
        held.seen = now;
        // A segment comes at once where all is given. On a short link each viewing gets its share of its rate and no more,
        // so that a segment takes longer to come than to be shown.
        let wait = if share < 1.0 { segment / share.max(0.01) } else { 0.0 };
        if wait > SEGMENT_PATIENCE {
            return self.broke(viewer);
        }
        self.next(viewer, wait + 2.0 * WAY, Step::Fetched);
    }

    fn broke(&mut self, viewer: usize) {
        let it = &mut self.viewers[viewer];
        it.failures += 1;
        it.fetch.clear();
        if it.failures > 8 {
            it.watch = None;
            return self.again(viewer, 0.0);
        }
        self.next(viewer, 250.0, Step::Reload);
    }

    fn fetched(&mut self, viewer: usize) {
        let now = self.now;
        let worth = |rung: usize| self.plan.day.worth.get(rung).copied().unwrap_or(1.0);
        let it = &mut self.viewers[viewer];
        let Some(segment) = it.fetch.pop_front() else {
            return;
        };
        if it.buffer.rung.is_none() {
            self.figures.start_ms += now - it.asked_at;
        }
        it.buffer.takes(now, &segment, worth(segment.rung), worth(it.wanted.best));
        (it.fetched, it.failures) = (true, 0);
        self.fetch(viewer);
    }
}
