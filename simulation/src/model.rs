//! A day in simulated time: servers and their links, the list, managers, viewers. Everything happens as an
//! event of one wheel, drawn from one seed, so that a run repeats itself to the byte.

mod asking;
mod event;
mod faults;
mod kept;
mod list;
mod managers;
mod orders;
mod servers;
mod spans;
mod viewers;
mod watching;
mod wishes;

use crate::detail::{Detail, Span, SPANS};
use crate::errors::ModelError;
use crate::figures::Figures;
use crate::links::{Links, Manager, Rack, ServerNo, Warming};
use crate::parts::Parts;
use crate::wheel::Wheel;
use event::Event;
use kept::{Kept, Post, Viewer};
use ottersail_daemon::settings::day::DayPlan;
use ottersail_fake_servers::{Fault, FaultKind};
use ottersail_front::config::PlacementConfig;
use ottersail_front::decisions::Decisions;
use ottersail_front::recording::FrontInput;
use ottersail_front::{Ms, Placement, PlacementActions};
use ottersail_signed_urls::Keys;
use ottersail_wire::catalogue::CatalogueServer;
use std::collections::BTreeMap;

/// The first moment of a day, in milliseconds since 1970.
const START: f64 = 1.7e12;
/// One way between any two machines, and as much again by chance, in milliseconds.
const WAY: f64 = 0.3;
/// A machine that is silent is given up after so long without a note, in milliseconds.
const SILENCE: f64 = 3_000.0;

/// Makes the decisions of a manager that begins: the time, a seed, its terms.
pub type Decide = Box<dyn Fn(Ms, u64, PlacementConfig, &mut dyn PlacementActions) -> Box<dyn Decisions>>;

pub struct Model {
    decide: Decide,
    plan: DayPlan,
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
    /// `None`: parts by number, as without a council.
    parts: Option<Parts>,
    /// What is known of each server, by when the list tells it.
    news: Vec<(f64, ServerNo, Option<CatalogueServer>)>,
    list: BTreeMap<usize, CatalogueServer>,
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
    pub fn new(plan: &DayPlan, seed: u64) -> Result<Model, ModelError> {
        Model::with(plan, seed, |now, seed, terms, out| Box::new(Placement::new(now, seed, terms, out)))
    }

    /// With other decisions than the module's, for comparison.
    ///
    /// # Errors
    /// As [`Model::new`].
    pub fn with(
        plan: &DayPlan,
        seed: u64,
        decide: impl Fn(Ms, u64, PlacementConfig, &mut dyn PlacementActions) -> Box<dyn Decisions> + 'static,
    ) -> Result<Model, ModelError> {
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
            return Err(ModelError::OnSockets { fault: fault.name.clone() });
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
        let keys = Keys::read("model bW9kZWxtb2RlbG1vZGVsbW9kZWxtb2RlbG1vZGVs");
        let keys = keys.map_err(|it| ModelError::Key(it.to_string()))?;
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
            parts: None,
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
            Event::Parts => self.share_out(),
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
                    self.tell(manager, FrontInput::TimersDue);
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
}
