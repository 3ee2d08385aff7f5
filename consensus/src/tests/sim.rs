//! The world of the tests: queues of messages and disks, faults by chance, and a judge of what is told.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};

use super::judge::{founded, Heap, Judge};
use crate::*;
use ottersail_membership::rng::SeededRng;

/// What goes wrong, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: usize,
    pub double: usize,
    /// Of all steps of 50 ms: a one-way cut for some hundred milliseconds.
    pub cut: usize,
    pub crash: usize,
    /// Of all crashes: the memory goes too, if a majority still has its own.
    pub forget: usize,
    /// Of all accepts: refused by the upper layer's guard.
    pub refuse: usize,
    /// Milliseconds that a sync takes beyond the 5 to 10 of a good disk.
    pub sync: usize,
}

/// An upper layer's guard that refuses by chance.
struct Moody(bool);

impl Guard for Moody {
    fn allows(&self, _: Ms, _: Key, _: &StoredState, _: &Value) -> bool {
        !self.0
    }
}

#[derive(Clone, Debug)]
enum Event {
    Deliver { from: MemberId, life: InstanceId, to: MemberId, message: Message },
    Kept { at: MemberId, life: InstanceId, token: Token },
    Up(MemberId),
    Heal(MemberId, MemberId),
}

pub struct Sim {
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
    drawn: u64,
    lives: BTreeMap<(MemberId, MemberId), InstanceId>,
    /// Each way, and each sync: from this to twice this.
    pub way: Ms,
    pub sync: Ms,
    pub judge: Judge,
}

impl Sim {
    pub fn new(count: u64, seed: u64, faults: Faults, guards: Guards) -> Sim {
        let members: Vec<MemberId> = (1..=count).map(MemberId).collect();
        let mut sim = Sim {
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
            drawn: 1000,
            lives: BTreeMap::new(),
            way: Ms(2.0),
            sync: Ms(5.0 + faults.sync as f64),
            judge: Judge::default(),
        };
        members.iter().for_each(|member| sim.start(*member));
        sim
    }

    pub fn start(&mut self, member: MemberId) {
        self.drawn += 1;
        let config = CouncilConfig::new(member, InstanceId(self.drawn), &self.members, self.drawn);
        let disk = self
            .disks
            .entry(member)
            .or_insert_with(|| StoredState::new(StoreGeneration::drawn(u64::MAX - self.drawn)));
        let mut councillor = Councillor::new(self.now, config, disk.clone());
        councillor.sabotage(self.guards);
        self.up.insert(member, councillor);
        self.set_living();
    }

    fn set_living(&mut self) {
        let living: BTreeSet<MemberId> = self.up.keys().copied().collect();
        self.up.values_mut().for_each(|councillor| councillor.set_living(&living));
    }

    pub fn forget(&mut self, member: MemberId) {
        self.disks.remove(&member);
    }

    pub fn crash(&mut self, member: MemberId) {
        self.up.remove(&member);
        let unsynced = self.unsynced.remove(&member).unwrap_or_default();
        // Some of what was wished last may have reached the disk untold.
        for (_, records) in unsynced.iter().take(self.chance.below(unsynced.len() + 1)) {
            let disk = self.disks.entry(member).or_default();
            records.iter().for_each(|record| disk.apply(record));
        }
        self.set_living();
    }

    pub fn submit(&mut self, at: MemberId, key: Key, change: Change) -> u64 {
        self.drawn += 1;
        let number = self.drawn;
        self.judge.asked.insert((at, number), (key, self.judge.newest(key)));
        self.call(at, |councillor, now, guard, out| councillor.submit(now, number, key, change, guard, out));
        number
    }

    fn call(&mut self, at: MemberId, step: impl FnOnce(&mut Councillor, Ms, &dyn Guard, &mut dyn Effects)) {
        let Some(councillor) = self.up.get_mut(&at) else { return };
        let mut heap = Heap::default();
        let guard = Moody(self.chance.below(1000) < self.faults.refuse);
        step(councillor, self.now, &guard, &mut heap);
        let life = councillor.follower().config().life;
        for (to, message) in heap.sent {
            let size = postcard::to_allocvec(&message).map(|bytes| bytes.len()).unwrap_or(usize::MAX);
            assert!(size <= 900, "{size} bytes: {message:?}");
            let copies = match self.chance.below(1000) {
                n if n < self.faults.loss => 0,
                n if n < self.faults.loss + self.faults.double => 2,
                _ => 1,
            };
            for _ in 0..copies {
                // Now and then far behind the others.
                let late = if self.chance.below(20) == 0 { 100.0 * self.chance.fraction() } else { 1.0 };
                let wait = self.way * ((1.0 + self.chance.fraction()) * late);
                self.later(wait, Event::Deliver { from: at, life, to, message: message.clone() });
            }
        }
        for (token, records) in heap.keeps {
            let unsynced = self.unsynced.entry(at).or_default();
            unsynced.push((token, records));
            let wait = self.sync * (1.0 + self.chance.fraction());
            self.later(wait, Event::Kept { at, life, token });
        }
        for (key, value) in heap.chosen {
            self.judge.tell(key, &value);
        }
        for (number, outcome) in heap.answers {
            self.judge.answer(self.now, at, number, &outcome);
        }
    }

    fn later(&mut self, wait: Ms, event: Event) {
        self.drawn += 1;
        self.events.insert((self.now + wait, self.drawn), event);
    }

    pub fn run(&mut self, span: Ms) {
        let until = self.now + span;
        loop {
            let event = self.events.keys().next().copied().filter(|(at, _)| *at <= until);
            let bell = self.up.iter().map(|(member, c)| (c.next_timer(), *member)).min();
            match (event, bell) {
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
                // As the members' gate: once a later life is believed, nothing of an earlier one is.
                let heard = self.lives.entry((from, to)).or_insert(life);
                if *heard > life {
                    return;
                }
                *heard = life;
                self.call(to, |councillor, now, guard, out| {
                    councillor.on_message(now, from, &message, guard, out)
                });
            }
            Event::Deliver { .. } => {}
            Event::Kept { at, life, token } => {
                if self.up.get(&at).is_none_or(|c| c.follower().config().life != life) {
                    return;
                }
                self.sync_upto(at, token);
            }
            Event::Up(member) => self.start(member),
            Event::Heal(from, to) => {
                self.cuts.remove(&(from, to));
            }
        }
    }

    /// In order: a later token's sync takes the earlier ones along.
    fn sync_upto(&mut self, at: MemberId, token: Token) {
        let unsynced = self.unsynced.remove(&at).unwrap_or_default();
        let (done, rest): (Vec<_>, Vec<_>) = unsynced.into_iter().partition(|(other, _)| *other <= token);
        self.unsynced.insert(at, rest);
        for (token, records) in done {
            let disk = self.disks.entry(at).or_default();
            records.iter().for_each(|record| disk.apply(record));
            self.call(at, |councillor, now, guard, out| councillor.on_persisted(now, token, guard, out));
        }
    }

    /// One step of 50 ms with chance's faults.
    pub fn trouble(&mut self) {
        let any = self.members[self.chance.below(self.members.len())];
        let other = self.members[self.chance.below(self.members.len())];
        if self.chance.below(1000) < self.faults.cut && self.cuts.insert((any, other)) {
            let wait = Ms(600.0) * self.chance.fraction();
            self.later(wait, Event::Heal(any, other));
        }
        if self.chance.below(1000) < self.faults.crash && self.up.contains_key(&any) {
            self.crash(any);
            let sound =
                self.disks.iter().filter(|(member, disk)| **member != any && disk.participating).count();
            if self.chance.below(1000) < self.faults.forget && sound > self.members.len() / 2 {
                self.forget(any);
            }
            let wait = Ms(400.0) * self.chance.fraction();
            self.later(wait, Event::Up(any));
        }
        self.run(Ms(50.0));
    }
}
