//! How a councillor without memory comes in: by the founding, or by what a majority of the others still know.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::acceptor::Acceptor;
use crate::effects::{CouncilConfig, Effects};
use crate::message::{GenerationView, Message};
use crate::quorum;
use crate::types::{Key, Record, Register, StoreGeneration, StoreGenerations};

/// What one other has told so far.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Heard {
    view: GenerationView,
    registers: BTreeMap<Key, Register>,
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Recovery {
    again: Ms,
    heard: BTreeMap<MemberId, Heard>,
    /// The others that take no part either: their memory, and the roll they have kept.
    claims: BTreeMap<MemberId, (StoreGeneration, Option<StoreGenerations>)>,
}

impl Recovery {
    pub fn new(now: Ms) -> Recovery {
        Recovery { again: now, heard: BTreeMap::new(), claims: BTreeMap::new() }
    }

    pub fn next_timer(&self) -> Ms {
        self.again
    }

    /// Asks all others (again).
    pub fn on_timer(&mut self, now: Ms, config: &CouncilConfig, acceptor: &Acceptor, out: &mut dyn Effects) {
        if now < self.again {
            return;
        }
        self.again = now + config.retry_interval;
        if !acceptor.idle() {
            return;
        }
        for (member, known) in quorum::outdated(self.voices()) {
            out.send(member, &Message::Outdated { known });
        }
        // One that has lost its memory since it answered is asked anew.
        let agreeing = quorum::agreeing(self.voices());
        self.heard.retain(|member, heard| !heard.done || agreeing.contains(member));
        for other in config.others() {
            if !self.heard.get(&other).is_some_and(|heard| heard.done) {
                self.submit(other, acceptor, out);
            }
        }
    }

    fn voices(&self) -> impl Iterator<Item = (MemberId, &GenerationView)> + Clone {
        self.heard.iter().filter(|(_, heard)| heard.done).map(|(member, heard)| (*member, &heard.view))
    }

    fn submit(&self, other: MemberId, acceptor: &Acceptor, out: &mut dyn Effects) {
        let after = self.heard.get(&other).and_then(|heard| heard.registers.keys().last().copied());
        let stored = acceptor.stored();
        out.send(
            other,
            &Message::Recover { generation: stored.generation, founders: stored.founders.clone(), after },
        );
    }

    pub fn on_message(
        &mut self,
        from: MemberId,
        message: &Message,
        config: &CouncilConfig,
        acceptor: &mut Acceptor,
        out: &mut dyn Effects,
    ) {
        let mine = acceptor.stored().generation;
        match message {
            Message::Recover { generation, founders, .. } => {
                self.claims.insert(from, (*generation, founders.clone()));
                self.found(config, acceptor, out);
            }
            Message::Founded { founders } if founders.get(&config.me) == Some(&mine) => {
                start(founders, BTreeMap::new(), acceptor, out);
            }
            Message::Outdated { known } if *known > mine => {
                *self = Recovery { again: self.again, heard: BTreeMap::new(), claims: BTreeMap::new() };
                acceptor.persist(vec![Record::OwnGeneration(mine.above(*known))], None, out);
            }
            Message::Recovered { generation, after, page, more, view } if *generation == mine => {
                self.page(from, *after, page, view);
                if let Some(heard) = self.heard.get_mut(&from) {
                    heard.done = !more;
                }
                if *more {
                    self.submit(from, acceptor, out);
                }
                self.finish(config, acceptor, out);
            }
            _ => {}
        }
    }

    fn page(&mut self, from: MemberId, after: Option<Key>, page: &[(Key, Register)], view: &GenerationView) {
        let heard = self.heard.entry(from).or_insert_with(|| Heard {
            view: view.clone(),
            registers: BTreeMap::new(),
            done: false,
        });
        if heard.view.generation != view.generation {
            *heard = Heard { view: view.clone(), registers: BTreeMap::new(), done: false };
        }
        // A page out of turn would leave a gap.
        if after <= heard.registers.keys().last().copied() {
            quorum::hear(&mut heard.view, view);
            heard.registers.extend(page.iter().cloned());
        }
    }

    /// With a majority among the others: whatever a majority with the lost memory had chosen, one of these
    /// either holds it or will say, when it accepts, that the memory is lost.
    fn finish(&mut self, config: &CouncilConfig, acceptor: &mut Acceptor, out: &mut dyn Effects) {
        let agreeing = quorum::agreeing(self.voices()).len();
        #[cfg(any(test, feature = "sabotage"))]
        let agreeing = if acceptor.guards.recovery_majority { agreeing } else { agreeing + 1 };
        if agreeing < config.majority() || !acceptor.idle() {
            return;
        }
        let mut known = quorum::known(self.voices().map(|(_, view)| view));
        let mut registers: BTreeMap<Key, Register> = BTreeMap::new();
        for (member, heard) in self.heard.iter().filter(|(_, heard)| heard.done) {
            quorum::merge(&mut known, &StoreGenerations::from([(*member, heard.view.generation)]));
            for (key, register) in &heard.registers {
                let held = registers.entry(*key).or_default();
                held.promised = held.promised.max(register.promised);
                held.accepted = held.accepted.take().max(register.accepted.clone());
            }
        }
        start(&known, registers, acceptor, out);
    }

    /// The founding: every councillor is new, and every one has kept the same roll of all memories. A store keeps
    /// one roll in its life, so that no other founding can follow while one of them keeps its memory.
    fn found(&mut self, config: &CouncilConfig, acceptor: &mut Acceptor, out: &mut dyn Effects) {
        let needed = config.councillors.len();
        #[cfg(any(test, feature = "sabotage"))]
        let needed = if acceptor.guards.founding_by_all { needed } else { config.majority() };
        if self.claims.len() + 1 < needed || !acceptor.idle() {
            return;
        }
        let Some(founders) = acceptor.stored().founders.clone() else {
            let mut founders: StoreGenerations =
                self.claims.iter().map(|(member, claim)| (*member, claim.0)).collect();
            founders.insert(config.me, acceptor.stored().generation);
            acceptor.persist(vec![Record::Founders(founders)], None, out);
            return;
        };
        let same = self.claims.values().filter(|(_, claim)| claim.as_ref() == Some(&founders)).count();
        if same + 1 >= needed {
            start(&founders, BTreeMap::new(), acceptor, out);
        }
    }
}

/// From here on it takes part; all of it is kept at once or not at all.
fn start(
    known: &StoreGenerations,
    registers: BTreeMap<Key, Register>,
    acceptor: &mut Acceptor,
    out: &mut dyn Effects,
) {
    let others = known.iter().filter(|(member, _)| **member != acceptor.me());
    let mut records: Vec<Record> =
        others.map(|(member, generation)| Record::PeerGeneration(*member, *generation)).collect();
    records.extend(registers.into_iter().map(|(key, register)| Record::Register(key, register)));
    records.push(Record::Participating);
    acceptor.persist(records, None, out);
}
