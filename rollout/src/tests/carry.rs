//! Carries out what members wish.

use super::council::*;
use super::world::*;
use crate::*;
use std::collections::BTreeMap;

#[derive(Default)]
struct Out {
    stands: Vec<MemberStatus>,
    asks: Vec<(Key, Change)>,
    notes: Vec<Event>,
}

impl Effects for Out {
    fn propose(&mut self, if_revision: u64, book: &PermitTable) {
        self.asks.push((Key::PermitTable, Change::If(if_revision, book.encode())));
    }
    fn halt(&mut self, if_revision: u64, order: &Order) {
        self.asks.push((Key::Order, Change::If(if_revision, order.encode())));
    }
    fn stand(&mut self, stand: &MemberStatus) {
        self.stands.push(stand.clone());
    }
    fn note(&mut self, note: Event) {
        self.notes.push(note);
    }
}

impl World {
    /// Gives a member an input, and carries out what it wishes.
    pub fn input(&mut self, node: usize, give: impl FnOnce(&mut Node, Ms, &mut dyn Effects)) {
        let (now, mut out) = (self.local(node), Out::default());
        let it = &mut self.nodes[node];
        give(it, now, &mut out);
        let bell =
            it.conductor.as_ref().map_or(Ms(f64::INFINITY), |it| it.bell_at()).min(it.holder.bell_at());
        let bell = Ms((bell.0 - it.offset) / it.rate).max(self.now) + Ms(1e-3);
        let (life, wants) = (it.life, it.holder.wants_out(now));
        if bell < it.bell {
            it.bell = bell;
            self.put(bell, node, node, Body::Bell);
        }
        let at = self.now;
        self.notes.extend(out.notes.into_iter().map(|it| (at, it)));
        for stand in out.stands {
            let body = Body::MemberStatus(life, stand);
            (0..self.councillors).for_each(|to| self.send(node, to, &body));
        }
        for (key, change) in out.asks {
            let says = self.nodes[node].council.as_mut().map(|it| it.ask(now, key, change));
            self.say(node, says.unwrap_or_default());
        }
        if let Some(going) = wants.filter(|_| !self.nodes[node].leaving) {
            self.nodes[node].leaving = true;
            self.after(5.0, 50.0, node, Body::Stopped(life, going));
            self.mishap(node);
        }
    }

    /// At each point between permit and return.
    pub fn mishap(&mut self, node: usize) {
        if self.chance.fraction() < self.ill.killed {
            self.kill(node, true);
        } else if self.chance.fraction() < self.ill.stopped {
            self.nodes[node].paused_until = self.now + Ms(self.chance.fraction() * 12e3);
        }
    }

    pub fn say(&mut self, node: usize, says: Vec<Say>) {
        let accepts = says.iter().any(|it| matches!(it, Say::To(_, Round::Accept(..))));
        let half = accepts && self.chance.fraction() < self.ill.half;
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
            Some(((revision, _), true)) => Outcome::Done { revision },
            Some(((revision, body), false)) => {
                Outcome::Other { revision, book: PermitTable::decode(&body).unwrap_or_default() }
            }
            None => Outcome::Unknown,
        };
        if key == Key::PermitTable {
            self.input(node, |it, now, _| {
                it.conductor.as_mut().into_iter().for_each(|it| it.answered(now, outcome.clone()));
            });
        }
    }
}
