//! Probes: direct, then by helpers, then by the second way; only when all fail is a member suspected.

use crate::ids::{DialId, InstanceId, MemberId};
use crate::machine::Members;
use crate::message::{Body, Sender, State};
use crate::view::{Effects, Reachability};
use ottersail::time::Ms;

/// Parts of a period, each stretched by the local health: helpers are asked no later than the first, the
/// second way is tried at the second, the verdict falls at the third.
const HELP_BY: f64 = 0.3;
const DIAL_AT: f64 = 0.45;
const VERDICT_AT: f64 = 0.85;
/// Probes that run at once.
const MOST_PROBES: usize = 8;
/// Probes at once after one that failed while many are in trouble.
const MORE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Direct,
    Helpers,
    SecondWay,
}

pub(crate) struct Probe {
    pub target: MemberId,
    pub instance: InstanceId,
    pub sent: Ms,
    pub due: Ms,
    pub stage: Stage,
    pub helpers: Vec<MemberId>,
    pub nacks: Vec<MemberId>,
    /// Others or the second way have answered, and whether they say that the target hears this member.
    pub vouched: Option<bool>,
}

impl Members {
    pub(crate) fn number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// The next of the round; a round is shuffled anew when it is through.
    pub(crate) fn probe_next(&mut self, now: Ms, out: &mut dyn Effects) {
        if self.passive() {
            return;
        }
        while let Some(id) = self.round.pop() {
            if self.peers.get(&id).is_some_and(|peer| peer.up()) {
                return self.probe(now, id, out);
            }
        }
        self.round.clone_from(&self.living);
        self.chance.shuffle(&mut self.round);
        if let Some(id) = self.round.pop() {
            self.probe(now, id, out);
        }
    }

    pub(crate) fn probe(&mut self, now: Ms, target: MemberId, out: &mut dyn Effects) {
        let running = self.probes.values().any(|probe| probe.target == target);
        let Some(peer) = self.peers.get(&target) else { return };
        if running || self.probes.len() >= MOST_PROBES {
            return;
        }
        let (instance, address) = (peer.known.instance, peer.known.address);
        let wait = self.round_trip.max(self.terms.probe_period * 0.05).min(self.terms.probe_period * HELP_BY);
        let due = now + wait * self.patience();
        let (helpers, nacks) = (Vec::new(), Vec::new());
        let number = self.number();
        let stage = Stage::Direct;
        let probe = Probe { target, instance, sent: now, due, stage, helpers, nacks, vouched: None };
        self.probes.insert(number, probe);
        self.counters.probes += 1;
        self.say_to(target, address, Body::Probe { number, to: target, instance }, out);
    }

    pub(crate) fn mind_probes(&mut self, now: Ms, out: &mut dyn Effects) {
        let due: Vec<u32> = self.probes.iter().filter(|(_, it)| it.due <= now).map(|(it, _)| *it).collect();
        for number in due {
            let Some(stage) = self.probes.get(&number).map(|probe| probe.stage) else { continue };
            match stage {
                Stage::Direct => self.ask_helpers(number, out),
                Stage::Helpers => self.try_second_way(number, out),
                Stage::SecondWay => self.verdict(now, number, out),
            }
        }
    }

    fn ask_helpers(&mut self, number: u32, out: &mut dyn Effects) {
        let Some((target, instance)) = self.probes.get(&number).map(|it| (it.target, it.instance)) else {
            return;
        };
        let Some(at) = self.peers.get(&target).map(|peer| peer.known.address) else { return };
        let mut helpers = self.some_living(self.terms.helpers + 1);
        helpers.retain(|id| *id != target && self.peers[id].known.state == State::Alive);
        helpers.truncate(self.terms.helpers);
        let until = self.terms.probe_period * DIAL_AT * self.patience();
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.stage = Stage::Helpers;
            probe.due = probe.sent + until;
            probe.helpers.clone_from(&helpers);
        }
        self.say_to(target, at, Body::Probe { number, to: target, instance }, out);
        for id in helpers {
            self.say_to(
                id,
                self.peers[&id].known.address,
                Body::ProbeFor { number, target, instance, at },
                out,
            );
        }
    }

    fn try_second_way(&mut self, number: u32, out: &mut dyn Effects) {
        let until = self.terms.probe_period * VERDICT_AT * self.patience();
        let Some(probe) = self.probes.get_mut(&number) else { return };
        probe.stage = Stage::SecondWay;
        probe.due = probe.sent + until;
        if probe.vouched.is_none() {
            if let Some(address) = self.peers.get(&probe.target).map(|peer| peer.known.address) {
                self.counters.dials += 1;
                out.dial(address, DialId(u64::from(number)));
            }
        }
    }

    fn verdict(&mut self, now: Ms, number: u32, out: &mut dyn Effects) {
        let Some(probe) = self.probes.remove(&number) else { return };
        // Helpers that say nothing at all are a sign that this member itself hears badly.
        let silent = probe.helpers.len().saturating_sub(probe.nacks.len());
        if let Some(hears_me) = probe.vouched {
            return self.answered_by_others(now, probe.target, hears_me, out);
        }
        let hears = self.any_heard > probe.sent;
        let many = hears && self.many_in_trouble(now, probe.target);
        // Guards against doubting oneself for helpers that died along with the target: where
        // others are heard and
        // many are in trouble, silence is theirs. Doubt would slow the finding of the other deaths ninefold.
        if !many {
            self.worse(if probe.helpers.is_empty() { 1 } else { silent as u32 });
        }
        let reachability = if self.hears(now, probe.target, 3.0) {
            Reachability::InboundOnly
        } else {
            Reachability::Unreachable
        };
        self.set_reachability(probe.target, reachability, out);
        let Some(peer) = self.peers.get(&probe.target) else { return };
        if peer.known.instance == probe.instance && peer.up() {
            self.counters.suspicions += 1;
            let me = self.terms.local.id;
            self.suspect(now, probe.target, Some(me), out);
            if many {
                self.probe_more(now, out);
            } else if hears {
                // Guards against burying one that stood still and is heard by nobody: it can't contradict.
                self.probe(now, probe.target, out);
            }
        }
    }

    /// Guards against deaths of many at once that are found one a period: more of the round are probed.
    fn probe_more(&mut self, now: Ms, out: &mut dyn Effects) {
        for _ in 0..MORE {
            while let Some(id) = self.round.pop() {
                if self.peers.get(&id).is_some_and(|peer| peer.known.state == State::Alive) {
                    self.probe(now, id, out);
                    break;
                }
            }
        }
    }

    pub(crate) fn acked(&mut self, now: Ms, from: Sender, number: u32, out: &mut dyn Effects) {
        let known =
            self.probes.get(&number).is_some_and(|it| it.target == from.id && it.instance == from.instance);
        let Some(probe) = self.probes.remove(&number).filter(|_| known) else {
            self.counters.unexpected += 1;
            return;
        };
        self.counters.acks += 1;
        self.better();
        if probe.stage == Stage::Direct {
            // Waits for four times the smoothed round trip.
            self.round_trip = self.round_trip * 0.875 + (now - probe.sent) * 0.5;
        }
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.acked = now;
        }
        self.set_reachability(from.id, Reachability::Mutual, out);
    }

    pub(crate) fn vouched(&mut self, now: Ms, number: u32, hears_me: bool, out: &mut dyn Effects) {
        let Some(probe) = self.probes.get_mut(&number) else {
            self.counters.unexpected += 1;
            return;
        };
        probe.vouched = Some(probe.vouched.unwrap_or(false) || hears_me);
        let (target, instance) = (probe.target, probe.instance);
        self.speak_for(now, target, instance, out);
    }

    pub(crate) fn nacked(&mut self, from: MemberId, number: u32) {
        self.counters.nacks += 1;
        if let Some(probe) = self.probes.get_mut(&number) {
            if probe.helpers.contains(&from) && !probe.nacks.contains(&from) {
                probe.nacks.push(from);
            }
        }
    }

    pub(crate) fn dial_answered(&mut self, now: Ms, tag: DialId, up: bool, out: &mut dyn Effects) {
        let number = u32::try_from(tag.0).ok().filter(|it| up && self.probes.contains_key(it));
        if let Some(number) = number {
            self.vouched(now, number, false, out);
        }
    }
}
