//! A simple model of the council: one CASPaxos register per bucket (Rystsov 2018). Promises survive restarts;
//! each proposer runs one round per bucket at a time.

use super::world::{Body, Rng};
use crate::*;
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type Ballot = (u64, usize);
type Value = (u64, Vec<u8>);
/// A request to a register: a read (`None`), or a new body on condition that the register has this revision.
pub type Change = Option<Value>;

#[derive(Clone, Debug)]
pub enum Round {
    Prepare(BucketId, Ballot),
    Promise(Ballot, Option<(Ballot, Value)>),
    Accept(BucketId, Ballot, Value),
    Accepted(Ballot),
    Refused(Ballot, Ballot),
}

#[derive(Default)]
struct Register {
    promised: Ballot,
    accepted: Option<(Ballot, Value)>,
    bucket: Option<Bucket>,
}

struct Run {
    asker: usize,
    bucket_id: BucketId,
    change: Change,
    since: Ms,
    promises: BTreeMap<usize, Option<(Ballot, Value)>>,
    refusals: BTreeSet<usize>,
    accepted: BTreeSet<usize>,
    value: Option<(Value, Answer)>,
}

pub struct Councillor {
    index: usize,
    councillors: usize,
    config: LeaseConfig,
    pub renewals: LeaseGrants,
    registers: BTreeMap<BucketId, Register>,
    ballot: u64,
    runs: BTreeMap<Ballot, Run>,
    waiting: BTreeMap<BucketId, VecDeque<(usize, Change)>>,
    /// The number of accepted bodies, each of which is a write to disk.
    pub writes: u64,
}

type Outputs = Vec<(usize, Body)>;

impl Councillor {
    pub fn new(now: Ms, index: usize, config: LeaseConfig) -> Councillor {
        let councillors = config.councillors.len();
        let renewals = LeaseGrants::new(now, config.clone());
        let (registers, runs, waiting) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Councillor { index, councillors, config, renewals, registers, ballot: 0, runs, waiting, writes: 0 }
    }

    /// Granted renewals and rounds are forgotten; promises are not.
    pub fn restart(&mut self, now: Ms, config: LeaseConfig) {
        self.renewals = LeaseGrants::new(now, config);
        self.runs.clear();
        self.waiting.clear();
    }

    pub fn renew(&mut self, now: Ms, from: MemberId, request: &Renew) -> Renewed {
        let entry = |register: &Register, slot: Slot| {
            register.bucket.as_ref().map(|bucket| bucket.entry(slot.index_in_bucket()))
        };
        let accepted =
            |slot: Slot| self.registers.get(&slot.bucket()).and_then(|register| entry(register, slot));
        self.renewals.renew(now, from, request, |slot| accepted(slot).unwrap_or_default())
    }

    pub fn ask(&mut self, now: Ms, asker: usize, bucket_id: BucketId, change: Change, outputs: &mut Outputs) {
        self.waiting.entry(bucket_id).or_default().push_back((asker, change));
        self.next(now, bucket_id, outputs);
    }

    fn next(&mut self, now: Ms, bucket_id: BucketId, outputs: &mut Outputs) {
        self.runs.retain(|_, run| now - run.since < Ms(600.0));
        if self.runs.values().any(|run| run.bucket_id == bucket_id) {
            return;
        }
        let Some((asker, change)) = self.waiting.entry(bucket_id).or_default().pop_front() else { return };
        self.ballot += 1;
        let ballot = (self.ballot, self.index);
        let (promises, refusals, accepted) = Default::default();
        let run = Run { asker, bucket_id, change, since: now, promises, refusals, accepted, value: None };
        self.runs.insert(ballot, run);
        outputs.extend((0..self.councillors).map(|to| (to, Body::Round(Round::Prepare(bucket_id, ballot)))));
    }

    pub fn round(&mut self, now: Ms, from: usize, round: Round, outputs: &mut Outputs) {
        let mut reply = |round| outputs.push((from, Body::Round(round)));
        match round {
            Round::Prepare(bucket_id, ballot) => {
                let register = self.registers.entry(bucket_id).or_default();
                if ballot < register.promised {
                    return reply(Round::Refused(ballot, register.promised));
                }
                register.promised = ballot;
                reply(Round::Promise(ballot, register.accepted.clone()));
            }
            Round::Accept(bucket_id, ballot, value) => {
                let register = self.registers.entry(bucket_id).or_default();
                let before = register.accepted.as_ref().map_or(&[][..], |(_, value)| &value.1);
                let allowed = self.renewals.allows_encoded(now, bucket_id, before, &value.1);
                if ballot < register.promised || !allowed {
                    return reply(Round::Refused(ballot, register.promised));
                }
                register.bucket = Bucket::decode(bucket_id, self.config.slots_in(bucket_id), &value.1).ok();
                (register.promised, register.accepted) = (ballot, Some((ballot, value)));
                self.writes += 1;
                reply(Round::Accepted(ballot));
            }
            Round::Promise(ballot, accepted) => self.promised(from, ballot, accepted, outputs),
            Round::Accepted(ballot) => {
                let Some(run) = self.runs.get_mut(&ballot) else { return };
                run.accepted.insert(from);
                if run.accepted.len() > self.councillors / 2 {
                    self.end(now, ballot, false, outputs);
                }
            }
            Round::Refused(ballot, promised) => {
                self.ballot = self.ballot.max(promised.0);
                let Some(run) = self.runs.get_mut(&ballot) else { return };
                run.refusals.insert(from);
                if run.refusals.len() > (self.councillors - 1) / 2 {
                    self.end(now, ballot, true, outputs);
                }
            }
        }
    }

    fn promised(
        &mut self,
        from: usize,
        ballot: Ballot,
        accepted: Option<(Ballot, Value)>,
        outputs: &mut Outputs,
    ) {
        let Some(run) = self.runs.get_mut(&ballot).filter(|run| run.value.is_none()) else { return };
        run.promises.insert(from, accepted);
        if run.promises.len() <= self.councillors / 2 {
            return;
        }
        let highest = run.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let (revision, body) = highest.map(|(_, value)| value.clone()).unwrap_or_default();
        let chosen = |revision, body| Answer::Chosen { revision, body };
        let (value, answer) = match &run.change {
            Some((expected, to)) if *expected == revision => {
                ((revision + 1, to.clone()), chosen(revision + 1, to.clone()))
            }
            Some(_) => ((revision, body.clone()), Answer::Conflict { revision, body }),
            None => ((revision, body.clone()), chosen(revision, body)),
        };
        run.value = Some((value.clone(), answer));
        let accept = Round::Accept(run.bucket_id, ballot, value);
        outputs.extend((0..self.councillors).map(|to| (to, Body::Round(accept.clone()))));
    }

    fn end(&mut self, now: Ms, ballot: Ballot, refused: bool, outputs: &mut Outputs) {
        let Some(run) = self.runs.remove(&ballot) else { return };
        let answer = run.value.map(|(_, answer)| answer).filter(|_| !refused).unwrap_or(Answer::Refused);
        outputs.push((run.asker, Body::Answer(run.bucket_id, answer)));
        self.next(now, run.bucket_id, outputs);
    }
}

/// The clock of one process.
#[derive(Clone, Copy)]
pub struct Clock {
    pub offset: f64,
    pub rate: f64,
}

impl Clock {
    pub fn random(rng: &mut Rng, drift: f64) -> Clock {
        let rate = match rng.below(3) {
            0 => 1.0 - drift,
            1 => 1.0 + drift,
            _ => 1.0 + drift * (rng.fraction() * 2.0 - 1.0),
        };
        Clock { offset: rng.fraction() * 1e6, rate }
    }

    pub fn local(&self, now: Ms) -> Ms {
        Ms(self.offset + now.0 * self.rate)
    }

    pub fn when(&self, local: Ms) -> Ms {
        Ms((local.0 - self.offset) / self.rate)
    }
}
