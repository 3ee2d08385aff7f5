//! One that follows the registers and asks for changes without being a councillor.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_members::MemberId;

use crate::message::Message;
use crate::types::{Change, Key, Value};
use crate::wishes::{Terms, Wishes};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Follower {
    terms: Terms,
    values: BTreeMap<Key, Value>,
}

impl Follower {
    pub fn born(_now: Ms, terms: Terms) -> Follower {
        Follower { terms, values: BTreeMap::new() }
    }

    pub fn bell_at(&self) -> Ms {
        Ms(f64::INFINITY)
    }

    pub fn bell(&mut self, _now: Ms, _out: &mut dyn Wishes) {}

    pub fn message(&mut self, _now: Ms, _from: MemberId, _message: &Message, _out: &mut dyn Wishes) {}

    /// Asks for a change or a read under an own number; `answered(number)` once.
    pub fn ask(&mut self, _now: Ms, _number: u64, _key: Key, _change: Change, _out: &mut dyn Wishes) {}

    /// Who is believed to live now, so that the lowest-numbered living councillor is asked.
    pub fn living(&mut self, _living: &BTreeSet<MemberId>) {}

    /// What to carry on probes: 16 bytes that tell the revisions followed.
    pub fn rider(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Another's rider: if it follows other revisions, the newer are fetched.
    pub fn heard(&mut self, _now: Ms, _from: MemberId, _rider: &[u8], _out: &mut dyn Wishes) {}

    /// The newest chosen values known here; they may be behind.
    pub fn values(&self) -> &BTreeMap<Key, Value> {
        &self.values
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }
}
