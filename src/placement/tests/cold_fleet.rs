//! Many managers before one server that has just started, on a clock of the test's own.

use super::*;

pub const START: f64 = 100_000.0;
const LASTS: f64 = 10_000.0;
const FALL_WINDOW: f64 = 1000.0;
const CONNECT: f64 = 250.0;
/// How late a manager may hear of a part after the first one that hears of it.
const LATE: f64 = 0.95 * (FALL_WINDOW + CONNECT);

/// What happens to the managers while they fill the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    Nothing,
    OneByOneRestart,
    AllRestart,
    AllRestartTwice,
    NumberIsTold,
    NumberComesByRestart,
    SlotsAreTold,
}

/// How long what is sent is on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delay {
    Zero,
    Random,
    /// All that is sent shortly before certain instants arrives at these.
    Bunched,
}

enum News {
    Born(f64),
    Ended,
    Part(Vec<u64>, f64),
}

pub struct Fleet {
    terms: PlacementConfig,
    dice: Chance,
    managers: BTreeMap<u64, Placement>,
    /// What happens to which manager, the latest first.
    news: Vec<(Ms, u64, News)>,
    delay: Delay,
    /// When what was sent reached the server.
    pub arrivals: Vec<f64>,
}

/// One package; the settings allow `n` set-ups in a fall window at the lowest warmth.
pub fn cold_terms(managers: u64, n: f64) -> PlacementConfig {
    let mut terms =
        PlacementConfig { manager_count: managers as f64, packages: vec![package(1.0)], ..terms() };
    let cold = &mut terms.cold;
    (cold.warm_up, cold.fall_window, cold.max_send_delay) = (Ms(LASTS), Ms(FALL_WINDOW), Ms(CONNECT));
    let places = n * LASTS / FALL_WINDOW / cold.start_capacity / cold.fall_multiple;
    // A little more than exact, so that rounding does not take one set-up away.
    terms.places_by_kind = [(HardwareKind::from("k"), places * (1.0 + 1e-12))].into();
    terms
}

/// A manager that is told at once, by a saved list, of the server and its start.
pub fn told_at_birth(now: Ms, seed: u64, me: u64, terms: PlacementConfig) -> Placement {
    let mut said = Said::default();
    let mut it = Placement::new(now, seed, PlacementConfig { manager: ManagerIndex(me), ..terms }, &mut said);
    let started = ServerEntry { started: Some(Ms(START)), ..entry("s0", 0) };
    it.update_servers(now, ListMode::Saved, &[started], &mut said);
    it
}

impl Fleet {
    pub fn new(managers: u64, n: f64, event: Event, delay: Delay, seed: u64) -> Fleet {
        let terms = cold_terms(managers, n);
        let born = |me| (me, told_at_birth(Ms(0.0), me + 1, me, terms.clone()));
        let managers_born = (0..managers).map(born).collect();
        let (news, arrivals) = (Vec::new(), Vec::new());
        let mut it = Fleet { terms, dice: Chance(seed | 1), managers: managers_born, news, delay, arrivals };
        it.plan(event, managers);
        it.news.sort_by_key(|it| std::cmp::Reverse(it.0));
        it
    }

    /// From just above 0 to that many send windows.
    fn windows(&mut self, most: f64) -> f64 {
        self.dice.part() * most * (FALL_WINDOW + CONNECT)
    }

    fn plan(&mut self, event: Event, managers: u64) {
        let (mut at, mut number) = (START + self.windows(4.0), managers);
        if event == Event::SlotsAreTold {
            self.plan_slots(0.0, managers);
        }
        while at < START + LASTS {
            match event {
                Event::Nothing => {}
                Event::OneByOneRestart => self.restart(managers, at, 5.0),
                Event::AllRestart => self.restart(managers, at, 0.0),
                Event::AllRestartTwice => {
                    self.restart(managers, at, 0.0);
                    let again = at + self.dice.part() * FALL_WINDOW * 0.9;
                    self.restart(managers, again, 0.0);
                }
                Event::NumberIsTold | Event::NumberComesByRestart => {
                    let next =
                        [managers * 2, managers + 1, managers.div_ceil(2), managers][self.dice.below(4)];
                    self.plan_number(at, number, next, event == Event::NumberIsTold);
                    number = next;
                }
                Event::SlotsAreTold => self.plan_slots(at, managers),
            }
            at += self.windows(3.0) + 1.5 * (FALL_WINDOW + CONNECT);
        }
    }

    /// All managers, each within so many send windows from then on.
    fn restart(&mut self, managers: u64, at: f64, within: f64) {
        for me in 0..managers {
            let at = Ms(at + self.windows(within));
            self.news.push((at, me, News::Born(managers as f64)));
        }
    }

    /// The number of managers changes; those that stay learn it late.
    fn plan_number(&mut self, at: f64, before: u64, number: u64, told: bool) {
        for me in 0..before.max(number) {
            let learnt = Ms(at + self.dice.part() * LATE);
            let of = number as f64;
            self.news.push(match me {
                _ if me >= before => (Ms(at), me, News::Born(of)),
                _ if me >= number => (learnt, me, News::Ended),
                _ if told => (learnt, me, News::Part(vec![me], of)),
                _ => (learnt, me, News::Born(of)),
            });
        }
    }

    /// Three slots a manager, dealt out anew; each learns late which are its own.
    fn plan_slots(&mut self, at: f64, managers: u64) {
        let mut held = vec![Vec::new(); managers as usize];
        for slot in 0..managers * 3 {
            held[self.dice.below(managers as usize)].push(slot);
        }
        for (me, slots) in (0..).zip(held) {
            let learnt = Ms(at + self.dice.part() * LATE);
            self.news.push((learnt, me, News::Part(slots, managers as f64 * 3.0)));
        }
    }

    fn hear(&mut self, now: Ms) {
        while self.news.last().is_some_and(|it| it.0 <= now) {
            let Some((at, me, news)) = self.news.pop() else { break };
            match news {
                News::Ended => drop(self.managers.remove(&me)),
                News::Born(managers) => {
                    let (seed, terms) =
                        (self.dice.0, PlacementConfig { manager_count: managers, ..self.terms.clone() });
                    self.managers.insert(me, told_at_birth(at, seed, me, terms));
                }
                News::Part(slots, of) => {
                    self.managers.get_mut(&me).into_iter().for_each(|it| it.set_slots(at, &slots, of));
                }
            }
        }
    }

    fn arrival(&mut self, now: f64) -> f64 {
        let every = FALL_WINDOW + CONNECT;
        let instant = (now / every).ceil() * every;
        match self.delay {
            Delay::Zero => now,
            Delay::Random => now + self.dice.part() * CONNECT,
            Delay::Bunched if instant - now <= CONNECT => instant,
            Delay::Bunched => now,
        }
    }

    /// While the server is cold, each manager sends all that it may, always or in spells common to all.
    pub fn fill(&mut self, in_spells: bool) {
        let (mut now, mut wanted, mut until) = (START, true, START);
        // Until the last tick within the warm-up: a warm server takes any number.
        while now + 51.0 < START + LASTS {
            now += 1.0 + self.dice.part() * 50.0;
            if in_spells && now >= until {
                (wanted, until) = (!wanted, now + self.windows(1.0));
            }
            self.hear(Ms(now));
            let mut sends = 0;
            for it in self.managers.values_mut().filter(|_| wanted) {
                it.now = Ms(now);
                while it.pace_allows(&it.servers[&"s0".into()]) {
                    server(it, "s0").sent.push(Ms(now));
                    sends += 1;
                }
            }
            for _ in 0..sends {
                let arrival = self.arrival(now);
                self.arrivals.push(arrival);
            }
        }
        self.arrivals.sort_by(f64::total_cmp);
    }

    /// What reached the server within the fullest fall window.
    pub fn fullest(&self) -> usize {
        let first = |end: f64| self.arrivals.partition_point(|at| *at <= end - FALL_WINDOW);
        self.arrivals.iter().enumerate().map(|(ix, end)| ix + 1 - first(*end)).max().unwrap_or(0)
    }
}
