//! Follows the chosen values of all registers and submits own requests. Each councillor contains a follower.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::config::CouncilConfig;
use crate::effects::Effects;
#[cfg(any(test, feature = "sabotage"))]
use crate::guards::Guards;
use crate::message::Message;
use crate::requester::Requester;
use crate::types::{Change, Key, Value};

/// Maximum number of revisions listed in one fetch.
const MAX_FETCH_REVISIONS: usize = 50;
/// Maximum size in bytes of the values in one answer to a fetch.
const MAX_FOUND_BYTES: usize = 760;

/// A member's view of the registers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Follower {
    config: CouncilConfig,
    requester: Requester,
    values: BTreeMap<Key, Value>,
    /// The member that a fetch was sent to, and until when no other is asked.
    fetching: Option<(MemberId, Ms)>,
    #[cfg(any(test, feature = "sabotage"))]
    pub(crate) guards: Guards,
}

impl Follower {
    /// A follower that knows no value yet.
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

    /// The configuration it was created with.
    pub fn config(&self) -> &CouncilConfig {
        &self.config
    }

    /// The newest chosen values known here; they may lag behind.
    pub fn values(&self) -> &BTreeMap<Key, Value> {
        &self.values
    }

    /// When [`Follower::on_timer`] is due.
    pub fn next_timer(&self) -> Ms {
        self.requester.next_timer()
    }

    /// Retries own requests.
    pub fn on_timer(&mut self, now: Ms, effects: &mut dyn Effects) {
        self.requester.on_timer(now, &self.config, effects);
    }

    /// Requests a change or a read under an own number, counted from 1. [`Effects::answered`] is called once for it.
    pub fn submit(&mut self, now: Ms, number: u64, key: Key, change: Change, effects: &mut dyn Effects) {
        self.requester.submit(now, &self.config, number, (key, change), effects);
    }

    /// Updates which members are believed alive, so that the lowest-numbered living councillor is asked.
    pub fn set_living(&mut self, living: &BTreeSet<MemberId>) {
        self.requester.set_living(living);
    }

    /// The councillor that is asked first.
    pub fn preferred(&self) -> Option<MemberId> {
        self.requester.preferred(&self.config)
    }

    /// The sum of the known revisions and a hash over them: 16 bytes that are carried on probes.
    pub fn revision_digest(&self) -> Vec<u8> {
        let (sum, hash) = self.digest();
        [sum.to_le_bytes(), hash.to_le_bytes()].concat()
    }

    fn digest(&self) -> (u64, u64) {
        self.values.iter().fold((0, 0), |(sum, hash), (key, value)| {
            let number = match key {
                Key::Founding => 0,
                Key::Slots(number) => 0x1_0000 + u64::from(*number),
                Key::Order(number) => 0x2_0000 + u64::from(*number),
            };
            (sum + value.revision, hash ^ mix(mix(number) ^ value.revision))
        })
    }

    /// Compares another member's digest: if its revisions differ and their sum is not smaller, fetches newer values.
    pub fn on_digest(&mut self, now: Ms, from: MemberId, digest: &[u8], effects: &mut dyn Effects) {
        let Some((sum, hash)) = digest.split_first_chunk::<8>() else { return };
        let Some((hash, _)) = hash.split_first_chunk::<8>() else { return };
        let (own_sum, own_hash) = self.digest();
        let behind = u64::from_le_bytes(*hash) != own_hash && u64::from_le_bytes(*sum) >= own_sum;
        let not_fetching = self.fetching.is_none_or(|(_, deadline)| deadline <= now);
        if behind && not_fetching && from != self.config.own_id {
            self.fetch(now, from, None, effects);
        }
    }

    fn fetch(&mut self, now: Ms, from: MemberId, after: Option<Key>, effects: &mut dyn Effects) {
        self.fetching = Some((from, now + self.config.retry_interval));
        let mut remaining = self.values.iter().filter(|(key, _)| Some(**key) > after);
        let known_revisions: Vec<_> =
            remaining.by_ref().take(MAX_FETCH_REVISIONS).map(|(key, value)| (*key, value.revision)).collect();
        let up_to = remaining.next().and(known_revisions.last()).map(|(key, _)| *key);
        effects.send(from, &Message::Fetch { after, up_to, known_revisions });
    }

    /// Handles announcements, answers and fetches.
    pub fn on_message(&mut self, now: Ms, from: MemberId, message: &Message, effects: &mut dyn Effects) {
        match message {
            Message::Learned { key, value } if self.config.councillors.contains(&from) => {
                self.learn(*key, value, effects);
            }
            Message::Answer { request, outcome } => {
                self.requester.answer(&self.config, *request, outcome, effects)
            }
            Message::Fetch { after, up_to, known_revisions } => {
                effects.send(from, &self.newer_values(*after, *up_to, known_revisions));
            }
            Message::Found { values, more } => {
                for (key, value) in values {
                    self.learn(*key, value, effects);
                }
                if self.fetching.is_some_and(|(member, _)| member == from) {
                    self.fetching = None;
                    if more.is_some() {
                        self.fetch(now, from, *more, effects);
                    }
                }
            }
            _ => {}
        }
    }

    fn newer_values(
        &self,
        after: Option<Key>,
        up_to: Option<Key>,
        known_revisions: &[(Key, u64)],
    ) -> Message {
        let known_revisions: BTreeMap<Key, u64> = known_revisions.iter().copied().collect();
        let in_range = |key: &Key| Some(*key) > after && up_to.is_none_or(|up_to| *key <= up_to);
        let mut values: Vec<(Key, Value)> = Vec::new();
        let mut bytes = 0;
        for (key, value) in self.values.iter().filter(|(key, _)| in_range(key)) {
            if known_revisions.get(key).copied().unwrap_or(0) >= value.revision {
                continue;
            }
            bytes += 50 + value.body.len();
            if let Some((last, _)) = values.last().filter(|_| bytes > MAX_FOUND_BYTES) {
                return Message::Found { more: Some(*last), values };
            }
            values.push((*key, value.clone()));
        }
        Message::Found { values, more: up_to }
    }

    /// Takes a chosen value unless a newer one is known; otherwise a late message could revert an order.
    pub fn learn(&mut self, key: Key, value: &Value, effects: &mut dyn Effects) {
        let held = self.values.get(&key).map_or(0, |held| held.revision);
        #[cfg(any(test, feature = "sabotage"))]
        let held = if self.guards.ignore_older_values { held } else { 0 };
        if value.revision > held {
            self.values.insert(key, value.clone());
            effects.chosen(key, value);
        }
    }
}

/// Spreads each bit over all 64 (a finalizer by Stafford's constants, as in splitmix64: Steele et al. 2014).
fn mix(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
