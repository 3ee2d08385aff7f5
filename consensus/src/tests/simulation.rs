//! Simulates a council: message queues, disks and random faults, with a checker of all reported results.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};

use super::checker::{founded, Checker, CollectedEffects};
use super::faults::Faults;
use crate::*;
use ottersail_membership::rng::SeededRng;

/// A guard of the upper layer that allows or refuses one call.
struct RandomGuard(bool);

impl Guard for RandomGuard {
    fn allows(&self, _: Ms, _: Key, _: &StoredState, _: &Value) -> bool {
        !self.0
    }
}

#[derive(Clone, Debug)]
enum Event {
    Deliver { from: MemberId, life: InstanceId, to: MemberId, message: Message },
    Persisted { at: MemberId, life: InstanceId, token: Token },
    Restart(MemberId),
    Heal(MemberId, MemberId),
}

/// The simulated council.
pub struct Simulation {
    pub now: Ms,
    pub chance: SeededRng,
    pub faults: Faults,
    pub guards: Guards,
    pub up: BTreeMap<MemberId, Councillor>,
    pub disks: BTreeMap<MemberId, StoredState>,
    unsynced: BTreeMap<MemberId, Vec<(Token, Vec<Record>)>>,
    events: BTreeMap<(Ms, u64), Event>,
    pub cuts: BTreeSet<(MemberId, MemberId)>,
    pub members: Vec<MemberId>,
    last_number: u64,
    latest_lives: BTreeMap<(MemberId, MemberId), InstanceId>,
    /// Each message takes from this to twice this long; each sync likewise.
    pub link_delay: Ms,
    pub sync_time: Ms,
    pub checker: Checker,
}

impl Simulation {
    pub fn new(count: u64, seed: u64, faults: Faults, guards: Guards) -> Simulation {
        let members: Vec<MemberId> = (1..=count).map(MemberId).collect();
        let mut sim = Simulation {
            now: Ms(0.0),
            chance: SeededRng::new(seed),
            faults,
            guards,
            up: BTreeMap::new(),
            disks: founded(&members),
            unsynced: BTreeMap::new(),
            events: BTreeMap::new(),
            cuts: BTreeSet::new(),
            members: members.clone(),
            last_number: 1000,
            latest_lives: BTreeMap::new(),
            link_delay: Ms(2.0),
            sync_time: Ms(5.0 + faults.extra_sync_ms as f64),
            checker: Checker::default(),
        };
        members.iter().for_each(|member| sim.start(*member));
        sim
    }

    pub fn start(&mut self, member: MemberId) {
        self.last_number += 1;
        let config =
            CouncilConfig::new(member, InstanceId(self.last_number), &self.members, self.last_number);
        let disk = self
            .disks
            .entry(member)
            .or_insert_with(|| StoredState::new(StoreGeneration::drawn(u64::MAX - self.last_number)));
        let mut councillor = Councillor::new(self.now, config, disk.clone());
        councillor.sabotage(self.guards);
        self.up.insert(member, councillor);
        self.update_living();
    }

    fn update_living(&mut self) {
        let living: BTreeSet<MemberId> = self.up.keys().copied().collect();
        self.up.values_mut().for_each(|councillor| councillor.set_living(&living));
    }

    pub fn lose_store(&mut self, member: MemberId) {
        self.disks.remove(&member);
    }

    pub fn crash(&mut self, member: MemberId) {
        self.up.remove(&member);
        let unsynced = self.unsynced.remove(&member).unwrap_or_default();
        // Some of the unconfirmed records may have reached the disk.
        for (_, records) in unsynced.iter().take(self.chance.below(unsynced.len() + 1)) {
            let disk = self.disks.entry(member).or_default();
            records.iter().for_each(|record| disk.apply(record));
        }
        self.update_living();
    }

    pub fn submit(&mut self, at: MemberId, key: Key, change: Change) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        self.checker.asked.insert((at, number), (key, self.checker.newest(key)));
        self.call(at, |councillor, now, guard, out| councillor.submit(now, number, key, change, guard, out));
        number
    }

    fn call(&mut self, at: MemberId, step: impl FnOnce(&mut Councillor, Ms, &dyn Guard, &mut dyn Effects)) {
        let Some(councillor) = self.up.get_mut(&at) else { return };
        let mut effects = CollectedEffects::default();
        let guard = RandomGuard(self.chance.below(1000) < self.faults.refuse_accept);
        step(councillor, self.now, &guard, &mut effects);
        let life = councillor.follower().config().life;
        for (to, message) in effects.sent {
            let size = postcard::to_allocvec(&message).map(|bytes| bytes.len()).unwrap_or(usize::MAX);
            assert!(size <= 900, "{size} bytes: {message:?}");
            let copies = match self.chance.below(1000) {
                draw if draw < self.faults.loss => 0,
                draw if draw < self.faults.loss + self.faults.duplicate => 2,
                _ => 1,
            };
            for _ in 0..copies {
                // One message in 20 arrives much later than the others.
                let late = if self.chance.below(20) == 0 { 100.0 * self.chance.fraction() } else { 1.0 };
                let wait = self.link_delay * ((1.0 + self.chance.fraction()) * late);
                self.schedule(wait, Event::Deliver { from: at, life, to, message: message.clone() });
            }
        }
        for (token, records) in effects.persisted {
            let unsynced = self.unsynced.entry(at).or_default();
            unsynced.push((token, records));
            let wait = self.sync_time * (1.0 + self.chance.fraction());
            self.schedule(wait, Event::Persisted { at, life, token });
        }
        for (key, value) in effects.chosen {
            self.checker.record_chosen(key, &value);
        }
        for (number, outcome) in effects.answers {
            self.checker.answer(self.now, at, number, &outcome);
        }
    }

    fn schedule(&mut self, wait: Ms, event: Event) {
        self.last_number += 1;
        self.events.insert((self.now + wait, self.last_number), event);
    }

    pub fn run(&mut self, span: Ms) {
        let until = self.now + span;
        loop {
            let event = self.events.keys().next().copied().filter(|(at, _)| *at <= until);
            let timer = self.up.iter().map(|(member, councillor)| (councillor.next_timer(), *member)).min();
            match (event, timer) {
                (event, Some((at, member))) if at <= until && event.is_none_or(|(first, _)| at < first) => {
                    self.now = self.now.max(at);
                    self.call(member, |councillor, now, guard, out| councillor.on_timer(now, guard, out));
                }
                (Some(first), _) => {
                    self.now = first.0;
                    if let Some(event) = self.events.remove(&first) {
                        self.take(event);
                    }
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Deliver { from, life, to, message } if !self.cuts.contains(&(from, to)) => {
                // As in the membership layer: once a later life is known, messages of an earlier one are dropped.
                let heard = self.latest_lives.entry((from, to)).or_insert(life);
                if *heard > life {
                    return;
                }
                *heard = life;
                self.call(to, |councillor, now, guard, out| {
                    councillor.on_message(now, from, &message, guard, out)
                });
            }
            Event::Deliver { .. } => {}
            Event::Persisted { at, life, token } => {
                if self.up.get(&at).is_none_or(|councillor| councillor.follower().config().life != life) {
                    return;
                }
                self.sync_up_to(at, token);
            }
            Event::Restart(member) => self.start(member),
            Event::Heal(from, to) => {
                self.cuts.remove(&(from, to));
            }
        }
    }

    /// Syncs in order: a later token's sync includes the earlier ones.
    fn sync_up_to(&mut self, at: MemberId, token: Token) {
        let unsynced = self.unsynced.remove(&at).unwrap_or_default();
        let (done, rest): (Vec<_>, Vec<_>) = unsynced.into_iter().partition(|(other, _)| *other <= token);
        self.unsynced.insert(at, rest);
        for (token, records) in done {
            let disk = self.disks.entry(at).or_default();
            records.iter().for_each(|record| disk.apply(record));
            self.call(at, |councillor, now, guard, out| councillor.on_persisted(now, token, guard, out));
        }
    }

    /// One step of 50 ms with random faults.
    pub fn step_with_faults(&mut self) {
        let victim = self.members[self.chance.below(self.members.len())];
        let other = self.members[self.chance.below(self.members.len())];
        if self.chance.below(1000) < self.faults.cut_link && self.cuts.insert((victim, other)) {
            let wait = Ms(600.0) * self.chance.fraction();
            self.schedule(wait, Event::Heal(victim, other));
        }
        if self.chance.below(1000) < self.faults.crash && self.up.contains_key(&victim) {
            self.crash(victim);
            let others_participating =
                self.disks.iter().filter(|(member, disk)| **member != victim && disk.participating).count();
            if self.chance.below(1000) < self.faults.lose_store
                && others_participating > self.members.len() / 2
            {
                self.lose_store(victim);
            }
            let wait = Ms(400.0) * self.chance.fraction();
            self.schedule(wait, Event::Restart(victim));
        }
        self.run(Ms(50.0));
    }
}
