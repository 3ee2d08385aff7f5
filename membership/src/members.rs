//! The membership state machine: one method per input. The modules by subject implement them.

use crate::config::MembershipConfig;
use crate::gossip::Rumour;
use crate::ids::{Address, DialId, Incarnation, MemberId, Topic};
use crate::indirect_probe::PendingIndirectProbe;
use crate::join::Phase;
use crate::message::{Body, Message, Sender, State};
use crate::peer::Peer;
use crate::probe::Probe;
use crate::rng::SeededRng;
use crate::view::{Change, Counters, Effects, MemberView};
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// One member's view of all members.
pub struct Members {
    pub(crate) config: MembershipConfig,
    pub(crate) rng: SeededRng,
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: Phase,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    /// Members that are alive or suspect, in no particular order.
    pub(crate) up_members: Vec<MemberId>,
    /// Members with a running suspicion.
    pub(crate) suspects: BTreeSet<MemberId>,
    /// Members that are still to be probed in this round; the last is next.
    pub(crate) probe_order: Vec<MemberId>,
    pub(crate) probes: BTreeMap<u32, Probe>,
    pub(crate) indirect_probes: BTreeMap<u32, PendingIndirectProbe>,
    pub(crate) last_probe_number: u32,
    pub(crate) rumours: BTreeMap<MemberId, Rumour>,
    pub(crate) own_piggybacks: BTreeMap<Topic, Vec<u8>>,
    pub(crate) health: u32,
    /// When a datagram of any member last arrived.
    pub(crate) last_datagram_at: Ms,
    /// How long a direct probe waits for its ack: four times the smoothed round trip.
    pub(crate) ack_timeout: Ms,
    pub(crate) next_period: Ms,
    pub(crate) next_gossip: Ms,
    pub(crate) next_exchange: Ms,
    /// The current interval between full exchanges.
    pub(crate) exchange_gap: Ms,
    /// When a dead member is contacted next.
    pub(crate) next_dead_exchange: Ms,
    pub(crate) counters: Counters,
    /// When the timer is due.
    deadline: Ms,
}

impl Members {
    /// A member that starts now. Equal seeds and inputs give equal outputs.
    pub fn new(now: Ms, seed: u64, config: MembershipConfig) -> Members {
        let mut rng = SeededRng::new(seed ^ config.local.id.0);
        let random_start = |rng: &mut SeededRng, span: Ms| now + span * (rng.below(1000) as f64 / 1000.0);
        let next_exchange = random_start(&mut rng, config.exchange_interval);
        let next_dead_exchange = random_start(&mut rng, config.probe_period * 2.0);
        Members {
            rng,
            incarnation: Incarnation(0),
            phase: Phase::Joining { asked: 0 },
            peers: BTreeMap::new(),
            up_members: Vec::new(),
            suspects: BTreeSet::new(),
            probe_order: Vec::new(),
            probes: BTreeMap::new(),
            indirect_probes: BTreeMap::new(),
            last_probe_number: 0,
            rumours: BTreeMap::new(),
            own_piggybacks: BTreeMap::new(),
            health: 0,
            last_datagram_at: Ms::DISTANT_PAST,
            ack_timeout: config.probe_period * 0.05,
            next_period: now,
            next_gossip: now,
            next_exchange,
            exchange_gap: config.exchange_interval,
            next_dead_exchange,
            counters: Counters::default(),
            deadline: now,
            config,
        }
    }

    /// When [`Members::handle_deadline`] is to be called next.
    pub fn next_deadline(&self) -> Ms {
        self.deadline
    }

    /// Does everything that is due now.
    pub fn handle_deadline(&mut self, now: Ms, effects: &mut dyn Effects) {
        self.handle_late_timer(now, effects);
        if self.phase == Phase::Left {
            self.deadline = Ms(f64::INFINITY);
            return;
        }
        self.advance_probes(now, effects);
        self.advance_indirect_probes(now, effects);
        if now >= self.next_period {
            self.next_period = now + self.scaled_period();
            self.send_join_requests(effects);
            self.probe_next(now, effects);
        }
        self.expire_suspicions(now, effects);
        self.advance_exchange(now, effects);
        self.advance_gossip(now, effects);
        self.update_deadline(now);
    }

    /// Handles a message that [`crate::auth::DatagramAuth`] has authenticated.
    pub fn handle_message(&mut self, now: Ms, from: Sender, message: Message, effects: &mut dyn Effects) {
        self.handle_late_timer(now, effects);
        self.counters.received += 1;
        self.last_datagram_at = now;
        if self.phase == Phase::Left {
            return;
        }
        if from.id == self.config.local.id {
            self.handle_own_id(from, &message, effects);
        } else if self.passive() {
            if !matches!(message.body, Body::JoinAccepted { .. } | Body::NameTaken { .. }) {
                self.counters.unexpected += 1;
            } else {
                self.handle_body(now, from, &message, effects);
            }
        } else {
            self.handle_sender(now, from, &message, effects);
            for update in &message.updates {
                self.apply(now, update, matches!(message.body, Body::Page { .. }), effects);
            }
            self.handle_body(now, from, &message, effects);
        }
        self.update_deadline(now);
    }

    fn handle_body(&mut self, now: Ms, from: Sender, message: &Message, effects: &mut dyn Effects) {
        match &message.body {
            Body::Probe { number, to, instance } => {
                self.handle_probe(now, from, *number, (*to, *instance), None, effects)
            }
            Body::IndirectProbe { number, to, instance, requester } => {
                self.handle_probe(now, from, *number, (*to, *instance), Some(*requester), effects)
            }
            Body::Ack { number } => self.handle_ack(now, from, *number, effects),
            Body::ProbeRequest { number, target, instance, address } => {
                self.handle_probe_request(now, from, *number, (*target, *instance, *address), effects)
            }
            Body::IndirectAck { number, hears_requester } => {
                self.handle_indirect_ack(now, from, *number, *hears_requester, effects)
            }
            Body::ForwardedAck { number, hears_you } => {
                self.handle_forwarded_ack(now, *number, *hears_you, effects)
            }
            Body::ForwardedNack { number } => self.handle_forwarded_nack(from.id, *number),
            Body::Gossip => {}
            Body::Join { info } => self.handle_join(now, from, message.incarnation, info, effects),
            Body::JoinAccepted { known_incarnation } => {
                self.handle_join_accepted(now, from, *known_incarnation, effects)
            }
            Body::NameTaken { holder, instance } => self.handle_name_taken(*holder, *instance, effects),
            Body::Digest { sums } => self.handle_digest(from, sums, effects),
            Body::Page { mask, more, back } => {
                self.handle_page(from, (*mask, *more, *back), &message.updates, effects)
            }
            Body::NextPage { mask, after } => {
                self.send_page(from.address, *mask, Some(*after), false, effects)
            }
            Body::Application { topic, bytes } => effects.deliver(from.id, *topic, bytes),
        }
    }

    /// The result of a dial: `up` if the process at the other end answered.
    pub fn handle_dial_result(&mut self, now: Ms, id: DialId, up: bool, effects: &mut dyn Effects) {
        self.handle_late_timer(now, effects);
        self.handle_dial(now, id, up, effects);
        self.update_deadline(now);
    }

    /// All other members that are known, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = (&MemberId, &MemberView)> {
        self.peers.iter().map(|(id, peer)| (id, &peer.view))
    }

    /// The counters, with the current health and numbers of members.
    pub fn counters(&self) -> Counters {
        let count = |state| self.peers.values().filter(|peer| peer.view.state == state).count() as u64;
        Counters {
            health: self.health,
            alive: count(State::Alive),
            suspect: count(State::Suspect),
            ..self.counters
        }
    }

    /// This member's own address.
    pub fn address(&self) -> Address {
        self.config.local.address
    }

    /// How long the timer has been due, in milliseconds.
    pub(crate) fn timer_delay(&self, now: Ms) -> Ms {
        Ms((now - self.deadline).0.max(0.0))
    }

    pub(crate) fn reset_deadline(&mut self, now: Ms) {
        self.deadline = now;
    }

    fn update_deadline(&mut self, now: Ms) {
        let probes = self.probes.values().map(|probe| probe.due);
        let indirect_probes = self.indirect_probes.values().map(|pending| pending.due);
        let suspicions = self
            .suspects
            .iter()
            .filter_map(|id| self.peers.get(id)?.suspicion.as_ref())
            .map(|suspicion| suspicion.ends);
        let gossip = (!self.rumours.is_empty() && !self.passive()).then_some(self.next_gossip);
        let all = probes.chain(indirect_probes).chain(suspicions).chain(gossip);
        let fixed = [self.next_period, self.next_exchange, self.next_dead_exchange];
        let first = all.chain(fixed).min().unwrap_or(now);
        // At least a millisecond ahead, so that the timer does not fire endlessly should anything stay due.
        self.deadline = first.max(now + Ms(1.0));
    }

    pub(crate) fn report(&mut self, change: Change, effects: &mut dyn Effects) {
        effects.changed(&change);
    }
}
