//! Carries out the effects of the membership.

use super::{http_address, log, Fleet};
use ottersail_membership::{Address, Change, DialId, Effects, MemberId, Message, State, Topic};
use tracing::error;

/// Sends messages immediately. Probes over HTTP start only after the membership has returned, since their results are
/// inputs to it.
pub(super) struct MemberEffects<'a> {
    /// The fleet whose socket, addresses and counters are used.
    pub fleet: &'a Fleet,
    /// The member that is being answered; the address book may not know it yet.
    pub partner: Option<(Address, MemberId)>,
    /// Members to probe over HTTP.
    pub dials: Vec<(Address, DialId)>,
    /// Members that joined or returned.
    pub newly_alive: Vec<MemberId>,
    /// Messages for the upper layers, passed on after the membership has returned, since they may send in turn.
    pub messages: Vec<(MemberId, Topic, Vec<u8>)>,
    /// Whether the roster has changed, so that addresses may have changed too.
    pub changed: bool,
}

impl Effects for MemberEffects<'_> {
    fn send(&mut self, to: Address, message: &Message) {
        let partner = self.partner.filter(|(address, _)| *address == to).map(|(_, id)| id);
        let id = partner.or_else(|| self.fleet.addresses.borrow().id(to));
        let sealed = self.fleet.auth.borrow_mut().seal(id, message);
        match sealed {
            Ok(bytes) => self.fleet.send(&bytes, to),
            Err(error) => {
                self.fleet.counters.unsealed.set(self.fleet.counters.unsealed.get() + 1);
                error!(target: "members", trouble = %error, %to, "a message could not be sent");
            }
        }
    }

    fn dial(&mut self, to: Address, tag: DialId) {
        self.dials.push((to, tag));
    }

    fn deliver(&mut self, from: MemberId, topic: Topic, bytes: &[u8]) {
        if topic == http_address::TOPIC {
            self.fleet.http_addresses.borrow_mut().insert(from, bytes);
        } else {
            self.messages.push((from, topic, bytes.to_vec()));
        }
    }

    fn changed(&mut self, change: &Change) {
        self.changed = true;
        match change {
            Change::State { id, was, is: State::Alive, .. } if *was != Some(State::Suspect) => {
                self.newly_alive.push(*id);
            }
            _ => {}
        }
        log::write(change);
    }
}
