//! Records all reported results and detects contradictions between them.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::*;

/// All reported results, and the last contradiction found.
#[derive(Default)]
pub struct Checker {
    pub chosen: BTreeMap<(Key, u64), Value>,
    /// The newest chosen revision of each key.
    newest: BTreeMap<Key, u64>,
    /// By member and number: the key, and the newest chosen revision when it was requested.
    pub asked: BTreeMap<(MemberId, u64), (Key, u64)>,
    pub answers: BTreeMap<(MemberId, u64), (Outcome, Ms)>,
    pub violation: Option<String>,
}

impl Checker {
    /// Records a value that was reported as chosen.
    pub fn record_chosen(&mut self, key: Key, value: &Value) {
        let first = self.chosen.entry((key, value.revision)).or_insert_with(|| value.clone());
        if first != value {
            self.violation = Some(format!("two values at {key:?}: {first:?} and {value:?}"));
        }
        let newest = self.newest.entry(key).or_default();
        *newest = (*newest).max(value.revision);
    }

    /// The newest chosen revision of the key.
    pub fn newest(&self, key: Key) -> u64 {
        self.newest.get(&key).copied().unwrap_or(0)
    }

    /// Records the answer to a request.
    pub fn answer(&mut self, now: Ms, at: MemberId, number: u64, outcome: &Outcome) {
        let Some(&(key, known)) = self.asked.get(&(at, number)) else { return };
        let revision = match outcome {
            Outcome::Chosen(value) | Outcome::Current(Some(value)) => {
                self.record_chosen(key, value);
                value.revision
            }
            Outcome::Current(None) => 0,
            Outcome::Unanswered | Outcome::Rejected => known,
        };
        if revision < known {
            self.violation = Some(format!("{key:?} at {known} when asked, answered {outcome:?}"));
        }
        if self.answers.insert((at, number), (outcome.clone(), now)).is_some() {
            self.violation = Some(format!("answered twice: {at:?} {number}"));
        }
    }
}

/// Collects the effects of one call.
#[derive(Default)]
pub struct CollectedEffects {
    pub sent: Vec<(MemberId, Message)>,
    pub persisted: Vec<(Token, Vec<Record>)>,
    pub chosen: Vec<(Key, Value)>,
    pub answers: Vec<(u64, Outcome)>,
}

impl Effects for CollectedEffects {
    fn send(&mut self, to: MemberId, message: &Message) {
        self.sent.push((to, message.clone()));
    }
    fn persist(&mut self, token: Token, records: &[Record]) {
        self.persisted.push((token, records.to_vec()));
    }
    fn chosen(&mut self, key: Key, value: &Value) {
        self.chosen.push((key, value.clone()));
    }
    fn answered(&mut self, number: u64, outcome: &Outcome) {
        self.answers.push((number, outcome.clone()));
    }
}

/// The stores of a newly founded council.
pub fn founded(members: &[MemberId]) -> BTreeMap<MemberId, StoredState> {
    let founders: StoreGenerations =
        members.iter().map(|member| (*member, StoreGeneration(member.0))).collect();
    let stored = |member: &MemberId| StoredState {
        participating: true,
        founders: Some(founders.clone()),
        known: founders.clone(),
        ..StoredState::new(StoreGeneration(member.0))
    };
    members.iter().map(|member| (*member, stored(member))).collect()
}
