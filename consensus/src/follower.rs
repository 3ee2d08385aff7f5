//! One that follows the registers and asks for changes; a councillor has one inside.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

#[cfg(any(test, feature = "sabotage"))]
use crate::effects::Guards;
use crate::effects::{CouncilConfig, Effects};
use crate::message::Message;
use crate::requester::Requester;
use crate::types::{Change, Key, Value};

/// Revisions told in one fetch at most.
const HAVE_MOST: usize = 50;
/// Bytes of values in one answer at most.
const FOUND_MOST: usize = 760;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Follower {
    config: CouncilConfig,
    requester: Requester,
    values: BTreeMap<Key, Value>,
    /// From whom, and until when nobody else is asked.
    fetching: Option<(MemberId, Ms)>,
    #[cfg(any(test, feature = "sabotage"))]
    pub(crate) guards: Guards,
}

impl Follower {
    pub fn new(_now: Ms, config: CouncilConfig) -> Follower {
        Follower {
            config,
            requester: Requester::default(),
            values: BTreeMap::new(),
            fetching: None,
            #[cfg(any(test, feature = "sabotage"))]
            guards: Guards::ALL,
        }
    }

    pub fn config(&self) -> &CouncilConfig {
        &self.config
    }

    /// The newest chosen values known here; they may be behind.
    pub fn values(&self) -> &BTreeMap<Key, Value> {
        &self.values
    }

    pub fn next_timer(&self) -> Ms {
        self.requester.next_timer()
    }

    pub fn on_timer(&mut self, now: Ms, out: &mut dyn Effects) {
        self.requester.on_timer(now, &self.config, out);
    }

    /// Asks for a change or a read under an own number from 1; `answered(number)` once.
    pub fn submit(&mut self, now: Ms, number: u64, key: Key, change: Change, out: &mut dyn Effects) {
        self.requester.submit(now, &self.config, number, (key, change), out);
    }

    /// Who is believed to live now, so that the lowest-numbered living councillor is asked.
    pub fn set_living(&mut self, living: &BTreeSet<MemberId>) {
        self.requester.set_living(living);
    }

    pub fn preferred(&self) -> Option<MemberId> {
        self.requester.preferred(&self.config)
    }

    /// What to carry on probes: the sum of the revisions followed and a hash over them, 16 bytes.
    pub fn revision_digest(&self) -> Vec<u8> {
        let (sum, hash) = self.digest();
        [sum.to_le_bytes(), hash.to_le_bytes()].concat()
    }

    fn digest(&self) -> (u64, u64) {
        self.values.iter().fold((0, 0), |(sum, hash), (key, value)| {
            let number = match key {
                Key::Founding => 0,
                Key::Slots(n) => 0x1_0000 + u64::from(*n),
                Key::Order(n) => 0x2_0000 + u64::from(*n),
            };
            (sum + value.revision, hash ^ scatter(scatter(number) ^ value.revision))
        })
    }

    /// Another's rider: if it follows other revisions and does not know less on the whole, the newer are fetched.
    pub fn on_digest(&mut self, now: Ms, from: MemberId, rider: &[u8], out: &mut dyn Effects) {
        let Some((sum, hash)) = rider.split_first_chunk::<8>() else { return };
        let Some((hash, _)) = hash.split_first_chunk::<8>() else { return };
        let (own_sum, own_hash) = self.digest();
        let behind = u64::from_le_bytes(*hash) != own_hash && u64::from_le_bytes(*sum) >= own_sum;
        let free = self.fetching.is_none_or(|(_, until)| until <= now);
        if behind && free && from != self.config.me {
            self.fetch(now, from, None, out);
        }
    }

    fn fetch(&mut self, now: Ms, from: MemberId, after: Option<Key>, out: &mut dyn Effects) {
        self.fetching = Some((from, now + self.config.retry_interval));
        let mut rest = self.values.iter().filter(|(key, _)| Some(**key) > after);
        let known_revisions: Vec<_> =
            rest.by_ref().take(HAVE_MOST).map(|(key, value)| (*key, value.revision)).collect();
        let up_to = rest.next().and(known_revisions.last()).map(|(key, _)| *key);
        out.send(from, &Message::Fetch { after, up_to, known_revisions });
    }

    pub fn on_message(&mut self, now: Ms, from: MemberId, message: &Message, out: &mut dyn Effects) {
        match message {
            Message::Learned { key, value } if self.config.councillors.contains(&from) => {
                self.learn(*key, value, out);
            }
            Message::Answer { request, outcome } => {
                self.requester.answer(&self.config, *request, outcome, out)
            }
            Message::Fetch { after, up_to, known_revisions } => {
                out.send(from, &self.found(*after, *up_to, known_revisions));
            }
            Message::Found { values, more } => {
                for (key, value) in values {
                    self.learn(*key, value, out);
                }
                if self.fetching.is_some_and(|(member, _)| member == from) {
                    self.fetching = None;
                    if more.is_some() {
                        self.fetch(now, from, *more, out);
                    }
                }
            }
            _ => {}
        }
    }

    fn found(&self, after: Option<Key>, up_to: Option<Key>, known_revisions: &[(Key, u64)]) -> Message {
        let known_revisions: BTreeMap<Key, u64> = known_revisions.iter().copied().collect();
        let inside = |key: &Key| Some(*key) > after && up_to.is_none_or(|up_to| *key <= up_to);
        let mut values: Vec<(Key, Value)> = Vec::new();
        let mut bytes = 0;
        for (key, value) in self.values.iter().filter(|(key, _)| inside(key)) {
            if known_revisions.get(key).copied().unwrap_or(0) >= value.revision {
                continue;
            }
            bytes += 50 + value.body.len();
            if let Some((last, _)) = values.last().filter(|_| bytes > FOUND_MOST) {
                return Message::Found { more: Some(*last), values };
            }
            values.push((*key, value.clone()));
        }
        Message::Found { values, more: up_to }
    }

    /// Never an older over a newer. Symptom without that: a late message takes an order back.
    pub fn learn(&mut self, key: Key, value: &Value, out: &mut dyn Effects) {
        let held = self.values.get(&key).map_or(0, |held| held.revision);
        #[cfg(any(test, feature = "sabotage"))]
        let held = if self.guards.ignore_older_values { held } else { 0 };
        if value.revision > held {
            self.values.insert(key, value.clone());
            out.chosen(key, value);
        }
    }
}

/// Spreads each bit over all 64 (a finalizer by Stafford's constants, as in splitmix64: Steele et al. 2014).
fn scatter(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
