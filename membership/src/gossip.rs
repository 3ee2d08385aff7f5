//! Gossip: updates travel along with every message, and in messages of their own while any are queued.

use crate::ids::{Address, MemberId};
use crate::members::Members;
use crate::message::{Body, Message, Piggyback, State, Update};
use crate::view::Effects;
use ottersail::time::Ms;

/// Bytes of updates in a message that has another purpose.
const PIGGYBACKED_BYTES: usize = 400;
/// Bytes of updates in a message that carries nothing else.
const GOSSIP_BYTES: usize = 900;
/// Members that get a gossip message in each round.
const GOSSIP_FANOUT: usize = 3;
const GOSSIP_ROUNDS_PER_PERIOD: f64 = 5.0;

/// Upper bound on the bytes that an update takes in a message.
pub(crate) fn max_update_bytes(update: &Update) -> usize {
    33 + update.info.as_ref().map_or(0, |info| 11 + info.name.len() + info.site.len())
}

/// An update that is being spread, and how often it was sent or received back.
pub(crate) struct Rumour {
    pub update: Update,
    pub sent: u32,
}

impl Members {
    /// Starts to spread an update; it replaces an earlier one about the same member.
    pub(crate) fn queue_update(&mut self, update: Update) {
        self.rumours.insert(update.member, Rumour { update, sent: 0 });
    }

    /// Another member spreads the same update: that counts as one transmission by this member.
    pub(crate) fn count_redundant(&mut self, member: MemberId) {
        let limit = self.max_transmissions();
        if let Some(rumour) = self.rumours.get_mut(&member) {
            rumour.sent += 1;
            if rumour.sent >= limit {
                self.rumours.remove(&member);
            }
        }
    }

    fn max_transmissions(&self) -> u32 {
        (self.config.retransmit_factor * ((self.cluster_size() + 1) as f64).log2()).ceil() as u32
    }

    /// The updates for one message, those sent least often first, up to `max_bytes`.
    fn take_updates(&mut self, max_bytes: usize) -> Vec<Update> {
        if self.rumours.is_empty() {
            return Vec::new();
        }
        let limit = self.max_transmissions();
        let mut order: Vec<(u32, MemberId)> =
            self.rumours.iter().map(|(id, rumour)| (rumour.sent, *id)).collect();
        order.sort();
        let (mut bytes, mut taken) = (0, Vec::new());
        for (_, id) in order {
            let Some(rumour) = self.rumours.get_mut(&id) else { continue };
            if bytes + max_update_bytes(&rumour.update) > max_bytes {
                break;
            }
            bytes += max_update_bytes(&rumour.update);
            rumour.sent += 1;
            taken.push(rumour.update.clone());
            if rumour.sent >= limit {
                self.rumours.remove(&id);
            }
        }
        taken
    }

    /// Sends a message, with queued updates, to an address whose member need not be known.
    pub(crate) fn send_to_address(&mut self, to: Address, body: Body, effects: &mut dyn Effects) {
        self.send_with(to, body, Vec::new(), effects);
    }

    /// Sends a message to a member. If the member is not considered alive, the first update in the message
    /// says so, so that it can refute it.
    pub(crate) fn send_to_member(
        &mut self,
        id: MemberId,
        to: Address,
        body: Body,
        effects: &mut dyn Effects,
    ) {
        let not_alive = self.peers.get(&id).is_some_and(|peer| peer.view.state != State::Alive);
        let first = not_alive.then(|| self.update_about(id, None)).flatten();
        self.send_with(to, body, first.into_iter().collect(), effects);
    }

    fn send_with(&mut self, to: Address, body: Body, mut updates: Vec<Update>, effects: &mut dyn Effects) {
        let (update_bytes, with_piggybacks) = match body {
            Body::Gossip => (GOSSIP_BYTES, false),
            Body::Application { .. } => (0, false),
            Body::Probe { .. } | Body::Ack { .. } => (PIGGYBACKED_BYTES, true),
            _ => (PIGGYBACKED_BYTES, false),
        };
        if !self.passive() {
            updates.extend(self.take_updates(update_bytes));
        }
        let piggybacks = self
            .own_piggybacks
            .iter()
            .filter(|_| with_piggybacks)
            .map(|(topic, bytes)| Piggyback { topic: *topic, bytes: bytes.clone() })
            .collect();
        self.counters.sent += 1;
        effects.send(to, &Message { incarnation: self.incarnation, body, updates, piggybacks });
    }

    /// Sends the gossip messages of a round that is due.
    pub(crate) fn advance_gossip(&mut self, now: Ms, effects: &mut dyn Effects) {
        if now < self.next_gossip || self.rumours.is_empty() || self.passive() {
            return;
        }
        self.next_gossip = now + self.config.probe_period * (1.0 / GOSSIP_ROUNDS_PER_PERIOD);
        for id in self.sample_up(GOSSIP_FANOUT) {
            if !self.rumours.is_empty() {
                self.send_to_member(id, self.peers[&id].view.address, Body::Gossip, effects);
            }
        }
    }
}
