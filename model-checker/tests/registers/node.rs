//! A councillor as a node of the network, with its disk.

use ottersail::time::Ms;
use ottersail_consensus::{
    AllowAll, Change, CouncilConfig, Councillor, Effects, Guards, Key, Message, Outcome, Record,
    StoreGeneration, StoredState, Token, Value,
};
use ottersail_membership::{InstanceId, MemberId};
use ottersail_model_checker::net::{self, Machine, Out};
use ottersail_model_checker::print_of;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

pub const KEY: Key = Key::Order(0);

pub fn id(node: usize) -> MemberId {
    MemberId(node as u64 + 1)
}

/// What a councillor told: the world judges it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Asked(u64),
    Chosen(Value),
    Answered(u64, Outcome),
    Follows(u64),
}

#[derive(Clone, Debug)]
pub enum Does {
    Ask(Change),
    Bell,
    /// The disk has synced the next wish.
    Sync,
}

thread_local! {
    static KNOWN: RefCell<BTreeMap<Councillor, usize>> = const { RefCell::new(BTreeMap::new()) };
}

#[derive(Clone)]
pub struct Node {
    me: usize,
    size: usize,
    council: Councillor,
    guards: Guards,
    disk: StoredState,
    unsynced: VecDeque<(Token, Vec<Record>)>,
    /// Whether the disk is done at once: then no crash can fall before a sync.
    at_once: bool,
    /// Whether word of what was chosen gets through; it serves no safety.
    pub word: bool,
    /// Whether bells are rung while it is sound, too: rounds and requests are tried again.
    pub tries_again: bool,
    asks: VecDeque<Change>,
    number: u64,
    bells: u8,
    now: u32,
    wipes: u64,
    told: Vec<Told>,
    /// Of all the above: taken anew at each change of this node only.
    print: u128,
}

#[derive(Default)]
struct Wished {
    out: Out<Message>,
    keep: Vec<(Token, Vec<Record>)>,
    told: Vec<Told>,
}

impl Effects for Wished {
    fn send(&mut self, to: MemberId, message: &Message) {
        self.out.push((to.0 as usize - 1, message.clone()));
    }
    fn persist(&mut self, token: Token, records: &[Record]) {
        self.keep.push((token, records.to_vec()));
    }
    fn chosen(&mut self, _: Key, value: &Value) {
        self.told.push(Told::Chosen(value.clone()));
    }
    fn answered(&mut self, number: u64, outcome: &Outcome) {
        self.told.push(Told::Answered(number, outcome.clone()));
    }
}

fn config(me: usize, life: u64, size: usize) -> CouncilConfig {
    let all: Vec<MemberId> = (0..size).map(id).collect();
    CouncilConfig::new(id(me), InstanceId(life), &all, 1)
}

impl Node {
    /// Sound from the founding on, and asking itself first.
    pub fn founded(
        (me, size): (usize, usize),
        asks: &[Change],
        bells: u8,
        guards: Guards,
        at_once: bool,
    ) -> Node {
        let generation = |node: usize| StoreGeneration::drawn(100 + node as u64);
        let founders = (0..size).map(|node| (id(node), generation(node))).collect();
        let known = (0..size).filter(|node| *node != me).map(|node| (id(node), generation(node))).collect();
        let disk = StoredState {
            generation: generation(me),
            participating: true,
            founders: Some(founders),
            known,
            ..StoredState::default()
        };
        let council = Councillor::new(Ms(0.0), config(me, 1, size), disk.clone());
        let asks = asks.iter().cloned().collect();
        let (unsynced, told) = (VecDeque::new(), vec![]);
        let (number, now, wipes, word, tries_again, print) = (0, 0, 0, false, false, 0);
        let mut node = Node {
            me,
            size,
            council,
            guards,
            disk,
            unsynced,
            at_once,
            word,
            tries_again,
            asks,
            number,
            bells,
            now,
            wipes,
            told,
            print,
        };
        node.begin();
        node
    }

    fn begin(&mut self) {
        self.council.sabotage(self.guards);
        self.council.set_living(&BTreeSet::from([id(self.me)]));
        self.reprint();
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
        let rest =
            (&self.disk, &self.unsynced, self.asks.len(), self.number, self.bells, self.now, self.wipes);
        self.print = print_of(&(number, rest));
    }

    pub fn told(&mut self) -> Vec<Told> {
        std::mem::take(&mut self.told)
    }

    fn with(&mut self, out: &mut Out<Message>, does: impl FnOnce(&mut Councillor, Ms, &mut Wished)) {
        let now = Ms(f64::from(self.now));
        let mut wished = Wished::default();
        does(&mut self.council, now, &mut wished);
        self.unsynced.extend(std::mem::take(&mut wished.keep));
        while self.at_once && self.sync(now, &mut wished) {}
        out.extend(wished.out.into_iter().filter(|(_, message)| self.goes_out(message)));
        self.told.extend(wished.told);
        if self.word {
            let revision = self.council.follower().values().get(&KEY).map_or(0, |value| value.revision);
            self.told.push(Told::Follows(revision));
        }
        self.reprint();
    }

    fn goes_out(&self, message: &Message) -> bool {
        match message {
            Message::Learned { .. } => self.word,
            // A refusal only makes its hearer wait for a bell: without one it changes nothing.
            Message::Refused { .. } => self.bells > 0,
            _ => true,
        }
    }

    fn sync(&mut self, now: Ms, wished: &mut Wished) -> bool {
        let Some((token, records)) = self.unsynced.pop_front() else { return false };
        records.iter().for_each(|record| self.disk.apply(record));
        self.council.on_persisted(now, token, &AllowAll, wished);
        self.unsynced.extend(std::mem::take(&mut wished.keep));
        true
    }
}

impl Machine for Node {
    type Message = Message;
    type Act = Does;

    fn hear(&mut self, _: u32, from: usize, message: &Message, out: &mut Out<Message>) {
        self.with(out, |council, now, wished| council.on_message(now, id(from), message, &AllowAll, wished));
    }

    fn acts(&self, _: u32) -> Vec<Does> {
        let ask = self.asks.front().cloned().map(Does::Ask);
        // Else bells are for recovering only.
        let rings = self.bells > 0 && (self.tries_again || !self.council.participates());
        let sync = (!self.unsynced.is_empty()).then_some(Does::Sync);
        ask.into_iter().chain(rings.then_some(Does::Bell)).chain(sync).collect()
    }

    fn act(&mut self, _: u32, does: &Does, out: &mut Out<Message>) {
        match does {
            Does::Ask(change) => {
                self.asks.pop_front();
                self.number += 1;
                let number = self.number;
                self.told.push(Told::Asked(number));
                self.with(out, |it, now, out| it.submit(now, number, KEY, change.clone(), &AllowAll, out));
            }
            Does::Bell => {
                self.bells -= 1;
                self.now = self.now.max(self.council.next_timer().0.ceil() as u32);
                self.with(out, |council, now, wished| council.on_timer(now, &AllowAll, wished));
            }
            Does::Sync => self.with(out, |_, _, _| {}),
        }
        if let Does::Sync = does {
            let mut wished = Wished::default();
            self.sync(Ms(f64::from(self.now)), &mut wished);
            out.extend(wished.out.into_iter().filter(|(_, message)| self.goes_out(message)));
            self.told.extend(wished.told);
            self.reprint();
        }
    }

    fn restart(&mut self, _: u32, memory: net::Memory) {
        self.unsynced.clear();
        if memory == net::Memory::Lost {
            self.wipes += 1;
            self.disk = StoredState::new(StoreGeneration::drawn(1000 * self.wipes + self.me as u64));
        }
        let now = Ms(f64::from(self.now));
        self.council = Councillor::new(now, config(self.me, 2 + self.wipes, self.size), self.disk.clone());
        self.begin();
    }

    fn state<H: Hasher>(&self, into: &mut H) {
        self.print.hash(into);
    }
}
