//! What the state machines request from their environment, and the guard that they consult.

use ottersail::time::Ms;

use crate::message::Message;
use crate::types::{Key, Outcome, Record, StoredState, Value};
use ottersail_membership::MemberId;

/// Identifies one request to persist records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Outputs of the state machines. The caller carries them out.
pub trait Effects {
    /// Sends a message to another member, never to this one. It may be lost, duplicated or reordered.
    fn send(&mut self, to: MemberId, message: &Message);
    /// Persists all of these records or none, synced and in the order of the tokens, and then calls
    /// [`crate::Councillor::on_persisted`]. After a failure it is never called, and the process restarts from what
    /// the disk holds.
    fn persist(&mut self, token: Token, records: &[Record]);
    /// The value is chosen, and newer than any that was reported for that key before.
    fn chosen(&mut self, key: Key, value: &Value);
    /// The outcome of an own request; called once for each number.
    fn answered(&mut self, number: u64, outcome: &Outcome);
}

/// A check of the upper layer that an acceptor makes before it accepts a value. Leases refuse slots that are given
/// to another member too early; an order to halt refuses permits under the order before it.
pub trait Guard {
    /// Whether the register `key` may change to the value `to`. `held` is this acceptor's whole state, since one
    /// register may restrict another.
    fn allows(&self, now: Ms, key: Key, held: &StoredState, to: &Value) -> bool;
}

/// A guard that allows everything.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowAll;

impl Guard for AllowAll {
    fn allows(&self, _: Ms, _: Key, _: &StoredState, _: &Value) -> bool {
        true
    }
}
