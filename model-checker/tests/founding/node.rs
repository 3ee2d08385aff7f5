//! A councillor from its first start on, with its disk.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ottersail::time::Ms;
use ottersail_consensus::{
    AllowAll, CouncilConfig, Councillor, Effects, Guards, Key, Message, Outcome, Record, StoreGeneration,
    StoredState, Token, Value,
};
use ottersail_membership::{InstanceId, MemberId};
use ottersail_model_checker::print_of;

pub fn id(node: usize) -> MemberId {
    MemberId(node as u64 + 1)
}

/// What one call wished.
#[derive(Default)]
pub struct Wished {
    pub sent: Vec<(MemberId, Message)>,
    keep: Vec<(Token, Vec<Record>)>,
}

impl Effects for Wished {
    fn send(&mut self, to: MemberId, message: &Message) {
        self.sent.push((to, message.clone()));
    }
    fn persist(&mut self, token: Token, records: &[Record]) {
        self.keep.push((token, records.to_vec()));
    }
    fn chosen(&mut self, _: Key, _: &Value) {}
    fn answered(&mut self, _: u64, _: &Outcome) {}
}

thread_local! {
    static KNOWN: RefCell<BTreeMap<Councillor, usize>> = const { RefCell::new(BTreeMap::new()) };
}

#[derive(Clone)]
pub struct Node {
    me: usize,
    size: usize,
    guards: Guards,
    pub council: Councillor,
    pub disk: StoredState,
    unsynced: VecDeque<(Token, Vec<Record>)>,
    /// A copy of the disk from when it began to take part.
    copy: Option<StoredState>,
    /// Of all the above: taken anew at each change of this node only.
    pub print: u128,
}

impl Node {
    pub fn new(me: usize, size: usize, generation: StoreGeneration, guards: Guards) -> Node {
        let disk = StoredState::new(generation);
        let council = born(me, size, 1, &disk, guards);
        let mut node =
            Node { me, size, guards, council, disk, unsynced: VecDeque::new(), copy: None, print: 0 };
        node.reprint();
        node
    }

    fn reprint(&mut self) {
        // Its times have no hash, but an order: each state of a councillor gets a number when first met.
        let number = KNOWN.with_borrow_mut(|known| {
            let next = known.len();
            known.get(&self.council).copied().unwrap_or_else(|| {
                known.insert(self.council.clone(), next);
                next
            })
        });
        self.print = print_of(&(number, &self.disk, &self.unsynced, &self.copy));
    }

    /// The process starts anew from what the disk holds; `life` parts its ballots from those before.
    pub fn restart(&mut self, life: u64) {
        self.unsynced.clear();
        self.council = born(self.me, self.size, life, &self.disk, self.guards);
        self.reprint();
    }

    /// The disk is new, too.
    pub fn lose(&mut self, generation: StoreGeneration) {
        self.disk = StoredState::new(generation);
        self.restart(1);
    }

    pub fn has_old(&self) -> bool {
        self.copy.as_ref().is_some_and(|copy| *copy != self.disk)
    }

    pub fn put_back(&mut self) {
        if let Some(copy) = &self.copy {
            self.disk = copy.clone();
        }
        self.restart(1);
    }

    pub fn participates(&self) -> bool {
        self.disk.participating
    }

    pub fn syncs(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Something is heard. A sound one's disk is done at once: what it says waits for that anyway, so a crash
    /// before is one before it heard. It holds nothing else that matters between two rounds.
    pub fn hear(&mut self, from: MemberId, message: &Message, wished: &mut Wished) {
        self.council.on_message(Ms(0.0), from, message, &AllowAll, wished);
        self.after(wished);
        if self.participates() {
            self.restart(1);
        }
    }

    /// The same within a round.
    pub fn take_part(&mut self, from: MemberId, message: &Message, wished: &mut Wished) {
        self.council.on_message(Ms(0.0), from, message, &AllowAll, wished);
        self.after(wished);
    }

    pub fn sync(&mut self, wished: &mut Wished) {
        if let Some((token, records)) = self.unsynced.pop_front() {
            records.iter().for_each(|record| self.disk.apply(record));
            self.council.on_persisted(Ms(0.0), token, &AllowAll, wished);
        }
        self.after(wished);
        if self.participates() {
            self.restart(1);
        }
    }

    fn after(&mut self, wished: &mut Wished) {
        if self.participates() && self.copy.is_none() {
            self.copy = Some(self.disk.clone());
        }
        self.unsynced.extend(std::mem::take(&mut wished.keep));
        while self.participates() && self.syncs() {
            if let Some((token, records)) = self.unsynced.pop_front() {
                records.iter().for_each(|record| self.disk.apply(record));
                self.council.on_persisted(Ms(0.0), token, &AllowAll, wished);
                self.unsynced.extend(std::mem::take(&mut wished.keep));
            }
        }
        self.reprint();
    }

    /// What its bell would send now.
    pub fn asks(&self) -> Vec<(MemberId, Message)> {
        let mut wished = Wished::default();
        self.council.clone().on_timer(Ms(0.0), &AllowAll, &mut wished);
        wished.sent
    }
}

fn born(me: usize, size: usize, life: u64, disk: &StoredState, guards: Guards) -> Councillor {
    let all: Vec<MemberId> = (0..size).map(id).collect();
    // Its bell may ring at any time.
    let config =
        CouncilConfig { retry_interval: Ms(0.0), ..CouncilConfig::new(id(me), InstanceId(life), &all, 1) };
    let mut council = Councillor::new(Ms(0.0), config, disk.clone());
    council.sabotage(guards);
    council.set_living(&BTreeSet::from([id(me)]));
    council
}
