//! Runs rounds: prepare, accept, tell. One round per key at a time; those that lose back off by chance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

#[cfg(any(test, feature = "sabotage"))]
use crate::effects::Guards;
use crate::effects::{CouncilConfig, Effects};
use crate::message::{GenerationView, Message};
pub use crate::round::Job;
use crate::round::{self, Next, Phase, Promised, Round, Rules};
use crate::types::{Ballot, Change, Key, Outcome, Value, BODY_MOST};
use ottersail_membership::rng::SeededRng;

/// Requests that wait for one key at most.
const QUEUE_MOST: usize = 16;
/// Doublings of the back-off at most.
const DOUBLINGS: u32 = 5;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proposer {
    config: CouncilConfig,
    chance: SeededRng,
    /// The greatest ballot number seen anywhere.
    highest: u64,
    rounds: BTreeMap<Key, Round>,
    queues: BTreeMap<Key, VecDeque<Job>>,
    #[cfg(any(test, feature = "sabotage"))]
    pub(crate) guards: Guards,
}

impl Proposer {
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

    pub fn busy(&self) -> bool {
        !self.rounds.is_empty()
    }

    pub fn next_timer(&self) -> Ms {
        self.rounds.values().map(|round| round.bell).min().unwrap_or(Ms(f64::INFINITY))
    }

    pub fn propose(&mut self, now: Ms, key: Key, job: Job, out: &mut dyn Effects) {
        if matches!(&job.change, Change::Set { body, .. } if body.len() > BODY_MOST) {
            return tell(&job, Outcome::Rejected, out);
        }
        if let Some(round) = self.rounds.get_mut(&key) {
            if round.job.request == job.request {
                round.job.until = job.until;
                return;
            }
            let queue = self.queues.entry(key).or_default();
            if queue.iter().any(|waiting| waiting.request == job.request) {
                return;
            }
            if queue.len() >= QUEUE_MOST {
                return tell(&job, Outcome::Rejected, out);
            }
            return queue.push_back(job);
        }
        self.start(now, key, job, 0, out);
    }

    fn start(&mut self, now: Ms, key: Key, job: Job, tries: u32, out: &mut dyn Effects) {
        self.highest += 1;
        let ballot = Ballot { number: self.highest, proposer: self.config.me, life: self.config.life };
        let (refused, phase) = (BTreeSet::new(), Phase::Preparing(BTreeMap::new()));
        let bell = now + self.config.phase_timeout;
        self.rounds.insert(key, Round { job, ballot, tries, refused, bell, phase });
        self.all(&Message::Prepare { key, ballot }, out);
    }

    fn all(&self, message: &Message, out: &mut dyn Effects) {
        for member in &self.config.councillors {
            out.send(*member, message);
        }
    }

    pub fn on_timer(&mut self, now: Ms, out: &mut dyn Effects) {
        let due: Vec<Key> = self.rounds.iter().filter(|(_, r)| r.bell <= now).map(|(key, _)| *key).collect();
        for key in due {
            let Some(round) = self.rounds.remove(&key) else { continue };
            if round.job.until <= now {
                tell(&round.job, Outcome::Unanswered, out);
                self.following(now, key, out);
            } else if round.phase == Phase::Waiting {
                self.start(now, key, round.job, round.tries, out);
            } else {
                self.rounds.insert(key, round);
                self.back_off(now, key);
            }
        }
    }

    /// By chance, so that two that duel part. Symptom without that: both refuse each other for ever.
    fn back_off(&mut self, now: Ms, key: Key) {
        let part = self.chance.fraction();
        let Some(round) = self.rounds.get_mut(&key) else { return };
        let most = self.config.first_back_off * f64::from(1 << round.tries.min(DOUBLINGS));
        round.tries += 1;
        round.phase = Phase::Waiting;
        round.bell = now + most * part;
    }

    /// The next that waits for that key, if any still does.
    fn following(&mut self, now: Ms, key: Key, out: &mut dyn Effects) {
        while let Some(job) = self.queues.get_mut(&key).and_then(VecDeque::pop_front) {
            if job.until > now {
                return self.start(now, key, job, 0, out);
            }
            tell(&job, Outcome::Unanswered, out);
        }
        self.queues.remove(&key);
    }

    pub fn on_message(&mut self, now: Ms, from: MemberId, message: &Message, out: &mut dyn Effects) {
        match message {
            Message::Promise { key, ballot, accepted, view } => {
                self.promise(now, (from, *key, *ballot), accepted, view, out);
            }
            Message::Accepted { key, ballot, view } => self.accepted(now, (from, *key, *ballot), view, out),
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
        out: &mut dyn Effects,
    ) {
        let (rules, majority, wait) = (self.rules(), self.config.majority(), self.config.phase_timeout);
        let Some(round) = self.round(key, ballot) else { return };
        let Phase::Preparing(promises) = &mut round.phase else { return };
        let held = promises
            .entry(from)
            .or_insert_with(|| Promised { view: view.clone(), accepted: accepted.clone() });
        crate::quorum::hear(&mut held.view, view);
        held.accepted = held.accepted.take().max(accepted.clone());
        let voices = promises.iter().map(|(member, promised)| (*member, &promised.view));
        for (member, known) in crate::quorum::outdated(voices) {
            out.send(member, &Message::Outdated { known });
        }
        if rules.count(promises.iter().map(|(member, promised)| (*member, &promised.view))) < majority {
            return;
        }
        match round::next(&round.job, promises, majority, rules) {
            Next::Tell(outcome) => self.end(now, key, outcome, out),
            Next::Write { value, done } => {
                round.phase = Phase::Accepting { value: value.clone(), voices: BTreeMap::new(), done };
                round.bell = now + wait;
                round.refused.clear();
                self.all(&Message::Accept { key, ballot, value }, out);
            }
        }
    }

    fn accepted(
        &mut self,
        now: Ms,
        (from, key, ballot): (MemberId, Key, Ballot),
        view: &GenerationView,
        out: &mut dyn Effects,
    ) {
        let (rules, majority) = (self.rules(), self.config.majority());
        let Some(round) = self.round(key, ballot) else { return };
        let Phase::Accepting { value, voices, done } = &mut round.phase else { return };
        crate::quorum::hear(voices.entry(from).or_insert_with(|| view.clone()), view);
        if rules.count(voices.iter().map(|(member, view)| (*member, view))) < majority {
            return;
        }
        let (value, done) = (value.clone(), *done);
        let outcome = if done { Outcome::Chosen(value) } else { Outcome::Current(Some(value)) };
        self.end(now, key, outcome, out);
    }

    /// One refusal stops nothing while a majority can still agree.
    fn refused(&mut self, now: Ms, (from, key, ballot): (MemberId, Key, Ballot), promised: Ballot) {
        self.highest = self.highest.max(promised.number);
        let spare = self.config.councillors.len() - self.config.majority();
        let Some(round) = self.round(key, ballot) else { return };
        round.refused.insert(from);
        if round.refused.len() > spare && round.phase != Phase::Waiting {
            self.back_off(now, key);
        }
    }

    fn end(&mut self, now: Ms, key: Key, outcome: Outcome, out: &mut dyn Effects) {
        let Some(round) = self.rounds.remove(&key) else { return };
        if let Outcome::Chosen(value) | Outcome::Current(Some(value)) = &outcome {
            self.all(&Message::Learned { key, value: value.clone() }, out);
        }
        tell(&round.job, outcome, out);
        self.following(now, key, out);
    }

    fn rules(&self) -> Rules {
        #[cfg(any(test, feature = "sabotage"))]
        return Rules {
            highest: self.guards.adopt_highest,
            memories: self.guards.discard_lost_generations,
            write_back: self.guards.write_back,
            once: self.guards.deduplicate_requests,
        };
        #[cfg(not(any(test, feature = "sabotage")))]
        Rules { highest: true, memories: true, write_back: true, once: true }
    }
}

fn tell(job: &Job, outcome: Outcome, out: &mut dyn Effects) {
    out.send(job.reply, &Message::Answer { request: job.request, outcome });
}
