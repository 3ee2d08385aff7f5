//! Runs rounds: prepare, accept, announce. Each key has one round at a time; a round that loses against another
//! proposer backs off for a random time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::config::CouncilConfig;
use crate::effects::Effects;
#[cfg(any(test, feature = "sabotage"))]
use crate::guards::Guards;
use crate::message::{GenerationView, Message};
pub use crate::round::Proposal;
use crate::round::{self, Decision, Phase, Promised, Round, RoundRules};
use crate::types::{Ballot, Change, Key, Outcome, Value, MAX_BODY_BYTES};
use ottersail_membership::rng::SeededRng;

/// Maximum number of requests that wait for one key.
const MAX_QUEUED_PER_KEY: usize = 16;
/// Maximum number of doublings of the back-off.
const MAX_BACK_OFF_DOUBLINGS: u32 = 5;

/// The proposer role of a councillor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proposer {
    config: CouncilConfig,
    chance: SeededRng,
    /// The greatest ballot number seen anywhere.
    highest: u64,
    rounds: BTreeMap<Key, Round>,
    queues: BTreeMap<Key, VecDeque<Proposal>>,
    #[cfg(any(test, feature = "sabotage"))]
    pub(crate) guards: Guards,
}

impl Proposer {
    /// A proposer without rounds.
    pub fn new(config: CouncilConfig) -> Proposer {
        Proposer {
            chance: SeededRng::new(config.seed),
            config,
            highest: 0,
            rounds: BTreeMap::new(),
            queues: BTreeMap::new(),
            #[cfg(any(test, feature = "sabotage"))]
            guards: Guards::ALL,
        }
    }

    /// Whether a round is under way.
    pub fn has_rounds(&self) -> bool {
        !self.rounds.is_empty()
    }

    /// When [`Proposer::on_timer`] is due.
    pub fn next_timer(&self) -> Ms {
        self.rounds.values().map(|round| round.timer_at).min().unwrap_or(Ms(f64::INFINITY))
    }

    /// Starts a round for the proposal, or queues it behind the key's current round. A retry of the current
    /// request extends its deadline.
    pub fn propose(&mut self, now: Ms, key: Key, proposal: Proposal, effects: &mut dyn Effects) {
        if matches!(&proposal.change, Change::Set { body, .. } if body.len() > MAX_BODY_BYTES) {
            return send_answer(&proposal, Outcome::Rejected, effects);
        }
        if let Some(round) = self.rounds.get_mut(&key) {
            if round.proposal.request == proposal.request {
                round.proposal.deadline = proposal.deadline;
                return;
            }
            let queue = self.queues.entry(key).or_default();
            if queue.iter().any(|waiting| waiting.request == proposal.request) {
                return;
            }
            if queue.len() >= MAX_QUEUED_PER_KEY {
                return send_answer(&proposal, Outcome::Rejected, effects);
            }
            return queue.push_back(proposal);
        }
        self.start(now, key, proposal, 0, effects);
    }

    fn start(
        &mut self,
        now: Ms,
        key: Key,
        proposal: Proposal,
        failed_attempts: u32,
        effects: &mut dyn Effects,
    ) {
        self.highest += 1;
        let ballot = Ballot { number: self.highest, proposer: self.config.own_id, life: self.config.life };
        let (refused, phase) = (BTreeSet::new(), Phase::Preparing(BTreeMap::new()));
        let timer_at = now + self.config.phase_timeout;
        self.rounds.insert(key, Round { proposal, ballot, failed_attempts, refused, timer_at, phase });
        self.broadcast(&Message::Prepare { key, ballot }, effects);
    }

    fn broadcast(&self, message: &Message, effects: &mut dyn Effects) {
        for member in &self.config.councillors {
            effects.send(*member, message);
        }
    }

    /// Handles expired phases, back-offs and deadlines.
    pub fn on_timer(&mut self, now: Ms, effects: &mut dyn Effects) {
        let due_keys: Vec<Key> =
            self.rounds.iter().filter(|(_, round)| round.timer_at <= now).map(|(key, _)| *key).collect();
        for key in due_keys {
            let Some(round) = self.rounds.remove(&key) else { continue };
            if round.proposal.deadline <= now {
                send_answer(&round.proposal, Outcome::Unanswered, effects);
                self.start_next_queued(now, key, effects);
            } else if round.phase == Phase::Waiting {
                self.start(now, key, round.proposal, round.failed_attempts, effects);
            } else {
                self.rounds.insert(key, round);
                self.back_off(now, key);
            }
        }
    }

    /// Waits for a random time; otherwise two competing proposers could refuse each other for ever.
    fn back_off(&mut self, now: Ms, key: Key) {
        let fraction = self.chance.fraction();
        let Some(round) = self.rounds.get_mut(&key) else { return };
        let max_delay =
            self.config.first_back_off * f64::from(1 << round.failed_attempts.min(MAX_BACK_OFF_DOUBLINGS));
        round.failed_attempts += 1;
        round.phase = Phase::Waiting;
        round.timer_at = now + max_delay * fraction;
    }

    /// Starts the next queued proposal of that key that has not reached its deadline.
    fn start_next_queued(&mut self, now: Ms, key: Key, effects: &mut dyn Effects) {
        while let Some(proposal) = self.queues.get_mut(&key).and_then(VecDeque::pop_front) {
            if proposal.deadline > now {
                return self.start(now, key, proposal, 0, effects);
            }
            send_answer(&proposal, Outcome::Unanswered, effects);
        }
        self.queues.remove(&key);
    }

    /// Handles the acceptors' replies.
    pub fn on_message(&mut self, now: Ms, from: MemberId, message: &Message, effects: &mut dyn Effects) {
        match message {
            Message::Promise { key, ballot, accepted, view } => {
                self.promise(now, (from, *key, *ballot), accepted, view, effects);
            }
            Message::Accepted { key, ballot, view } => {
                self.accepted(now, (from, *key, *ballot), view, effects)
            }
            Message::Refused { key, ballot, promised } => self.refused(now, (from, *key, *ballot), *promised),
            _ => {}
        }
    }

    fn round(&mut self, key: Key, ballot: Ballot) -> Option<&mut Round> {
        self.rounds.get_mut(&key).filter(|round| round.ballot == ballot)
    }

    fn promise(
        &mut self,
        now: Ms,
        (from, key, ballot): (MemberId, Key, Ballot),
        accepted: &Option<(Ballot, Value)>,
        view: &GenerationView,
        effects: &mut dyn Effects,
    ) {
        let (rules, majority, phase_timeout) =
            (self.rules(), self.config.majority(), self.config.phase_timeout);
        let Some(round) = self.round(key, ballot) else { return };
        let Phase::Preparing(promises) = &mut round.phase else { return };
        let promise = promises
            .entry(from)
            .or_insert_with(|| Promised { view: view.clone(), accepted: accepted.clone() });
        crate::quorum::merge_view(&mut promise.view, view);
        promise.accepted = promise.accepted.take().max(accepted.clone());
        let views = promises.iter().map(|(member, promised)| (*member, &promised.view));
        for (member, known) in crate::quorum::outdated(views) {
            effects.send(member, &Message::Outdated { known });
        }
        if rules.count(promises.iter().map(|(member, promised)| (*member, &promised.view))) < majority {
            return;
        }
        match round::decide(&round.proposal, promises, majority, rules) {
            Decision::Answer(outcome) => self.finish_round(now, key, outcome, effects),
            Decision::Write { value, done } => {
                round.phase = Phase::Accepting { value: value.clone(), views: BTreeMap::new(), done };
                round.timer_at = now + phase_timeout;
                round.refused.clear();
                self.broadcast(&Message::Accept { key, ballot, value }, effects);
            }
        }
    }

    fn accepted(
        &mut self,
        now: Ms,
        (from, key, ballot): (MemberId, Key, Ballot),
        view: &GenerationView,
        effects: &mut dyn Effects,
    ) {
        let (rules, majority) = (self.rules(), self.config.majority());
        let Some(round) = self.round(key, ballot) else { return };
        let Phase::Accepting { value, views, done } = &mut round.phase else { return };
        crate::quorum::merge_view(views.entry(from).or_insert_with(|| view.clone()), view);
        if rules.count(views.iter().map(|(member, view)| (*member, view))) < majority {
            return;
        }
        let (value, done) = (value.clone(), *done);
        let outcome = if done { Outcome::Chosen(value) } else { Outcome::Current(Some(value)) };
        self.finish_round(now, key, outcome, effects);
    }

    /// A round is abandoned only once the refusals leave no majority.
    fn refused(&mut self, now: Ms, (from, key, ballot): (MemberId, Key, Ballot), promised: Ballot) {
        self.highest = self.highest.max(promised.number);
        let tolerated_refusals = self.config.councillors.len() - self.config.majority();
        let Some(round) = self.round(key, ballot) else { return };
        round.refused.insert(from);
        if round.refused.len() > tolerated_refusals && round.phase != Phase::Waiting {
            self.back_off(now, key);
        }
    }

    fn finish_round(&mut self, now: Ms, key: Key, outcome: Outcome, effects: &mut dyn Effects) {
        let Some(round) = self.rounds.remove(&key) else { return };
        if let Outcome::Chosen(value) | Outcome::Current(Some(value)) = &outcome {
            self.broadcast(&Message::Learned { key, value: value.clone() }, effects);
        }
        send_answer(&round.proposal, outcome, effects);
        self.start_next_queued(now, key, effects);
    }

    fn rules(&self) -> RoundRules {
        #[cfg(any(test, feature = "sabotage"))]
        return RoundRules::from(self.guards);
        #[cfg(not(any(test, feature = "sabotage")))]
        RoundRules::ALL
    }
}

fn send_answer(proposal: &Proposal, outcome: Outcome, effects: &mut dyn Effects) {
    effects.send(proposal.reply_to, &Message::Answer { request: proposal.request, outcome });
}
