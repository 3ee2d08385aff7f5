//! Messages and piggybacked payloads that the layers above send.

use crate::ids::{MemberId, Topic};
use crate::join::Phase;
use crate::members::Members;
use crate::message::Body;
use crate::view::Effects;
use ottersail::time::Ms;

/// The longest message of a layer above, in bytes.
const MAX_APPLICATION_BYTES: usize = 900;
/// The longest piggybacked payload, in bytes.
pub(crate) const MAX_PIGGYBACK_BYTES: usize = 64;
/// Topics of piggybacked payloads that this member sends.
const MAX_PIGGYBACKS: usize = 4;

impl Members {
    /// Sends one message of a layer above at once. Returns false if `to` is not known, `bytes` is longer than
    /// 900 bytes, or this member has not joined under its name or has left.
    pub fn send_message(
        &mut self,
        _now: Ms,
        to: MemberId,
        topic: Topic,
        bytes: &[u8],
        effects: &mut dyn Effects,
    ) -> bool {
        let Some(peer) = self.peers.get(&to) else { return false };
        if bytes.len() > MAX_APPLICATION_BYTES || self.passive() || self.phase == Phase::Left {
            return false;
        }
        let address = peer.view.address;
        self.send_to_address(address, Body::Application { topic, bytes: bytes.to_vec() }, effects);
        true
    }

    /// Sets the payload of a topic, at most 64 bytes, that travels on this member's probes and acks from now
    /// on; empty `bytes` removes it. A fifth topic and a longer payload are ignored.
    pub fn set_piggyback(&mut self, topic: Topic, bytes: &[u8]) {
        if bytes.is_empty() {
            self.own_piggybacks.remove(&topic);
        } else if bytes.len() <= MAX_PIGGYBACK_BYTES
            && (self.own_piggybacks.len() < MAX_PIGGYBACKS || self.own_piggybacks.contains_key(&topic))
        {
            self.own_piggybacks.insert(topic, bytes.to_vec());
        }
    }
}
