//! The life of one simulated member: what it learns, how it leaves and returns, and what its roster says.

use super::checker::Truth;
use super::council::{Key, Value};
use super::simulation::*;
use crate::*;
use std::collections::BTreeMap;

impl Simulation {
    pub fn learn(&mut self, node: usize, key: Key, value: Value) {
        if self.nodes[node].known.get(&key).is_some_and(|it| it.0 >= value.0) {
            return;
        }
        self.nodes[node].known.insert(key, value.clone());
        self.input(node, |it, now, _| it.tell(now, key, &value));
    }

    /// Confirms the permit with a fresh clock: the member leaves, or takes viewings again.
    pub fn stopped(&mut self, node: usize, permit_in_use: &UsablePermit) {
        self.nodes[node].leaving = false;
        let now = self.local(node);
        if !self.nodes[node].holder.confirm_leaving(now, permit_in_use) {
            return self.input(node, |_, _, _| {});
        }
        self.input(node, |it, now, _| it.holder.set_ready(now, false));
        self.nodes[node].ready = false;
        self.look(Some(node));
        self.kill(node, false);
        self.after(300.0, 1.5e3, node, Body::Start(permit_in_use.version.clone()));
        self.mishap(node);
    }

    /// Lets the checker inspect the fleet; `goes` is a member that leaves by order.
    pub fn look(&mut self, goes: Option<usize>) {
        let serves = |it: &Node| it.up && it.ready && it.paused_until <= self.now;
        let serves: Vec<bool> = self.nodes.iter().map(serves).collect();
        let truth = Truth { now: self.now, serves: &serves, councillors: self.councillors, cut: &self.cut };
        self.checker.look(&truth);
        goes.into_iter().for_each(|it| self.checker.goes(it, &truth));
    }

    /// Kills a member. After an accident its supervisor starts the same version again.
    pub fn kill(&mut self, node: usize, accident: bool) {
        self.look(None);
        let (version, up) = (self.nodes[node].version.clone(), self.nodes[node].up);
        let it = &mut self.nodes[node];
        (it.up, it.ready, it.leaving) = (false, false, false);
        if accident && up {
            self.after(300.0, 9e3, node, Body::Start(version));
        }
    }

    pub fn begin(&mut self, node: usize, version: Name) {
        if self.nodes[node].up {
            return;
        }
        let (now, guards, count) = (self.local(node), self.guards, self.councillors);
        let all: Vec<MemberId> = (0..count).map(id).collect();
        let it = &mut self.nodes[node];
        (it.life, it.up, it.started, it.timer_at) =
            (InstanceId(it.life.0 + 1), true, self.now, Ms(f64::INFINITY));
        (it.version, it.known) = (version.clone(), BTreeMap::new());
        it.holder = PermitHolder::with_guards(now, (id(node), it.life), version.clone(), PERIOD, guards);
        if let Some(council) = &mut it.council {
            council.restart();
            let mut coordinator = Coordinator::with_guards(now, id(node), &all, PERIOD, guards);
            if let Some((revision, table)) =
                council.registers.get(&Key::PermitTable).and_then(|it| it.accepted.clone()).map(|it| it.1)
            {
                coordinator.on_accepted(now, revision, &PermitTable::decode(&table).unwrap_or_default());
            }
            it.coordinator = Some(coordinator);
        }
        let life = it.life;
        if self.bad.as_ref() != Some(&version) {
            self.after(self.start.0, self.start.1, node, Body::Ready(life));
        }
        self.mishap(node);
    }

    /// Twice a second: sends chosen values to a random member, and updates a councillor's roster.
    pub fn tick(&mut self, node: usize) {
        self.put(self.now + Ms(500.0), node, node, Body::Tick);
        if !self.nodes[node].up {
            return;
        }
        let (other, news) = (self.chance.below(self.nodes.len()), Body::News(self.nodes[node].known.clone()));
        self.send(node, other, &news);
        if node >= self.councillors {
            return;
        }
        let mut living = BTreeMap::new();
        for other in 0..self.nodes.len() {
            let (it, via) = (&self.nodes[other], self.chance.below(self.nodes.len()));
            let way = |a: usize, b: usize| a == b || !self.cut.contains(&(a, b));
            let hears = way(other, node) || way(other, via) && way(via, node);
            let (life, last) = self.nodes[node].heard[other];
            // News of a new life take a while; that it is suspected by error happens.
            let known = it.life == life || self.now - it.started > Ms(2e3 * self.chance.fraction());
            let last = if it.up && it.paused_until <= self.now && hears && known { self.now } else { last };
            let life = if last == self.now { it.life } else { life };
            let error = self.chance.fraction() < self.faults.loss * 0.01;
            self.nodes[node].heard[other] = (life, last);
            let state = if self.now - last < Ms(3e3) && !error { Presence::Alive } else { Presence::Suspect };
            if self.now - last < Ms(6e3) {
                let seen = RosterEntry {
                    life,
                    name: name(&format!("m{other}")),
                    zone: Some(zone(other)),
                    presence: state,
                };
                living.insert(id(other), seen);
            }
        }
        let first = living.keys().next() == Some(&id(node));
        self.input(node, |it, now, _| {
            let Some(coordinator) = &mut it.coordinator else { return };
            coordinator.set_roster(now, &living);
            coordinator.set_active(now, first);
        });
    }
}

impl Node {
    fn tell(&mut self, now: Ms, key: Key, (revision, body): &Value) {
        match key {
            Key::Order => {
                let order = Order::decode(body).unwrap();
                self.holder.on_order(now, *revision, &order);
                self.coordinator.as_mut().into_iter().for_each(|it| it.on_order(now, *revision, &order));
            }
            Key::PermitTable => {
                let table = PermitTable::decode(body).unwrap();
                self.holder.on_permits(now, *revision, &table);
                self.coordinator.as_mut().into_iter().for_each(|it| it.on_permits(now, *revision, &table));
            }
        }
    }
}
