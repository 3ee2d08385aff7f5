//! Messages between councillors and followers. Each fits in 900 bytes when encoded with postcard.

use serde::{Deserialize, Serialize};

use crate::types::{
    Ballot, Change, Key, Outcome, Register, RequestId, StoreGeneration, StoreGenerations, Value,
};

/// An acceptor's own store generation and the generations that it knows of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GenerationView {
    pub generation: StoreGeneration,
    pub known: StoreGenerations,
}

/// A message of the consensus protocol.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Phase 1: asks for a promise.
    Prepare { key: Key, ballot: Ballot },
    /// Answers [`Message::Prepare`] with the value accepted last.
    Promise { key: Key, ballot: Ballot, accepted: Option<(Ballot, Value)>, view: GenerationView },
    /// Phase 2: asks to accept a value.
    Accept { key: Key, ballot: Ballot, value: Value },
    /// Answers [`Message::Accept`].
    Accepted { key: Key, ballot: Ballot, view: GenerationView },
    /// The round cannot proceed at this acceptor: `promised` is a higher promised ballot, or the round's own
    /// ballot if a guard refused the value.
    Refused { key: Key, ballot: Ballot, promised: Ballot },
    /// Announces a chosen value.
    Learned { key: Key, value: Value },
    /// Asks a councillor to run a round on behalf of the sender.
    Propose { request: RequestId, key: Key, change: Change },
    /// The outcome of a [`Message::Propose`].
    Answer { request: RequestId, outcome: Outcome },
    /// The sender does not participate yet and asks for the registers after the key `after`.
    Recover { generation: StoreGeneration, founders: Option<StoreGenerations>, after: Option<Key> },
    /// One page of the registers after the key that the recovering councillor named; `more` if others follow.
    Recovered {
        generation: StoreGeneration,
        after: Option<Key>,
        page: Vec<(Key, Register)>,
        more: bool,
        view: GenerationView,
    },
    /// Tells a councillor that its store was present at the founding and has promised nothing since.
    Founded { founders: StoreGenerations },
    /// The sender knows a later store generation of the receiver than the one that it stated.
    Outdated { known: StoreGeneration },
    /// Asks for values newer than `known_revisions` among the keys after `after` and up to `up_to`.
    Fetch { after: Option<Key>, up_to: Option<Key>, known_revisions: Vec<(Key, u64)> },
    /// Newer values; if `more` is set, the fetch continues after that key.
    Found { values: Vec<(Key, Value)>, more: Option<Key> },
}
