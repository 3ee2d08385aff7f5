//! What the machine wishes.

use super::{door, lines, Fleet};
use ottersail_membership::{Address, Change, DialId, Effects, MemberId, Message, State, Topic};
use tracing::error;

/// Sends at once; dials once the machine has come back, since their answers are inputs of it.
pub(super) struct Hands<'a> {
    pub fleet: &'a Fleet,
    /// Who is being answered: the book may not know it yet.
    pub partner: Option<(Address, MemberId)>,
    pub dials: Vec<(Address, DialId)>,
    /// Who came in or came back.
    pub met: Vec<MemberId>,
    /// For the layers above, once the machine has come back: they may tell others in turn.
    pub heard: Vec<(MemberId, Topic, Vec<u8>)>,
    /// Addresses may be others' now.
    pub changed: bool,
}

impl Effects for Hands<'_> {
    fn send(&mut self, to: Address, message: &Message) {
        let partner = self.partner.filter(|it| it.0 == to).map(|it| it.1);
        let id = partner.or_else(|| self.fleet.book.borrow().id(to));
        let sealed = self.fleet.gate.borrow_mut().seal(id, message);
        match sealed {
            Ok(bytes) => self.fleet.send(&bytes, to),
            Err(trouble) => {
                self.fleet.tally.unsealed.set(self.fleet.tally.unsealed.get() + 1);
                error!(target: "members", %trouble, %to, "a message could not be sent");
            }
        }
    }

    fn dial(&mut self, to: Address, tag: DialId) {
        self.dials.push((to, tag));
    }

    fn deliver(&mut self, from: MemberId, topic: Topic, bytes: &[u8]) {
        if topic == door::TOPIC {
            self.fleet.doors.borrow_mut().hear(from, bytes);
        } else {
            self.heard.push((from, topic, bytes.to_vec()));
        }
    }

    fn changed(&mut self, change: &Change) {
        self.changed = true;
        match change {
            Change::State { id, was, is: State::Alive, .. } if *was != Some(State::Suspect) => {
                self.met.push(*id);
            }
            _ => {}
        }
        lines::write(change);
    }
}
