//! Who hears whom, between this member and each other: set by what a probe brought, or a datagram.

use crate::ids::MemberId;
use crate::machine::{Members, LONGEST_RIDER};
use crate::message::{Message, Sender, State};
use crate::view::{Change, Effects, Reachability, StateChangeReason};
use ottersail::time::Ms;

impl Members {
    pub(crate) fn set_reachability(&mut self, id: MemberId, is: Reachability, out: &mut dyn Effects) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let was = std::mem::replace(&mut peer.known.reachability, is);
        if was != is {
            self.note(Change::Reachability { id, was, is }, out);
        }
    }

    /// A datagram of its own has come: piggybacks are kept, and a buried one is told so, that it may contradict.
    pub(crate) fn heard(&mut self, now: Ms, from: Sender, message: &Message, out: &mut dyn Effects) {
        let Some(peer) = self.peers.get_mut(&from.id) else { return };
        if peer.known.instance != from.instance {
            return;
        }
        peer.heard = now;
        for rider in message.piggybacks.iter().filter(|rider| rider.bytes.len() <= LONGEST_RIDER) {
            if peer.known.piggybacks.len() < 8 || peer.known.piggybacks.contains_key(&rider.topic) {
                peer.known.piggybacks.insert(rider.topic, rider.bytes.clone());
            }
        }
        // Guards against a rumour that dies down on its way. Symptom without that: one that answers each probe
        // is buried by a member alone, since its contradiction reached all others and not that one.
        let accused = matches!(peer.known.state, State::Suspect | State::Dead);
        if accused && message.incarnation > peer.known.incarnation {
            peer.known.incarnation = message.incarnation;
            self.set_state(now, from.id, State::Alive, StateChangeReason::Refuted, out);
            self.update_about(from.id, None).into_iter().for_each(|news| self.spread(news));
        }
        let Some(known) = self.peers.get(&from.id).map(|it| &it.known) else { return };
        let (state, reachability) = (known.state, known.reachability);
        if matches!(reachability, Reachability::Unreachable | Reachability::ThroughOthers)
            && state != State::Left
        {
            self.set_reachability(from.id, Reachability::InboundOnly, out);
        }
        if message.incarnation <= self.peers[&from.id].known.incarnation && state == State::Dead {
            self.say_to(from.id, from.address, crate::message::Body::Gossip, out);
        }
    }

    /// Whether its own datagrams came within that many periods.
    pub(crate) fn hears(&self, now: Ms, id: MemberId, periods: f64) -> bool {
        self.peers.get(&id).is_some_and(|peer| now - peer.heard < self.terms.probe_period * periods)
    }

    /// A probe that only others or the second way answered.
    pub(crate) fn answered_by_others(
        &mut self,
        now: Ms,
        id: MemberId,
        hears_me: bool,
        out: &mut dyn Effects,
    ) {
        let reachability = match (self.hears(now, id, 5.0), hears_me) {
            (true, _) => Reachability::InboundOnly,
            (false, true) => Reachability::OutboundOnly,
            (false, false) => Reachability::ThroughOthers,
        };
        self.set_reachability(id, reachability, out);
    }
}
