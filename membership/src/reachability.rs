//! Reachability between this member and each other, derived from probe results and received datagrams.

use crate::application::MAX_PIGGYBACK_BYTES;
use crate::ids::MemberId;
use crate::members::Members;
use crate::message::{Body, Message, Sender, State};
use crate::view::{Change, Effects, Reachability, StateChangeReason};
use ottersail::time::Ms;

/// Topics of piggybacked payloads that are stored for one member.
const MAX_STORED_TOPICS: usize = 8;

impl Members {
    pub(crate) fn set_reachability(&mut self, id: MemberId, is: Reachability, effects: &mut dyn Effects) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let was = std::mem::replace(&mut peer.view.reachability, is);
        if was != is {
            self.report(Change::Reachability { id, was, is }, effects);
        }
    }

    /// Records that a datagram of this sender has arrived and stores its piggybacked payloads. A sender that
    /// is considered dead is told so, so that it can refute it.
    pub(crate) fn handle_sender(
        &mut self,
        now: Ms,
        from: Sender,
        message: &Message,
        effects: &mut dyn Effects,
    ) {
        let Some(peer) = self.peers.get_mut(&from.id) else { return };
        if peer.view.instance != from.instance {
            return;
        }
        peer.last_heard = now;
        let accepted = |bytes: &[u8]| bytes.len() <= MAX_PIGGYBACK_BYTES;
        for piggyback in message.piggybacks.iter().filter(|piggyback| accepted(&piggyback.bytes)) {
            let stored = &mut peer.view.piggybacks;
            if stored.len() < MAX_STORED_TOPICS || stored.contains_key(&piggyback.topic) {
                stored.insert(piggyback.topic, piggyback.bytes.clone());
            }
        }
        // A refutation may cease to be gossiped before it reaches this member. The incarnation in each
        // message makes up for that: without it, a member that answers every probe was declared dead by the
        // one member that its refutation had not reached.
        let not_alive = matches!(peer.view.state, State::Suspect | State::Dead);
        if not_alive && message.incarnation > peer.view.incarnation {
            peer.view.incarnation = message.incarnation;
            self.set_state(now, from.id, State::Alive, StateChangeReason::Refuted, effects);
            self.update_about(from.id, None).into_iter().for_each(|update| self.queue_update(update));
        }
        let Some(view) = self.peers.get(&from.id).map(|peer| &peer.view) else { return };
        let (state, reachability) = (view.state, view.reachability);
        if matches!(reachability, Reachability::Unreachable | Reachability::ThroughOthers)
            && state != State::Left
        {
            self.set_reachability(from.id, Reachability::InboundOnly, effects);
        }
        if message.incarnation <= self.peers[&from.id].view.incarnation && state == State::Dead {
            self.send_to_member(from.id, from.address, Body::Gossip, effects);
        }
    }

    /// Whether a datagram of this member has arrived within that many periods.
    pub(crate) fn heard_within(&self, now: Ms, id: MemberId, periods: f64) -> bool {
        self.peers.get(&id).is_some_and(|peer| now - peer.last_heard < self.config.probe_period * periods)
    }

    /// Sets the reachability after a probe that only helpers or the connection answered.
    pub(crate) fn set_indirect_reachability(
        &mut self,
        now: Ms,
        id: MemberId,
        hears_me: bool,
        effects: &mut dyn Effects,
    ) {
        let reachability = match (self.heard_within(now, id, 5.0), hears_me) {
            (true, _) => Reachability::InboundOnly,
            (false, true) => Reachability::OutboundOnly,
            (false, false) => Reachability::ThroughOthers,
        };
        self.set_reachability(id, reachability, effects);
    }
}
