//! Carries out the effects of simulated members.

use super::council::*;
use super::simulation::*;
use crate::*;
use std::collections::BTreeMap;

#[derive(Default)]
struct CollectedEffects {
    statuses: Vec<MemberStatus>,
    asks: Vec<(Key, Change)>,
    events: Vec<Event>,
}

impl Effects for CollectedEffects {
    fn propose(&mut self, if_revision: u64, table: &PermitTable) {
        self.asks.push((Key::PermitTable, Change::If(if_revision, table.encode())));
    }
    fn halt(&mut self, if_revision: u64, order: &Order) {
        self.asks.push((Key::Order, Change::If(if_revision, order.encode())));
    }
    fn send_status(&mut self, status: &MemberStatus) {
        self.statuses.push(status.clone());
    }
    fn report(&mut self, event: Event) {
        self.events.push(event);
    }
}

impl Simulation {
    /// Gives a member an input and carries out its effects.
    pub fn input(&mut self, node: usize, give: impl FnOnce(&mut Node, Ms, &mut dyn Effects)) {
        let (now, mut out) = (self.local(node), CollectedEffects::default());
        let it = &mut self.nodes[node];
        give(it, now, &mut out);
        let timer_at = it
            .coordinator
            .as_ref()
            .map_or(Ms(f64::INFINITY), |it| it.next_timer())
            .min(it.holder.next_timer());
        let timer_at = Ms((timer_at.0 - it.offset) / it.rate).max(self.now) + Ms(1e-3);
        let (life, wants) = (it.life, it.holder.usable_permit(now));
        if timer_at < it.timer_at {
            it.timer_at = timer_at;
            self.put(timer_at, node, node, Body::Timer);
        }
        let at = self.now;
        self.events.extend(out.events.into_iter().map(|it| (at, it)));
        for status in out.statuses {
            let body = Body::MemberStatus(life, status);
            (0..self.councillors).for_each(|to| self.send(node, to, &body));
        }
        for (key, change) in out.asks {
            let says = self.nodes[node].council.as_mut().map(|it| it.ask(now, key, change));
            self.say(node, says.unwrap_or_default());
        }
        if let Some(permit_in_use) = wants.filter(|_| !self.nodes[node].leaving) {
            self.nodes[node].leaving = true;
            self.after(5.0, 50.0, node, Body::Stopped(life, permit_in_use));
            self.mishap(node);
        }
    }

    /// A random fault at one of the points between permit and return.
    pub fn mishap(&mut self, node: usize) {
        if self.chance.fraction() < self.faults.killed {
            self.kill(node, true);
        } else if self.chance.fraction() < self.faults.stopped {
            self.nodes[node].paused_until = self.now + Ms(self.chance.fraction() * 12e3);
        }
    }

    pub fn say(&mut self, node: usize, says: Vec<Say>) {
        let accepts = says.iter().any(|it| matches!(it, Say::To(_, Round::Accept(..))));
        let half = accepts && self.chance.fraction() < self.faults.half;
        let only = self.chance.below(self.councillors);
        if half {
            self.nodes[node].paused_until = self.now + Ms(10e3);
        }
        for it in says {
            match it {
                Say::To(to, Round::Accept(..)) if half && to != only => {}
                Say::To(to, round) => self.send(node, to, &Body::Round(round)),
                Say::Ended(key, value) => self.ended(node, key, value),
            }
        }
    }

    fn ended(&mut self, node: usize, key: Key, value: Option<(Value, bool)>) {
        if let Some((value, _)) = value.clone().filter(|it| it.0 .0 > 0) {
            let news = Body::News(BTreeMap::from([(key, value)]));
            (0..self.nodes.len()).for_each(|to| self.send(node, to, &news));
        }
        let outcome = match value {
            Some(((revision, _), true)) => Outcome::Chosen { revision },
            Some(((revision, body), false)) => {
                Outcome::Superseded { revision, permits: PermitTable::decode(&body).unwrap_or_default() }
            }
            None => Outcome::Unknown,
        };
        if key == Key::PermitTable {
            self.input(node, |it, now, _| {
                it.coordinator.as_mut().into_iter().for_each(|it| it.on_answer(now, outcome.clone()));
            });
        }
    }
}
