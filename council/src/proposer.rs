//! Runs rounds.

use crate::types::Key;

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    rounds: std::collections::BTreeMap<Key, u64>,
}

impl Proposer {
    pub fn busy(&self) -> bool {
        !self.rounds.is_empty()
    }
}
