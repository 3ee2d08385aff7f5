//! What was told, and what contradicts it.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::*;

/// What was told, and what contradicts it.
#[derive(Default)]
pub struct Judge {
    pub told: BTreeMap<(Key, u64), Value>,
    newest: BTreeMap<Key, u64>,
    pub asked: BTreeMap<(MemberId, u64), (Key, u64)>,
    pub answers: BTreeMap<(MemberId, u64), (Outcome, Ms)>,
    pub wrong: Option<String>,
}

impl Judge {
    pub fn tell(&mut self, key: Key, value: &Value) {
        let first = self.told.entry((key, value.revision)).or_insert_with(|| value.clone());
        if first != value {
            self.wrong = Some(format!("two values at {key:?}: {first:?} and {value:?}"));
        }
        let newest = self.newest.entry(key).or_default();
        *newest = (*newest).max(value.revision);
    }

    pub fn newest(&self, key: Key) -> u64 {
        self.newest.get(&key).copied().unwrap_or(0)
    }

    pub fn answer(&mut self, now: Ms, at: MemberId, number: u64, outcome: &Outcome) {
        let Some(&(key, known)) = self.asked.get(&(at, number)) else { return };
        let revision = match outcome {
            Outcome::Chosen(value) | Outcome::Current(Some(value)) => {
                self.tell(key, value);
                value.revision
            }
            Outcome::Current(None) => 0,
            Outcome::Unanswered | Outcome::Rejected => known,
        };
        if revision < known {
            self.wrong = Some(format!("{key:?} at {known} when asked, answered {outcome:?}"));
        }
        if self.answers.insert((at, number), (outcome.clone(), now)).is_some() {
            self.wrong = Some(format!("answered twice: {at:?} {number}"));
        }
    }
}

/// Collects one call's wishes.
#[derive(Default)]
pub struct Heap {
    pub sent: Vec<(MemberId, Message)>,
    pub keeps: Vec<(Token, Vec<Record>)>,
    pub chosen: Vec<(Key, Value)>,
    pub answers: Vec<(u64, Outcome)>,
}

impl Effects for Heap {
    fn send(&mut self, to: MemberId, message: &Message) {
        self.sent.push((to, message.clone()));
    }
    fn persist(&mut self, token: Token, records: &[Record]) {
        self.keeps.push((token, records.to_vec()));
    }
    fn chosen(&mut self, key: Key, value: &Value) {
        self.chosen.push((key, value.clone()));
    }
    fn answered(&mut self, number: u64, outcome: &Outcome) {
        self.answers.push((number, outcome.clone()));
    }
}

/// Stores as after a founding.
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
