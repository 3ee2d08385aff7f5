//! Probes: a direct one, then through helpers, then over a connection. A member is suspected only when all of
//! them fail.

use crate::ids::{DialId, InstanceId, MemberId};
use crate::members::Members;
use crate::message::{Body, Sender, State};
use crate::view::{Effects, Reachability};
use ottersail::time::Ms;

// Stages of a probe as fractions of a period, each scaled by the local health.

/// Helpers are asked at this point at the latest.
const HELPERS_AT: f64 = 0.3;
/// The target is dialled at this point.
const DIAL_AT: f64 = 0.45;
/// The probe ends at this point.
const CONCLUDE_AT: f64 = 0.85;
/// Probes that run at the same time.
const MAX_PROBES: usize = 8;
/// Extra probes that are started after one that failed while several members are failing.
const EXTRA_PROBES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Direct,
    Helpers,
    Dial,
}

/// A probe of another member that is under way.
pub(crate) struct Probe {
    pub target: MemberId,
    pub instance: InstanceId,
    pub sent: Ms,
    /// When the next stage begins.
    pub due: Ms,
    pub stage: Stage,
    pub helpers: Vec<MemberId>,
    /// Helpers that reported that the target has not answered them.
    pub nacks: Vec<MemberId>,
    /// Set once a helper or the connection has shown that the target is running; true if a helper reported
    /// that the target receives this member's datagrams.
    pub indirect_answer: Option<bool>,
}

impl Members {
    pub(crate) fn next_probe_number(&mut self) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        self.last_probe_number
    }

    /// Probes the next member of the round. Each round goes through all members that are up, in a newly
    /// shuffled order.
    pub(crate) fn probe_next(&mut self, now: Ms, effects: &mut dyn Effects) {
        if self.passive() {
            return;
        }
        while let Some(id) = self.probe_order.pop() {
            if self.peers.get(&id).is_some_and(|peer| peer.is_up()) {
                return self.probe(now, id, effects);
            }
        }
        self.probe_order.clone_from(&self.up_members);
        self.rng.shuffle(&mut self.probe_order);
        if let Some(id) = self.probe_order.pop() {
            self.probe(now, id, effects);
        }
    }

    /// Starts a probe, unless one of this target runs or the limit is reached.
    pub(crate) fn probe(&mut self, now: Ms, target: MemberId, effects: &mut dyn Effects) {
        let running = self.probes.values().any(|probe| probe.target == target);
        let Some(peer) = self.peers.get(&target) else { return };
        if running || self.probes.len() >= MAX_PROBES {
            return;
        }
        let (instance, address) = (peer.view.instance, peer.view.address);
        let period = self.config.probe_period;
        let wait = self.ack_timeout.max(period * 0.05).min(period * HELPERS_AT);
        let due = now + wait * self.health_multiplier();
        let (helpers, nacks) = (Vec::new(), Vec::new());
        let number = self.next_probe_number();
        let stage = Stage::Direct;
        let probe = Probe { target, instance, sent: now, due, stage, helpers, nacks, indirect_answer: None };
        self.probes.insert(number, probe);
        self.counters.probes += 1;
        self.send_to_member(target, address, Body::Probe { number, to: target, instance }, effects);
    }

    /// Moves each probe that is due to its next stage.
    pub(crate) fn advance_probes(&mut self, now: Ms, effects: &mut dyn Effects) {
        let due: Vec<u32> =
            self.probes.iter().filter(|(_, probe)| probe.due <= now).map(|(number, _)| *number).collect();
        for number in due {
            let Some(stage) = self.probes.get(&number).map(|probe| probe.stage) else { continue };
            match stage {
                Stage::Direct => self.ask_helpers(number, effects),
                Stage::Helpers => self.dial_target(number, effects),
                Stage::Dial => self.conclude_probe(now, number, effects),
            }
        }
    }

    fn ask_helpers(&mut self, number: u32, effects: &mut dyn Effects) {
        let probe = self.probes.get(&number);
        let Some((target, instance)) = probe.map(|probe| (probe.target, probe.instance)) else { return };
        let Some(address) = self.peers.get(&target).map(|peer| peer.view.address) else { return };
        let mut helpers = self.sample_up(self.config.helpers + 1);
        helpers.retain(|id| *id != target && self.peers[id].view.state == State::Alive);
        helpers.truncate(self.config.helpers);
        let until = self.config.probe_period * DIAL_AT * self.health_multiplier();
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.stage = Stage::Helpers;
            probe.due = probe.sent + until;
            probe.helpers.clone_from(&helpers);
        }
        self.send_to_member(target, address, Body::Probe { number, to: target, instance }, effects);
        for id in helpers {
            let request = Body::ProbeRequest { number, target, instance, address };
            self.send_to_member(id, self.peers[&id].view.address, request, effects);
        }
    }

    fn dial_target(&mut self, number: u32, effects: &mut dyn Effects) {
        let until = self.config.probe_period * CONCLUDE_AT * self.health_multiplier();
        let Some(probe) = self.probes.get_mut(&number) else { return };
        probe.stage = Stage::Dial;
        probe.due = probe.sent + until;
        if probe.indirect_answer.is_none() {
            if let Some(address) = self.peers.get(&probe.target).map(|peer| peer.view.address) {
                self.counters.dials += 1;
                effects.dial(address, DialId(u64::from(number)));
            }
        }
    }

    fn conclude_probe(&mut self, now: Ms, number: u32, effects: &mut dyn Effects) {
        let Some(probe) = self.probes.remove(&number) else { return };
        // Helpers that do not even send a nack are a sign that this member itself does not receive well.
        let silent = probe.helpers.len().saturating_sub(probe.nacks.len());
        if let Some(hears_me) = probe.indirect_answer {
            return self.set_indirect_reachability(now, probe.target, hears_me, effects);
        }
        let receives = self.last_datagram_at > probe.sent;
        let several_failing = receives && self.several_failing(now, probe.target);
        // Helpers may be silent because they died along with the target: where this member receives from
        // others and several members are failing, it does not doubt its own health. Doing so would slow down
        // the detection of the other deaths up to ninefold.
        if !several_failing {
            self.degrade_health(if probe.helpers.is_empty() { 1 } else { silent as u32 });
        }
        let reachability = if self.heard_within(now, probe.target, 3.0) {
            Reachability::InboundOnly
        } else {
            Reachability::Unreachable
        };
        self.set_reachability(probe.target, reachability, effects);
        let Some(peer) = self.peers.get(&probe.target) else { return };
        if peer.view.instance == probe.instance && peer.is_up() {
            self.counters.suspicions += 1;
            let own_id = self.config.local.id;
            self.suspect(now, probe.target, Some(own_id), effects);
            if several_failing {
                self.probe_extra(now, effects);
            } else if receives {
                // A target that was only paused, and that nobody hears, could not refute the suspicion: a
                // second probe finds it running again.
                self.probe(now, probe.target, effects);
            }
        }
    }

    /// Probes more members of the round, so that simultaneous deaths are not detected one per period.
    fn probe_extra(&mut self, now: Ms, effects: &mut dyn Effects) {
        for _ in 0..EXTRA_PROBES {
            while let Some(id) = self.probe_order.pop() {
                if self.peers.get(&id).is_some_and(|peer| peer.view.state == State::Alive) {
                    self.probe(now, id, effects);
                    break;
                }
            }
        }
    }

    pub(crate) fn handle_ack(&mut self, now: Ms, from: Sender, number: u32, effects: &mut dyn Effects) {
        let known = self
            .probes
            .get(&number)
            .is_some_and(|probe| probe.target == from.id && probe.instance == from.instance);
        let Some(probe) = self.probes.remove(&number).filter(|_| known) else {
            self.counters.unexpected += 1;
            return;
        };
        self.counters.acks += 1;
        self.improve_health();
        if probe.stage == Stage::Direct {
            // The timeout is four times the smoothed round trip.
            self.ack_timeout = self.ack_timeout * 0.875 + (now - probe.sent) * 0.5;
        }
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.last_ack = now;
        }
        self.set_reachability(from.id, Reachability::Mutual, effects);
    }

    /// A helper or the connection has shown that the target is running.
    pub(crate) fn handle_forwarded_ack(
        &mut self,
        now: Ms,
        number: u32,
        hears_me: bool,
        effects: &mut dyn Effects,
    ) {
        let Some(probe) = self.probes.get_mut(&number) else {
            self.counters.unexpected += 1;
            return;
        };
        probe.indirect_answer = Some(probe.indirect_answer.unwrap_or(false) || hears_me);
        let (target, instance) = (probe.target, probe.instance);
        self.refute_for(now, target, instance, effects);
    }

    pub(crate) fn handle_forwarded_nack(&mut self, from: MemberId, number: u32) {
        self.counters.nacks += 1;
        if let Some(probe) = self.probes.get_mut(&number) {
            if probe.helpers.contains(&from) && !probe.nacks.contains(&from) {
                probe.nacks.push(from);
            }
        }
    }

    pub(crate) fn handle_dial(&mut self, now: Ms, id: DialId, up: bool, effects: &mut dyn Effects) {
        let number = u32::try_from(id.0).ok();
        if let Some(number) = number.filter(|number| up && self.probes.contains_key(number)) {
            self.handle_forwarded_ack(now, number, false, effects);
        }
    }
}
