//! What councillors and followers say to each other; each fits in 900 bytes of postcard.

use serde::{Deserialize, Serialize};

use crate::types::{
    Ballot, Change, Key, Outcome, Register, RequestId, StoreGeneration, StoreGenerations, Value,
};

/// The memory an acceptor speaks from, and those it knows of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GenerationView {
    pub generation: StoreGeneration,
    pub known: StoreGenerations,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    Prepare {
        key: Key,
        ballot: Ballot,
    },
    Promise {
        key: Key,
        ballot: Ballot,
        accepted: Option<(Ballot, Value)>,
        view: GenerationView,
    },
    Accept {
        key: Key,
        ballot: Ballot,
        value: Value,
    },
    Accepted {
        key: Key,
        ballot: Ballot,
        view: GenerationView,
    },
    /// That round can't go on here; `promised` is what stands in its way (its own ballot: a guard does).
    Refused {
        key: Key,
        ballot: Ballot,
        promised: Ballot,
    },
    /// That value is chosen.
    Learned {
        key: Key,
        value: Value,
    },
    /// Run a round for me.
    Propose {
        request: RequestId,
        key: Key,
        change: Change,
    },
    Answer {
        request: RequestId,
        outcome: Outcome,
    },
    /// I stand on this memory and don't take part yet; what have you from that key on?
    Recover {
        generation: StoreGeneration,
        founders: Option<StoreGenerations>,
        after: Option<Key>,
    },
    /// To one that recovers with `memory`: what I hold after the key it named, and where it goes on.
    Recovered {
        generation: StoreGeneration,
        after: Option<Key>,
        page: Vec<(Key, Register)>,
        more: bool,
        view: GenerationView,
    },
    /// You were there at the founding and have promised nothing since.
    Founded {
        founders: StoreGenerations,
    },
    /// I know a later memory of yours than the one you speak of.
    Outdated {
        known: StoreGeneration,
    },
    /// What is newer with you than this, in the keys after the first up to the second?
    Fetch {
        after: Option<Key>,
        up_to: Option<Key>,
        known_revisions: Vec<(Key, u64)>,
    },
    /// These are newer; go on after that key if there are more.
    Found {
        values: Vec<(Key, Value)>,
        more: Option<Key>,
    },
}
