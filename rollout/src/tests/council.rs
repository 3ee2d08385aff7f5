//! A simple model of the council: two CASPaxos registers (Rystsov 2018) whose promises survive restarts. Each acceptor
//! consults the guard of its own coordinator.

use crate::*;
use std::collections::{BTreeMap, BTreeSet};

pub type Ballot = (u64, usize);
pub type Value = (u64, Vec<u8>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Order,
    PermitTable,
}

#[derive(Clone, Debug)]
pub enum Change {
    /// Sets that body if the register is at that revision.
    If(u64, Vec<u8>),
    /// Sets the order of an operator's file if it may replace the one in force.
    File(Order),
}

#[derive(Clone, Debug)]
pub enum Round {
    Prepare(Key, Ballot),
    Promise(Ballot, Option<(Ballot, Value)>),
    Accept(Key, Ballot, Value),
    Accepted(Ballot),
    No(Ballot, Ballot),
}

#[derive(Clone, Default)]
pub struct Register {
    promised: Ballot,
    pub accepted: Option<(Ballot, Value)>,
}

struct Run {
    key: Key,
    change: Change,
    since: Ms,
    promises: BTreeMap<usize, Option<(Ballot, Value)>>,
    refusals: BTreeSet<usize>,
    accepted: BTreeSet<usize>,
    value: Option<(Value, bool)>,
}

/// An output of a councillor: a message to another one, or an outcome for its own conductor, or what is chosen.
pub enum Say {
    To(usize, Round),
    Ended(Key, Option<(Value, bool)>),
}

pub struct Councillor {
    me: usize,
    of: usize,
    pub registers: BTreeMap<Key, Register>,
    ballot: u64,
    runs: BTreeMap<Ballot, Run>,
}

impl Councillor {
    pub fn new(me: usize, of: usize) -> Councillor {
        Councillor { me, of, registers: BTreeMap::new(), ballot: 0, runs: BTreeMap::new() }
    }

    pub fn restart(&mut self) {
        self.runs.clear();
    }

    fn body(&self, key: Key) -> Option<&Value> {
        self.registers.get(&key)?.accepted.as_ref().map(|it| &it.1)
    }

    fn allows(&self, now: Ms, coordinator: &Coordinator, key: Key, to: &[u8], guards: Guards) -> bool {
        let order = self.body(Key::Order).and_then(|it| Some((it.0, Order::decode(&it.1)?)));
        match key {
            Key::Order => Order::decode(to)
                .is_some_and(|it| may_replace(order.as_ref().map(|it| &it.1), &it, guards).is_ok()),
            Key::PermitTable => {
                let order = order.as_ref().map(|it| (it.0, &it.1));
                let from = self.body(Key::PermitTable).and_then(|it| PermitTable::decode(&it.1));
                let allows = |to: PermitTable| coordinator.allows(now, order, from.as_ref(), &to).is_ok();
                PermitTable::decode(to).is_some_and(allows)
            }
        }
    }

    pub fn ask(&mut self, now: Ms, key: Key, change: Change) -> Vec<Say> {
        self.runs.retain(|_, it| now - it.since < Ms(3e3));
        self.ballot += 1;
        let ballot = (self.ballot, self.me);
        let (promises, refusals, accepted) = Default::default();
        let run = Run { key, change, since: now, promises, refusals, accepted, value: None };
        self.runs.insert(ballot, run);
        (0..self.of).map(|to| Say::To(to, Round::Prepare(key, ballot))).collect()
    }

    pub fn round(
        &mut self,
        now: Ms,
        from: usize,
        round: Round,
        coordinator: &Coordinator,
        guards: Guards,
    ) -> Vec<Say> {
        match round {
            Round::Prepare(key, ballot) => {
                let register = self.registers.entry(key).or_default();
                if ballot < register.promised {
                    return vec![Say::To(from, Round::No(ballot, register.promised))];
                }
                register.promised = ballot;
                vec![Say::To(from, Round::Promise(ballot, register.accepted.clone()))]
            }
            Round::Accept(key, ballot, value) => {
                let promised = self.registers.entry(key).or_default().promised;
                // A read of an empty register writes it back empty.
                let allowed = value.0 == 0 || self.allows(now, coordinator, key, &value.1, guards);
                if ballot < promised || !allowed {
                    return vec![Say::To(from, Round::No(ballot, promised))];
                }
                let accepted = (value.0 > 0).then_some((ballot, value));
                self.registers.insert(key, Register { promised: ballot, accepted });
                vec![Say::To(from, Round::Accepted(ballot))]
            }
            Round::Promise(ballot, accepted) => self.promised(from, ballot, accepted, guards),
            Round::Accepted(ballot) => {
                let Some(run) = self.runs.get_mut(&ballot) else { return vec![] };
                run.accepted.insert(from);
                if run.accepted.len() > self.of / 2 {
                    self.end(ballot, true)
                } else {
                    vec![]
                }
            }
            Round::No(ballot, promised) => {
                self.ballot = self.ballot.max(promised.0);
                let Some(run) = self.runs.get_mut(&ballot) else { return vec![] };
                run.refusals.insert(from);
                if run.refusals.len() > (self.of - 1) / 2 {
                    self.end(ballot, false)
                } else {
                    vec![]
                }
            }
        }
    }

    fn promised(
        &mut self,
        from: usize,
        ballot: Ballot,
        accepted: Option<(Ballot, Value)>,
        guards: Guards,
    ) -> Vec<Say> {
        let Some(run) = self.runs.get_mut(&ballot).filter(|it| it.value.is_none()) else { return vec![] };
        run.promises.insert(from, accepted);
        if run.promises.len() <= self.of / 2 {
            return vec![];
        }
        let highest = run.promises.values().flatten().max_by_key(|it| it.0);
        let stands: Value = highest.map(|it| it.1.clone()).unwrap_or_default();
        let (done, body) = match &run.change {
            Change::If(expected, body) => (*expected == stands.0, body.clone()),
            Change::File(order) => {
                (may_replace(Order::decode(&stands.1).as_ref(), order, guards).is_ok(), order.encode())
            }
        };
        let value = if done && body != stands.1 { (stands.0 + 1, body) } else { stands };
        run.value = Some((value.clone(), done));
        let accept = Round::Accept(run.key, ballot, value);
        (0..self.of).map(|to| Say::To(to, accept.clone())).collect()
    }

    fn end(&mut self, ballot: Ballot, chosen: bool) -> Vec<Say> {
        let Some(run) = self.runs.remove(&ballot) else { return vec![] };
        vec![Say::Ended(run.key, run.value.filter(|_| chosen))]
    }
}
