//! Joining and leaving the cluster, and conflicts between two instances that use one name.

use crate::ids::{Address, Incarnation, InstanceId};
use crate::members::Members;
use crate::message::{Body, MemberInfo, Message, Sender, State, Update};
use crate::view::{Change, Effects};
use ottersail::time::Ms;

/// Members that are told directly when this one leaves.
const LEAVE_NOTICES: usize = 8;
/// Seeds that are asked at the same time.
const SEEDS_ASKED: usize = 3;
/// An acknowledgement at most this many periods old counts as proof that the instance still answers.
const ANSWERING_PERIODS: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Asks the seeds in each period. It already answers other members, so that the first members of a
    /// cluster find each other.
    Joining {
        asked: usize,
    },
    Joined,
    /// Another instance has this member's name: this one sends nothing but requests to join.
    Passive {
        holder: (Address, InstanceId),
        asked: usize,
    },
    Left,
}

impl Members {
    pub(crate) fn passive(&self) -> bool {
        matches!(self.phase, Phase::Passive { .. } | Phase::Left)
    }

    /// Asks the next seeds to let this member join, if it has not joined.
    pub(crate) fn send_join_requests(&mut self, effects: &mut dyn Effects) {
        let (Phase::Joining { asked } | Phase::Passive { asked, .. }) = &mut self.phase else { return };
        let first = *asked;
        *asked += SEEDS_ASKED;
        let own_address = self.config.local.address;
        let mut seeds: Vec<Address> =
            self.config.seeds.iter().copied().filter(|seed| *seed != own_address).collect();
        if let Phase::Passive { holder, .. } = self.phase {
            // The instance that has the name is not asked: the others have to detect that it is gone.
            seeds.retain(|seed| *seed != holder.0);
        }
        let count = SEEDS_ASKED.min(seeds.len());
        for index in first..first + count {
            let to = seeds[index % seeds.len()];
            self.send_join(to, effects);
        }
    }

    fn send_join(&mut self, to: Address, effects: &mut dyn Effects) {
        let info = self.own_info();
        self.send_to_address(to, Body::Join { info }, effects);
    }

    /// Answers a request to join: accepts it, reports a conflict over the name, or tells the sender which
    /// incarnation it has to exceed.
    pub(crate) fn handle_join(
        &mut self,
        now: Ms,
        from: Sender,
        incarnation: Incarnation,
        info: &MemberInfo,
        effects: &mut dyn Effects,
    ) {
        let update = Update {
            member: from.id,
            instance: from.instance,
            incarnation,
            state: State::Alive,
            reported_by: None,
            info: Some(info.clone()),
        };
        let Some(peer) = self.peers.get(&from.id) else {
            self.apply(now, &update, false, effects);
            return self.accept_join(from, effects);
        };
        let view = &peer.view;
        if view.instance == from.instance && view.state == State::Alive {
            return self.accept_join(from, effects);
        }
        // At the same address the earlier instance can't be running any more. At another it may still answer.
        if view.instance != from.instance && view.address != info.address && peer.is_up() {
            let (holder, instance) = (view.address, view.instance);
            self.counters.conflicts += 1;
            if now - peer.last_ack > self.config.probe_period * ANSWERING_PERIODS {
                self.probe(now, from.id, effects);
            }
            return self.send_to_address(from.address, Body::NameTaken { holder, instance }, effects);
        }
        if incarnation <= view.incarnation {
            let known_incarnation = Some(view.incarnation);
            let body = Body::JoinAccepted { known_incarnation };
            return self.send_to_address(from.address, body, effects);
        }
        self.apply(now, &update, false, effects);
        self.accept_join(from, effects);
    }

    fn accept_join(&mut self, from: Sender, effects: &mut dyn Effects) {
        self.send_to_address(from.address, Body::JoinAccepted { known_incarnation: None }, effects);
    }

    pub(crate) fn handle_join_accepted(
        &mut self,
        now: Ms,
        from: Sender,
        known_incarnation: Option<Incarnation>,
        effects: &mut dyn Effects,
    ) {
        if let Some(known) = known_incarnation {
            self.incarnation = self.incarnation.max(known.next());
            return self.send_join(from.address, effects);
        }
        if !matches!(self.phase, Phase::Joining { .. } | Phase::Passive { .. }) {
            return;
        }
        self.phase = Phase::Joined;
        self.exchange_gap = self.config.probe_period;
        self.next_exchange = now + self.exchange_gap;
        self.report(Change::Joined, effects);
        let own_update = self.update_about_self(State::Alive);
        self.queue_update(own_update);
        self.begin_exchange(from.address, effects);
    }

    pub(crate) fn handle_name_taken(
        &mut self,
        holder: Address,
        instance: InstanceId,
        effects: &mut dyn Effects,
    ) {
        if instance != self.config.local.instance && self.phase != Phase::Joined {
            self.become_passive(holder, instance, effects);
        }
    }

    fn become_passive(&mut self, by: Address, instance: InstanceId, effects: &mut dyn Effects) {
        let asked = match self.phase {
            Phase::Passive { holder, .. } if holder == (by, instance) => return,
            Phase::Passive { asked, .. } | Phase::Joining { asked } => asked,
            _ => 0,
        };
        self.phase = Phase::Passive { holder: (by, instance), asked };
        self.probes.clear();
        self.indirect_probes.clear();
        self.counters.conflicts += 1;
        self.report(Change::NameConflict { by, instance }, effects);
    }

    /// An update about this member's own id: refutes it if it is not about a running member, and settles
    /// which instance keeps the name if it is about another one.
    pub(crate) fn handle_update_about_self(&mut self, update: &Update, effects: &mut dyn Effects) {
        if self.passive() {
            return;
        }
        let local = &self.config.local;
        let elsewhere = update.info.as_ref().is_some_and(|info| info.address != local.address);
        if update.instance != local.instance && update.state <= State::Suspect && elsewhere {
            if (update.incarnation, update.instance) > (self.incarnation, local.instance) {
                if let Some(info) = &update.info {
                    self.become_passive(info.address, update.instance, effects);
                }
            } else {
                self.counters.conflicts += 1;
                let own_update = self.update_about_self(State::Alive);
                self.queue_update(own_update);
            }
            return;
        }
        if update.instance == local.instance && update.state == State::Alive {
            // Another member has refuted a suspicion on this one's behalf.
            self.incarnation = self.incarnation.max(update.incarnation);
        }
        let wrong = update.state != State::Alive || update.instance != local.instance;
        if wrong && update.incarnation >= self.incarnation {
            self.incarnation = update.incarnation.next();
            self.counters.refutations += 1;
            self.degrade_health(u32::from(update.state == State::Suspect));
            let own_update = self.update_about_self(State::Alive);
            self.queue_update(own_update);
        }
    }

    /// A message under this member's own id: either its own, sent back, or one of another instance.
    pub(crate) fn handle_own_id(&mut self, from: Sender, message: &Message, effects: &mut dyn Effects) {
        self.counters.unexpected += 1;
        if from.instance == self.config.local.instance || self.passive() {
            return;
        }
        if let Body::Join { .. } = message.body {
            // The instance that has joined keeps the name, and tells the other.
            self.counters.conflicts += 1;
            let (holder, instance) = (self.config.local.address, self.config.local.instance);
            return self.send_to_address(from.address, Body::NameTaken { holder, instance }, effects);
        }
        let own_id = self.config.local.id;
        for update in message.updates.iter().filter(|update| update.member == own_id) {
            self.handle_update_about_self(update, effects);
        }
    }

    /// Tells other members that this one leaves. Afterwards the state machine sends nothing more.
    pub fn leave(&mut self, _now: Ms, effects: &mut dyn Effects) {
        if self.passive() {
            self.phase = Phase::Left;
            return;
        }
        let own_update = self.update_about_self(State::Left);
        self.queue_update(own_update);
        for id in self.sample_up(LEAVE_NOTICES) {
            self.send_to_member(id, self.peers[&id].view.address, Body::Gossip, effects);
        }
        self.phase = Phase::Left;
    }
}
