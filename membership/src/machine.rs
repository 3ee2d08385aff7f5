//! The machine itself: one method an input. What each input does is in the files by subject.

use crate::entry::Phase;
use crate::help::Help;
use crate::ids::{Address, DialId, Incarnation, MemberId, Topic};
use crate::message::{Body, Message, Sender, State};
use crate::peer::Peer;
use crate::probe::Probe;
use crate::rng::SeededRng;
use crate::spread::Rumour;
use crate::terms::MembershipConfig;
use crate::view::{Change, Counters, Effects, MemberView};
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// The longest message of an upper layer, in bytes.
const LONGEST_TELL: usize = 900;
/// The longest rider, in bytes, and how many are carried.
pub(crate) const LONGEST_RIDER: usize = 64;
const MOST_RIDERS: usize = 4;

/// One member's view of all members.
pub struct Members {
    pub(crate) terms: MembershipConfig,
    pub(crate) chance: SeededRng,
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: Phase,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    /// Those alive or suspect, in no order.
    pub(crate) living: Vec<MemberId>,
    /// Those with a suspicion that runs.
    pub(crate) suspects: BTreeSet<MemberId>,
    pub(crate) round: Vec<MemberId>,
    pub(crate) probes: BTreeMap<u32, Probe>,
    pub(crate) helps: BTreeMap<u32, Help>,
    pub(crate) last_number: u32,
    pub(crate) rumours: BTreeMap<MemberId, Rumour>,
    pub(crate) carried: BTreeMap<Topic, Vec<u8>>,
    pub(crate) health: u32,
    /// The last datagram of anybody.
    pub(crate) any_heard: Ms,
    pub(crate) round_trip: Ms,
    pub(crate) next_period: Ms,
    pub(crate) next_gossip: Ms,
    pub(crate) next_exchange: Ms,
    pub(crate) exchange_gap: Ms,
    pub(crate) next_recall: Ms,
    pub(crate) counters: Counters,
    bell: Ms,
}

impl Members {
    /// A member that starts now; equal seeds and inputs give equal outputs.
    pub fn new(now: Ms, seed: u64, terms: MembershipConfig) -> Members {
        let mut chance = SeededRng::new(seed ^ terms.local.id.0);
        let part = |chance: &mut SeededRng, span: Ms| now + span * (chance.below(1000) as f64 / 1000.0);
        let exchange = part(&mut chance, terms.exchange_interval);
        let recall = part(&mut chance, terms.probe_period * 2.0);
        Members {
            chance,
            incarnation: Incarnation(0),
            phase: Phase::Entering { asked: 0 },
            peers: BTreeMap::new(),
            living: Vec::new(),
            suspects: BTreeSet::new(),
            round: Vec::new(),
            probes: BTreeMap::new(),
            helps: BTreeMap::new(),
            last_number: 0,
            rumours: BTreeMap::new(),
            carried: BTreeMap::new(),
            health: 0,
            any_heard: Ms::DISTANT_PAST,
            round_trip: terms.probe_period * 0.05,
            next_period: now,
            next_gossip: now,
            next_exchange: exchange,
            exchange_gap: terms.exchange_interval,
            next_recall: recall,
            counters: Counters::default(),
            bell: now,
            terms,
        }
    }

    /// When [`Members::handle_deadline`] wants to be called next.
    pub fn next_deadline(&self) -> Ms {
        self.bell
    }

    pub fn handle_deadline(&mut self, now: Ms, out: &mut dyn Effects) {
        self.notice_lateness(now, out);
        if self.phase == Phase::Gone {
            self.bell = Ms(f64::INFINITY);
            return;
        }
        self.mind_probes(now, out);
        self.mind_helps(now, out);
        if now >= self.next_period {
            self.next_period = now + self.stretched();
            self.enter(now, out);
            self.probe_next(now, out);
        }
        self.mind_suspicions(now, out);
        self.mind_exchange(now, out);
        self.mind_gossip(now, out);
        self.set_bell(now);
    }

    /// A message that the auth has opened.
    pub fn handle_message(&mut self, now: Ms, from: Sender, message: Message, out: &mut dyn Effects) {
        self.notice_lateness(now, out);
        self.counters.received += 1;
        self.any_heard = now;
        if self.phase == Phase::Gone {
            return;
        }
        if from.id == self.terms.local.id {
            self.namesake(now, from, &message, out);
        } else if self.passive() {
            if !matches!(message.body, Body::Welcome { .. } | Body::Held { .. }) {
                self.counters.unexpected += 1;
            } else {
                self.body(now, from, &message, out);
            }
        } else {
            self.heard(now, from, &message, out);
            for news in &message.updates {
                self.apply(now, news, matches!(message.body, Body::Page { .. }), out);
            }
            self.body(now, from, &message, out);
        }
        self.set_bell(now);
    }

    fn body(&mut self, now: Ms, from: Sender, message: &Message, out: &mut dyn Effects) {
        match &message.body {
            Body::Probe { number, to, instance } => {
                self.probed(now, from, *number, (*to, *instance), None, out)
            }
            Body::ProbeOn { number, to, instance, asker } => {
                self.probed(now, from, *number, (*to, *instance), Some(*asker), out)
            }
            Body::Ack { number } => self.acked(now, from, *number, out),
            Body::ProbeFor { number, target, instance, at } => {
                self.asked_to_help(now, from, *number, (*target, *instance, *at), out)
            }
            Body::AckOn { number, hears_asker } => self.helped(now, from, *number, *hears_asker, out),
            Body::AckFor { number, hears_you } => self.vouched(now, *number, *hears_you, out),
            Body::NackFor { number } => self.nacked(from.id, *number),
            Body::Gossip => {}
            Body::Join { place } => self.join_asked(now, from, message.incarnation, place, out),
            Body::Welcome { known } => self.welcomed(now, from, *known, out),
            Body::Held { by, instance } => self.held(now, *by, *instance, out),
            Body::Digest { sums } => self.digest(from, sums, out),
            Body::Page { mask, more, back } => self.page(from, (*mask, *more, *back), &message.updates, out),
            Body::Next { mask, after } => self.send_page(from.address, *mask, Some(*after), false, out),
            Body::Tell { topic, bytes } => out.deliver(from.id, *topic, bytes),
        }
    }

    /// The second way's answer.
    pub fn handle_dial_result(&mut self, now: Ms, tag: DialId, up: bool, out: &mut dyn Effects) {
        self.notice_lateness(now, out);
        self.dial_answered(now, tag, up, out);
        self.set_bell(now);
    }

    /// One message of an upper layer, at once; false if `to` is not known, `bytes` is longer than 900 bytes,
    /// or this member is out.
    pub fn send_message(
        &mut self,
        _now: Ms,
        to: MemberId,
        topic: Topic,
        bytes: &[u8],
        out: &mut dyn Effects,
    ) -> bool {
        let Some(peer) = self.peers.get(&to) else { return false };
        if bytes.len() > LONGEST_TELL || self.passive() || self.phase == Phase::Gone {
            return false;
        }
        let address = peer.known.address;
        self.say(address, Body::Tell { topic, bytes: bytes.to_vec() }, out);
        true
    }

    /// A rider of at most 64 bytes on own probes and acks from now on; empty takes it off. A fifth topic and
    /// a longer rider are passed over.
    pub fn set_piggyback(&mut self, topic: Topic, bytes: &[u8]) {
        if bytes.is_empty() {
            self.carried.remove(&topic);
        } else if bytes.len() <= LONGEST_RIDER
            && (self.carried.len() < MOST_RIDERS || self.carried.contains_key(&topic))
        {
            self.carried.insert(topic, bytes.to_vec());
        }
    }

    /// All others that are known, the dead included, this member not.
    pub fn others(&self) -> impl Iterator<Item = (&MemberId, &MemberView)> {
        self.peers.iter().map(|(id, peer)| (id, &peer.known))
    }

    pub fn counters(&self) -> Counters {
        let count = |state| self.peers.values().filter(|peer| peer.known.state == state).count() as u64;
        Counters {
            health: self.health,
            alive: count(State::Alive),
            suspect: count(State::Suspect),
            ..self.counters
        }
    }

    pub fn address(&self) -> Address {
        self.terms.local.address
    }

    /// When the last bell was due: how late now is.
    pub(crate) fn lateness(&self, now: Ms) -> Ms {
        Ms((now - self.bell).0.max(0.0))
    }

    pub(crate) fn forgive_bell(&mut self, now: Ms) {
        self.bell = now;
    }

    fn set_bell(&mut self, now: Ms) {
        let probes = self.probes.values().map(|probe| probe.due);
        let helps = self.helps.values().map(|help| help.due);
        let suspicions =
            self.suspects.iter().filter_map(|id| self.peers.get(id)?.suspicion.as_ref()).map(|it| it.ends);
        let gossip = (!self.rumours.is_empty() && !self.passive()).then_some(self.next_gossip);
        let all = probes.chain(helps).chain(suspicions).chain(gossip);
        let fixed = [self.next_period, self.next_exchange, self.next_recall];
        let first = all.chain(fixed).min().unwrap_or(now);
        // Guards against a bell that rings again at once, for ever, should anything stay due.
        self.bell = first.max(now + Ms(1.0));
    }

    pub(crate) fn note(&mut self, change: Change, out: &mut dyn Effects) {
        out.changed(&change);
    }
}
