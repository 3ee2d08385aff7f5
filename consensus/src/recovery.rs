//! How a councillor with an empty store comes to participate: by the founding of the council, or by recovering the
//! registers from a majority of the others.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::acceptor::Acceptor;
use crate::config::CouncilConfig;
use crate::effects::Effects;
use crate::message::{GenerationView, Message};
use crate::quorum;
use crate::types::{Key, Record, Register, StoreGeneration, StoreGenerations};

/// What one other councillor has reported so far.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PeerState {
    view: GenerationView,
    registers: BTreeMap<Key, Register>,
    /// All pages have been received.
    done: bool,
}

/// The recovery of a councillor that does not participate yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Recovery {
    ask_again_at: Ms,
    peers: BTreeMap<MemberId, PeerState>,
    /// The others that do not participate either: their store generation, and the founders they have persisted.
    founding_claims: BTreeMap<MemberId, (StoreGeneration, Option<StoreGenerations>)>,
}

impl Recovery {
    /// A recovery that begins at `now`.
    pub fn new(now: Ms) -> Recovery {
        Recovery { ask_again_at: now, peers: BTreeMap::new(), founding_claims: BTreeMap::new() }
    }

    /// When [`Recovery::on_timer`] is due.
    pub fn next_timer(&self) -> Ms {
        self.ask_again_at
    }

    /// Asks all others whose report is missing.
    pub fn on_timer(
        &mut self,
        now: Ms,
        config: &CouncilConfig,
        acceptor: &Acceptor,
        effects: &mut dyn Effects,
    ) {
        if now < self.ask_again_at {
            return;
        }
        self.ask_again_at = now + config.retry_interval;
        if !acceptor.all_persisted() {
            return;
        }
        for (member, known) in quorum::outdated(self.views()) {
            effects.send(member, &Message::Outdated { known });
        }
        // A councillor that has lost its store since it answered is asked again.
        let live = quorum::members_with_live_stores(self.views());
        self.peers.retain(|member, peer| !peer.done || live.contains(member));
        for other in config.others() {
            if !self.peers.get(&other).is_some_and(|peer| peer.done) {
                self.request_state(other, acceptor, effects);
            }
        }
    }

    /// The views of those that have reported completely.
    fn views(&self) -> impl Iterator<Item = (MemberId, &GenerationView)> + Clone {
        self.peers.iter().filter(|(_, peer)| peer.done).map(|(member, peer)| (*member, &peer.view))
    }

    fn request_state(&self, other: MemberId, acceptor: &Acceptor, effects: &mut dyn Effects) {
        let after = self.peers.get(&other).and_then(|peer| peer.registers.keys().last().copied());
        let stored = acceptor.stored();
        effects.send(
            other,
            &Message::Recover { generation: stored.generation, founders: stored.founders.clone(), after },
        );
    }

    /// Handles the messages of a founding or a recovery.
    pub fn on_message(
        &mut self,
        from: MemberId,
        message: &Message,
        config: &CouncilConfig,
        acceptor: &mut Acceptor,
        effects: &mut dyn Effects,
    ) {
        let own_generation = acceptor.stored().generation;
        match message {
            Message::Recover { generation, founders, .. } => {
                self.founding_claims.insert(from, (*generation, founders.clone()));
                self.try_founding(config, acceptor, effects);
            }
            Message::Founded { founders } if founders.get(&config.own_id) == Some(&own_generation) => {
                begin_participation(founders, BTreeMap::new(), acceptor, effects);
            }
            Message::Outdated { known } if *known > own_generation => {
                *self = Recovery {
                    ask_again_at: self.ask_again_at,
                    peers: BTreeMap::new(),
                    founding_claims: BTreeMap::new(),
                };
                acceptor.persist(vec![Record::OwnGeneration(own_generation.above(*known))], None, effects);
            }
            Message::Recovered { generation, after, page, more, view } if *generation == own_generation => {
                self.page(from, *after, page, view);
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.done = !more;
                }
                if *more {
                    self.request_state(from, acceptor, effects);
                }
                self.try_finish(config, acceptor, effects);
            }
            _ => {}
        }
    }

    fn page(&mut self, from: MemberId, after: Option<Key>, page: &[(Key, Register)], view: &GenerationView) {
        let peer = self.peers.entry(from).or_insert_with(|| PeerState {
            view: view.clone(),
            registers: BTreeMap::new(),
            done: false,
        });
        if peer.view.generation != view.generation {
            *peer = PeerState { view: view.clone(), registers: BTreeMap::new(), done: false };
        }
        // A page out of order would leave a gap.
        if after <= peer.registers.keys().last().copied() {
            quorum::merge_view(&mut peer.view, view);
            peer.registers.extend(page.iter().cloned());
        }
    }

    /// Completes the recovery once a majority among the others has reported. For whatever a majority that included
    /// the lost store had chosen, one of these either holds it or will report the loss when it accepts.
    fn try_finish(&mut self, config: &CouncilConfig, acceptor: &mut Acceptor, effects: &mut dyn Effects) {
        let live = quorum::members_with_live_stores(self.views()).len();
        #[cfg(any(test, feature = "sabotage"))]
        let live = if acceptor.guards.recovery_majority { live } else { live + 1 };
        if live < config.majority() || !acceptor.all_persisted() {
            return;
        }
        let mut known = quorum::latest_known(self.views().map(|(_, view)| view));
        let mut registers: BTreeMap<Key, Register> = BTreeMap::new();
        for (member, peer) in self.peers.iter().filter(|(_, peer)| peer.done) {
            quorum::merge_latest(&mut known, &StoreGenerations::from([(*member, peer.view.generation)]));
            for (key, register) in &peer.registers {
                let held = registers.entry(*key).or_default();
                held.promised = held.promised.max(register.promised);
                held.accepted = held.accepted.take().max(register.accepted.clone());
            }
        }
        begin_participation(&known, registers, acceptor, effects);
    }

    /// Founds the council once every councillor is new and has persisted the same store generations of all. A store
    /// persists one such set in its life, so no other founding can follow while one of the founders keeps its
    /// store.
    fn try_founding(&mut self, config: &CouncilConfig, acceptor: &mut Acceptor, effects: &mut dyn Effects) {
        let needed = config.councillors.len();
        #[cfg(any(test, feature = "sabotage"))]
        let needed = if acceptor.guards.founding_by_all { needed } else { config.majority() };
        if self.founding_claims.len() + 1 < needed || !acceptor.all_persisted() {
            return;
        }
        let Some(founders) = acceptor.stored().founders.clone() else {
            let mut founders: StoreGenerations =
                self.founding_claims.iter().map(|(member, claim)| (*member, claim.0)).collect();
            founders.insert(config.own_id, acceptor.stored().generation);
            acceptor.persist(vec![Record::Founders(founders)], None, effects);
            return;
        };
        let matching =
            self.founding_claims.values().filter(|(_, claim)| claim.as_ref() == Some(&founders)).count();
        if matching + 1 >= needed {
            begin_participation(&founders, BTreeMap::new(), acceptor, effects);
        }
    }
}

/// Persists the state with which this councillor participates from here on, all at once or not at all.
fn begin_participation(
    known: &StoreGenerations,
    registers: BTreeMap<Key, Register>,
    acceptor: &mut Acceptor,
    effects: &mut dyn Effects,
) {
    let others = known.iter().filter(|(member, _)| **member != acceptor.own_id());
    let mut records: Vec<Record> =
        others.map(|(member, generation)| Record::PeerGeneration(*member, *generation)).collect();
    records.extend(registers.into_iter().map(|(key, register)| Record::Register(key, register)));
    records.push(Record::Participating);
    acceptor.persist(records, None, effects);
}
