//! One round of one register: what it found and what it may propose.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::message::GenerationView;
use crate::quorum;
use crate::types::{Ballot, Change, Outcome, RequestId, Value};

/// A change asked for, and whom to answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Job {
    pub request: RequestId,
    pub reply: MemberId,
    pub change: Change,
    pub until: Ms,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Backing off until the bell.
    Waiting,
    Preparing(BTreeMap<MemberId, Promised>),
    Accepting {
        value: Value,
        voices: BTreeMap<MemberId, GenerationView>,
        done: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Promised {
    pub view: GenerationView,
    pub accepted: Option<(Ballot, Value)>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Round {
    pub job: Job,
    pub ballot: Ballot,
    pub tries: u32,
    pub refused: BTreeSet<MemberId>,
    pub bell: Ms,
    pub phase: Phase,
}

/// What a round does after its first phase.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Tell(Outcome),
    /// Write this; `done`: the request's own change.
    Write {
        value: Value,
        done: bool,
    },
}

/// What rules a round; all true but in tests that take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rules {
    pub highest: bool,
    pub memories: bool,
    pub write_back: bool,
    pub once: bool,
}

impl Rules {
    pub fn count<'a>(self, voices: impl Iterator<Item = (MemberId, &'a GenerationView)> + Clone) -> usize {
        if !self.memories {
            return voices.count();
        }
        quorum::agreeing(voices).len()
    }
}

/// After a majority's promises: the change function applied to the highest accepted value.
pub(crate) fn next(
    job: &Job,
    promises: &BTreeMap<MemberId, Promised>,
    majority: usize,
    rules: Rules,
) -> Next {
    let accepted = || promises.values().filter_map(|promised| promised.accepted.as_ref());
    let found = if rules.highest { accepted().max() } else { accepted().min() };
    let settled = found.is_some_and(|(ballot, _)| {
        let same = promises.iter().filter(|(_, p)| p.accepted.as_ref().is_some_and(|(b, _)| b == ballot));
        rules.count(same.map(|(member, promised)| (*member, &promised.view))) >= majority
    });
    let current = found.map(|(_, value)| value.clone());
    let own = rules.once && current.as_ref().is_some_and(|value| value.request == job.request);
    let revision = current.as_ref().map_or(0, |value| value.revision);
    match (&job.change, current) {
        // A retry finds its own change. Symptom without that: it is told to have come too late.
        (Change::Set { .. }, Some(value)) if own => Next::Write { value, done: true },
        (Change::Set { if_revision, body }, _) if *if_revision == revision => {
            let value = Value { revision: revision + 1, request: job.request, body: body.clone() };
            Next::Write { value, done: true }
        }
        // Perhaps a minority alone holds it. Symptom if told unwritten: a later read does not see it.
        (_, Some(value)) if rules.write_back && !settled => Next::Write { value, done: false },
        (_, current) => Next::Tell(Outcome::Current(current)),
    }
}
