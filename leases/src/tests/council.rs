//! A simple model of the council: one CASPaxos register a bucket (Rystsov 2018), what was promised kept through
//! restarts, one round a bucket at a time at each proposer.

use super::world::{Body, Chance};
use crate::*;
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type Ballot = (u64, usize);
type Value = (u64, Vec<u8>);
/// What is asked of a register: a reading, or a body if it still has that revision.
pub type Change = Option<Value>;

#[derive(Clone, Debug)]
pub enum Round {
    Prepare(BucketId, Ballot),
    Promise(Ballot, Option<(Ballot, Value)>),
    Accept(BucketId, Ballot, Value),
    Accepted(Ballot),
    No(Ballot, Ballot),
}

#[derive(Default)]
struct Register {
    promised: Ballot,
    accepted: Option<(Ballot, Value)>,
    bucket: Option<Bucket>,
}

struct Run {
    asker: usize,
    no: BucketId,
    change: Change,
    since: Ms,
    promises: BTreeMap<usize, Option<(Ballot, Value)>>,
    refusals: BTreeSet<usize>,
    accepted: BTreeSet<usize>,
    value: Option<(Value, Answer)>,
}

pub struct Councillor {
    me: usize,
    of: usize,
    terms: LeaseConfig,
    pub renewals: LeaseGrants,
    registers: BTreeMap<BucketId, Register>,
    ballot: u64,
    runs: BTreeMap<Ballot, Run>,
    waiting: BTreeMap<BucketId, VecDeque<(usize, Change)>>,
    /// Bodies accepted, each one write to a disk.
    pub writes: u64,
}

type Out = Vec<(usize, Body)>;

impl Councillor {
    pub fn new(now: Ms, me: usize, terms: LeaseConfig) -> Councillor {
        let of = terms.councillors.len();
        let renewals = LeaseGrants::new(now, terms.clone());
        let (registers, runs, waiting) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Councillor { me, of, terms, renewals, registers, ballot: 0, runs, waiting, writes: 0 }
    }

    /// LeaseGrants and rounds are forgotten, what was promised is not.
    pub fn restart(&mut self, now: Ms, terms: LeaseConfig) {
        self.renewals = LeaseGrants::new(now, terms);
        self.runs.clear();
        self.waiting.clear();
    }

    pub fn renew(&mut self, now: Ms, from: MemberId, ask: &Renew) -> Renewed {
        let seat = |it: &Register, slot: Slot| it.bucket.as_ref().map(|it| it.entry(slot.index_in_bucket()));
        let accepted = |slot: Slot| self.registers.get(&slot.bucket()).and_then(|it| seat(it, slot));
        self.renewals.renew(now, from, ask, |slot| accepted(slot).unwrap_or_default())
    }

    pub fn ask(&mut self, now: Ms, asker: usize, no: BucketId, change: Change, out: &mut Out) {
        self.waiting.entry(no).or_default().push_back((asker, change));
        self.next(now, no, out);
    }

    fn next(&mut self, now: Ms, no: BucketId, out: &mut Out) {
        self.runs.retain(|_, it| now - it.since < Ms(600.0));
        if self.runs.values().any(|it| it.no == no) {
            return;
        }
        let Some((asker, change)) = self.waiting.entry(no).or_default().pop_front() else { return };
        self.ballot += 1;
        let ballot = (self.ballot, self.me);
        let (promises, refusals, accepted) = Default::default();
        let run = Run { asker, no, change, since: now, promises, refusals, accepted, value: None };
        self.runs.insert(ballot, run);
        out.extend((0..self.of).map(|to| (to, Body::Round(Round::Prepare(no, ballot)))));
    }

    pub fn round(&mut self, now: Ms, from: usize, round: Round, out: &mut Out) {
        let mut say = |it| out.push((from, Body::Round(it)));
        match round {
            Round::Prepare(no, ballot) => {
                let register = self.registers.entry(no).or_default();
                if ballot < register.promised {
                    return say(Round::No(ballot, register.promised));
                }
                register.promised = ballot;
                say(Round::Promise(ballot, register.accepted.clone()));
            }
            Round::Accept(no, ballot, value) => {
                let register = self.registers.entry(no).or_default();
                let before = register.accepted.as_ref().map_or(&[][..], |it| &it.1 .1);
                let allowed = self.renewals.allows_encoded(now, no, before, &value.1);
                if ballot < register.promised || !allowed {
                    return say(Round::No(ballot, register.promised));
                }
                register.bucket = Bucket::decode(no, self.terms.slots_in(no), &value.1).ok();
                (register.promised, register.accepted) = (ballot, Some((ballot, value)));
                self.writes += 1;
                say(Round::Accepted(ballot));
            }
            Round::Promise(ballot, accepted) => self.promised(from, ballot, accepted, out),
            Round::Accepted(ballot) => {
                let Some(run) = self.runs.get_mut(&ballot) else { return };
                run.accepted.insert(from);
                if run.accepted.len() > self.of / 2 {
                    self.end(now, ballot, false, out);
                }
            }
            Round::No(ballot, promised) => {
                self.ballot = self.ballot.max(promised.0);
                let Some(run) = self.runs.get_mut(&ballot) else { return };
                run.refusals.insert(from);
                if run.refusals.len() > (self.of - 1) / 2 {
                    self.end(now, ballot, true, out);
                }
            }
        }
    }

    fn promised(&mut self, from: usize, ballot: Ballot, accepted: Option<(Ballot, Value)>, out: &mut Out) {
        let Some(run) = self.runs.get_mut(&ballot).filter(|it| it.value.is_none()) else { return };
        run.promises.insert(from, accepted);
        if run.promises.len() <= self.of / 2 {
            return;
        }
        let highest = run.promises.values().flatten().max_by_key(|it| it.0);
        let (revision, body) = highest.map(|it| it.1.clone()).unwrap_or_default();
        let chosen = |revision, body| Answer::Chosen { revision, body };
        let (value, answer) = match &run.change {
            Some((expected, to)) if *expected == revision => {
                ((revision + 1, to.clone()), chosen(revision + 1, to.clone()))
            }
            Some(_) => ((revision, body.clone()), Answer::Conflict { revision, body }),
            None => ((revision, body.clone()), chosen(revision, body)),
        };
        run.value = Some((value.clone(), answer));
        let accept = Round::Accept(run.no, ballot, value);
        out.extend((0..self.of).map(|to| (to, Body::Round(accept.clone()))));
    }

    fn end(&mut self, now: Ms, ballot: Ballot, refused: bool, out: &mut Out) {
        let Some(run) = self.runs.remove(&ballot) else { return };
        let answer = run.value.map(|it| it.1).filter(|_| !refused).unwrap_or(Answer::Refused);
        out.push((run.asker, Body::Answer(run.no, answer)));
        self.next(now, run.no, out);
    }
}

/// A clock of its own for each process.
#[derive(Clone, Copy)]
pub struct Clock {
    pub offset: f64,
    pub rate: f64,
}

impl Clock {
    pub fn drawn(chance: &mut Chance, drift: f64) -> Clock {
        let rate = match chance.below(3) {
            0 => 1.0 - drift,
            1 => 1.0 + drift,
            _ => 1.0 + drift * (chance.part() * 2.0 - 1.0),
        };
        Clock { offset: chance.part() * 1e6, rate }
    }

    pub fn local(&self, now: Ms) -> Ms {
        Ms(self.offset + now.0 * self.rate)
    }

    pub fn when(&self, local: Ms) -> Ms {
        Ms((local.0 - self.offset) / self.rate)
    }
}
