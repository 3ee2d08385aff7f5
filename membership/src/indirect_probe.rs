//! Answering probes, and probing a target on behalf of another member.

use crate::ids::{Address, InstanceId, MemberId};
use crate::members::Members;
use crate::message::{Body, Sender, State};
use crate::view::{Effects, Reachability};
use ottersail::time::Ms;

/// After this fraction of a probe period without an answer, a helper tells the requester so (a nack).
const NACK_AFTER: f64 = 0.3;
/// Probes on behalf of others that run at the same time.
const MAX_INDIRECT_PROBES: usize = 64;

/// A probe that this member runs on behalf of another.
pub(crate) struct PendingIndirectProbe {
    pub requester: (MemberId, Address),
    /// The requester's own number of the probe, which answers to it must carry.
    pub requester_number: u32,
    pub target: MemberId,
    pub due: Ms,
    pub nacked: bool,
}

impl Members {
    /// Answers a direct probe, or an indirect one that was sent on behalf of `requester`.
    pub(crate) fn handle_probe(
        &mut self,
        now: Ms,
        from: Sender,
        number: u32,
        to: (MemberId, InstanceId),
        requester: Option<MemberId>,
        effects: &mut dyn Effects,
    ) {
        if to.0 != self.config.local.id {
            self.counters.unexpected += 1;
            return;
        }
        if to.1 != self.config.local.instance {
            // The sender knows an earlier instance of this member: tell it about the current one.
            let own_update = self.update_about_self(State::Alive);
            self.queue_update(own_update);
            return self.send_to_member(from.id, from.address, Body::Gossip, effects);
        }
        let body = match requester {
            None => Body::Ack { number },
            Some(requester) => {
                Body::IndirectAck { number, hears_requester: self.heard_within(now, requester, 5.0) }
            }
        };
        self.send_to_member(from.id, from.address, body, effects);
    }

    pub(crate) fn handle_probe_request(
        &mut self,
        now: Ms,
        from: Sender,
        requester_number: u32,
        (target, instance, address): (MemberId, InstanceId, Address),
        effects: &mut dyn Effects,
    ) {
        if !self.peers.contains_key(&from.id)
            || self.indirect_probes.len() >= MAX_INDIRECT_PROBES
            || target == self.config.local.id
        {
            self.counters.unexpected += 1;
            return;
        }
        let number = self.next_probe_number();
        let due = now + self.config.probe_period * NACK_AFTER;
        let requester = (from.id, from.address);
        self.indirect_probes
            .insert(number, PendingIndirectProbe { requester, requester_number, target, due, nacked: false });
        self.counters.indirect_probes += 1;
        let body = Body::IndirectProbe { number, to: target, instance, requester: from.id };
        self.send_to_member(target, address, body, effects);
    }

    /// The target has answered an indirect probe: forwards the answer to the requester.
    pub(crate) fn handle_indirect_ack(
        &mut self,
        now: Ms,
        from: Sender,
        number: u32,
        hears_requester: bool,
        effects: &mut dyn Effects,
    ) {
        let removed = self.indirect_probes.remove(&number);
        let Some(pending) = removed.filter(|pending| pending.target == from.id) else { return };
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.last_ack = now;
        }
        self.set_reachability(from.id, Reachability::Mutual, effects);
        let body = Body::ForwardedAck { number: pending.requester_number, hears_you: hears_requester };
        self.send_to_member(pending.requester.0, pending.requester.1, body, effects);
    }

    /// Sends nacks that are due and drops indirect probes that have expired.
    pub(crate) fn advance_indirect_probes(&mut self, now: Ms, effects: &mut dyn Effects) {
        let due: Vec<u32> = self
            .indirect_probes
            .iter()
            .filter(|(_, pending)| pending.due <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let Some(pending) = self.indirect_probes.get_mut(&number) else { continue };
            if pending.nacked {
                self.indirect_probes.remove(&number);
                continue;
            }
            // The answer may still come after the nack: it is forwarded for as long as a slow requester
            // waits.
            pending.nacked = true;
            pending.due = now + self.config.probe_period * 2.0;
            let (requester, number) = (pending.requester, pending.requester_number);
            self.send_to_member(requester.0, requester.1, Body::ForwardedNack { number }, effects);
        }
    }
}
