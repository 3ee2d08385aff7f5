//! One round on one register: its state, and what it does after the first phase.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::message::GenerationView;
use crate::quorum;
use crate::types::{Ballot, Change, Outcome, RequestId, Value};

/// A requested change and the member to answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proposal {
    /// Identifies the request across retries.
    pub request: RequestId,
    /// The member to answer.
    pub reply_to: MemberId,
    pub change: Change,
    /// When the councillor gives up on it.
    pub deadline: Ms,
}

/// Where a round stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Backing off until the timer expires.
    Waiting,
    /// Phase 1: collecting promises.
    Preparing(BTreeMap<MemberId, Promised>),
    /// Phase 2: collecting acceptances. `done`: the value is the request's own change.
    Accepting { value: Value, views: BTreeMap<MemberId, GenerationView>, done: bool },
}

/// What one acceptor promised with.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Promised {
    pub view: GenerationView,
    pub accepted: Option<(Ballot, Value)>,
}

/// A round under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Round {
    pub proposal: Proposal,
    pub ballot: Ballot,
    pub failed_attempts: u32,
    /// Acceptors that refused the current phase.
    pub refused: BTreeSet<MemberId>,
    /// When the phase times out or the back-off ends.
    pub timer_at: Ms,
    pub phase: Phase,
}

/// What a round does after its first phase.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Answers the request without a second phase.
    Answer(Outcome),
    /// Runs the second phase with this value. `done`: it is the request's own change.
    Write { value: Value, done: bool },
}

/// The guards that apply to a round. All are true except in tests that remove one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RoundRules {
    pub adopt_highest: bool,
    pub discard_lost_generations: bool,
    pub write_back: bool,
    pub deduplicate_requests: bool,
}

#[cfg(any(test, feature = "sabotage"))]
impl From<crate::guards::Guards> for RoundRules {
    fn from(guards: crate::guards::Guards) -> RoundRules {
        RoundRules {
            adopt_highest: guards.adopt_highest,
            discard_lost_generations: guards.discard_lost_generations,
            write_back: guards.write_back,
            deduplicate_requests: guards.deduplicate_requests,
        }
    }
}

impl RoundRules {
    /// All guards active.
    #[cfg(not(any(test, feature = "sabotage")))]
    pub const ALL: RoundRules = RoundRules {
        adopt_highest: true,
        discard_lost_generations: true,
        write_back: true,
        deduplicate_requests: true,
    };

    /// How many of the views count towards one majority.
    pub fn count<'a>(self, views: impl Iterator<Item = (MemberId, &'a GenerationView)> + Clone) -> usize {
        if !self.discard_lost_generations {
            return views.count();
        }
        quorum::members_with_live_stores(views).len()
    }
}

/// Decides after a majority of promises: applies the change to the accepted value of the highest ballot.
pub(crate) fn decide(
    proposal: &Proposal,
    promises: &BTreeMap<MemberId, Promised>,
    majority: usize,
    rules: RoundRules,
) -> Decision {
    let accepted = || promises.values().filter_map(|promised| promised.accepted.as_ref());
    let found = if rules.adopt_highest { accepted().max() } else { accepted().min() };
    let settled = found.is_some_and(|(ballot, _)| {
        let same = promises.iter().filter(|(_, promise)| {
            promise.accepted.as_ref().is_some_and(|(accepted_ballot, _)| accepted_ballot == ballot)
        });
        rules.count(same.map(|(member, promised)| (*member, &promised.view))) >= majority
    });
    let current = found.map(|(_, value)| value.clone());
    let own =
        rules.deduplicate_requests && current.as_ref().is_some_and(|value| value.request == proposal.request);
    let revision = current.as_ref().map_or(0, |value| value.revision);
    match (&proposal.change, current) {
        // A retry recognizes its own change; otherwise it would be answered as if it had come too late.
        (Change::Set { .. }, Some(value)) if own => Decision::Write { value, done: true },
        (Change::Set { if_revision, body }, _) if *if_revision == revision => {
            let value = Value { revision: revision + 1, request: proposal.request, body: body.clone() };
            Decision::Write { value, done: true }
        }
        // Perhaps only a minority holds the value. If it were reported without being written back, a later read
        // might not see it.
        (_, Some(value)) if rules.write_back && !settled => Decision::Write { value, done: false },
        (_, current) => Decision::Answer(Outcome::Current(current)),
    }
}
