//! A simulation of many managers that send set-ups to one server that has just started.

use super::*;

/// When the server starts, in ms.
pub const START: f64 = 100_000.0;
const WARM_UP: f64 = 10_000.0;
const FALL_WINDOW: f64 = 1000.0;
const CONNECT_TIME: f64 = 250.0;
const SEND_WINDOW: f64 = FALL_WINDOW + CONNECT_TIME;
/// Longest time from the first manager that learns of new slots to the last one.
const LEARNING_DELAY: f64 = 0.95 * SEND_WINDOW;

/// What happens to the managers meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    Nothing,
    OneByOneRestart,
    AllRestart,
    AllRestartTwice,
    /// The number of managers changes, and running managers are told.
    NumberIsTold,
    /// The number of managers changes, and managers learn it by a restart.
    NumberComesByRestart,
    /// Slots are reassigned.
    SlotsAreTold,
}

/// How long a set-up takes to arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delay {
    Zero,
    Random,
    /// All set-ups sent shortly before certain instants arrive at these.
    Bunched,
}

enum Change {
    Start { manager_count: f64 },
    Stop,
    Slots { mine: Vec<u64>, total: f64 },
}

/// The managers and the server.
pub struct Fleet {
    config: PlacementConfig,
    rng: Rng,
    managers: BTreeMap<u64, Placement>,
    /// Changes by time and manager, the latest first.
    changes: Vec<(Ms, u64, Change)>,
    delay: Delay,
    /// Arrival times of the set-ups at the server.
    pub arrivals: Vec<f64>,
}

/// One package, and settings that allow `allowed` set-ups in a fall window at the lowest capacity.
pub fn cold_config(managers: u64, allowed: f64) -> PlacementConfig {
    let mut config =
        PlacementConfig { manager_count: managers as f64, packages: vec![package(1.0)], ..config() };
    let cold = &mut config.cold;
    (cold.warm_up, cold.fall_window, cold.max_send_delay) = (Ms(WARM_UP), Ms(FALL_WINDOW), Ms(CONNECT_TIME));
    let places = allowed * WARM_UP / FALL_WINDOW / cold.start_capacity / cold.fall_multiple;
    // Slightly more than exact, so that rounding does not take one set-up away.
    config.places_by_kind = [(HardwareKind::from("k"), places * (1.0 + 1e-12))].into();
    config
}

/// A manager that knows the server and its start time from a saved list as soon as it starts.
pub fn manager_with_list(now: Ms, seed: u64, number: u64, config: PlacementConfig) -> Placement {
    let mut actions = RecordedActions::default();
    let config = PlacementConfig { manager: ManagerIndex(number), ..config };
    let mut placement = Placement::new(now, seed, config, &mut actions);
    let started = ServerEntry { started: Some(Ms(START)), ..entry("s0", 0) };
    placement.update_servers(now, ListMode::Saved, &[started], &mut actions);
    placement
}

impl Fleet {
    /// A fleet for which the event is planned.
    pub fn new(managers: u64, allowed: f64, event: Event, delay: Delay, seed: u64) -> Fleet {
        let config = cold_config(managers, allowed);
        let start = |number| (number, manager_with_list(Ms(0.0), number + 1, number, config.clone()));
        let running = (0..managers).map(start).collect();
        let (changes, arrivals) = (Vec::new(), Vec::new());
        let mut fleet = Fleet { config, rng: Rng(seed | 1), managers: running, changes, delay, arrivals };
        fleet.plan(event, managers);
        fleet.changes.sort_by_key(|(at, _, _)| std::cmp::Reverse(*at));
        fleet
    }

    /// A random time of up to that many send windows.
    fn windows(&mut self, most: f64) -> f64 {
        self.rng.unit() * most * SEND_WINDOW
    }

    fn plan(&mut self, event: Event, managers: u64) {
        let (mut at, mut count) = (START + self.windows(4.0), managers);
        if event == Event::SlotsAreTold {
            self.plan_slots(0.0, managers);
        }
        while at < START + WARM_UP {
            match event {
                Event::Nothing => {}
                Event::OneByOneRestart => self.plan_restarts(managers, at, 5.0),
                Event::AllRestart => self.plan_restarts(managers, at, 0.0),
                Event::AllRestartTwice => {
                    self.plan_restarts(managers, at, 0.0);
                    let again = at + self.rng.unit() * FALL_WINDOW * 0.9;
                    self.plan_restarts(managers, again, 0.0);
                }
                Event::NumberIsTold | Event::NumberComesByRestart => {
                    let next =
                        [managers * 2, managers + 1, managers.div_ceil(2), managers][self.rng.below(4)];
                    self.plan_count(at, count, next, event == Event::NumberIsTold);
                    count = next;
                }
                Event::SlotsAreTold => self.plan_slots(at, managers),
            }
            at += self.windows(3.0) + 1.5 * SEND_WINDOW;
        }
    }

    /// All managers restart, each within that many send windows.
    fn plan_restarts(&mut self, managers: u64, at: f64, within: f64) {
        for number in 0..managers {
            let at = Ms(at + self.windows(within));
            self.changes.push((at, number, Change::Start { manager_count: managers as f64 }));
        }
    }

    /// The number of managers changes; those that remain learn it with a delay.
    fn plan_count(&mut self, at: f64, before: u64, after: u64, without_restart: bool) {
        for number in 0..before.max(after) {
            let learnt = Ms(at + self.rng.unit() * LEARNING_DELAY);
            let manager_count = after as f64;
            self.changes.push(match number {
                _ if number >= before => (Ms(at), number, Change::Start { manager_count }),
                _ if number >= after => (learnt, number, Change::Stop),
                _ if without_restart => {
                    (learnt, number, Change::Slots { mine: vec![number], total: manager_count })
                }
                _ => (learnt, number, Change::Start { manager_count }),
            });
        }
    }

    /// Reassigns three slots for each manager; each manager learns its own with a delay.
    fn plan_slots(&mut self, at: f64, managers: u64) {
        let mut held = vec![Vec::new(); managers as usize];
        for slot in 0..managers * 3 {
            held[self.rng.below(managers as usize)].push(slot);
        }
        for (number, mine) in (0..).zip(held) {
            let learnt = Ms(at + self.rng.unit() * LEARNING_DELAY);
            self.changes.push((learnt, number, Change::Slots { mine, total: managers as f64 * 3.0 }));
        }
    }

    fn apply_changes(&mut self, now: Ms) {
        while self.changes.last().is_some_and(|(at, _, _)| *at <= now) {
            let Some((at, number, change)) = self.changes.pop() else { break };
            match change {
                Change::Stop => drop(self.managers.remove(&number)),
                Change::Start { manager_count } => {
                    let config = PlacementConfig { manager_count, ..self.config.clone() };
                    self.managers.insert(number, manager_with_list(at, self.rng.0, number, config));
                }
                Change::Slots { mine, total } => {
                    if let Some(placement) = self.managers.get_mut(&number) {
                        placement.set_slots(at, &mine, total);
                    }
                }
            }
        }
    }

    fn arrival(&mut self, sent: f64) -> f64 {
        let instant = (sent / SEND_WINDOW).ceil() * SEND_WINDOW;
        match self.delay {
            Delay::Zero => sent,
            Delay::Random => sent + self.rng.unit() * CONNECT_TIME,
            Delay::Bunched if instant - sent <= CONNECT_TIME => instant,
            Delay::Bunched => sent,
        }
    }

    /// While the server is cold, each manager sends as much as it may, always or in periods common to all.
    pub fn fill(&mut self, in_periods: bool) {
        let (mut now, mut sending, mut until) = (START, true, START);
        // Until the last tick within the warm-up: a warm server takes any number.
        while now + 51.0 < START + WARM_UP {
            now += 1.0 + self.rng.unit() * 50.0;
            if in_periods && now >= until {
                (sending, until) = (!sending, now + self.windows(1.0));
            }
            self.apply_changes(Ms(now));
            let mut sent = 0;
            for placement in self.managers.values_mut().filter(|_| sending) {
                placement.now = Ms(now);
                while placement.pace_allows(&placement.servers[&"s0".into()]) {
                    server_mut(placement, "s0").set_ups_sent.push(Ms(now));
                    sent += 1;
                }
            }
            for _ in 0..sent {
                let arrival = self.arrival(now);
                self.arrivals.push(arrival);
            }
        }
        self.arrivals.sort_by(f64::total_cmp);
    }

    /// Number of arrivals in the fall window that has most.
    pub fn fullest(&self) -> usize {
        let first = |end: f64| self.arrivals.partition_point(|at| *at <= end - FALL_WINDOW);
        self.arrivals.iter().enumerate().map(|(index, end)| index + 1 - first(*end)).max().unwrap_or(0)
    }
}
