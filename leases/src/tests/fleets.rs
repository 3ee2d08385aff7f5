//! Whole fleets with slot balancers: how soon all members hold slots, how shares follow the demand, and how
//! leases expire and come back.

use super::config;
use super::world::{id, World};
use crate::*;
use ottersail::time::Ms;
use std::collections::BTreeMap;
use test_case::test_case;

/// Interval at which members report their demand. Others see it one interval later.
const REPORT_INTERVAL: Ms = Ms(1e3);

struct Fleet {
    world: World,
    /// Mean arrivals per second at each member.
    arrivals: Vec<f64>,
    demands: Vec<(MemberId, Demand)>,
}

impl Fleet {
    fn new(members: usize, slots: u16, councillors: u64) -> Fleet {
        let world = World::new(7, members, config(slots, councillors));
        Fleet { world, arrivals: vec![1.0; members], demands: Vec::new() }
    }

    fn is_up(&self, node: usize) -> bool {
        self.world.nodes[node].up
    }

    /// Runs one interval after another. Returns the end of the interval from which on all running members
    /// held slots.
    fn run(&mut self, until: Ms) -> Option<Ms> {
        let mut all_held = None;
        while self.world.now < until {
            let running: Vec<usize> = (0..self.world.nodes.len()).filter(|node| self.is_up(*node)).collect();
            let reported: BTreeMap<MemberId, Option<Demand>> =
                running.iter().map(|node| (id(*node), None)).collect();
            let known = self
                .demands
                .iter()
                .map(|(id, demand)| (*id, Some(*demand)))
                .filter(|(id, _)| reported.contains_key(id));
            let reported: BTreeMap<MemberId, Option<Demand>> =
                reported.clone().into_iter().chain(known).collect();
            let alive: BTreeMap<MemberId, InstanceId> =
                running.iter().map(|node| (id(*node), self.world.nodes[*node].instance)).collect();
            self.demands.clear();
            for node in running.clone() {
                let count = self.random_arrivals(self.arrivals[node]);
                let mut demand = Demand::default();
                self.world.input(node, |member, now, effects| {
                    member.balancer.record_arrivals(now, count);
                    member.balancer.set_others(reported.clone());
                    member.holder.set_alive(alive.clone());
                    let held = member.holder.retained_slots();
                    demand = member.balancer.demand(now, held);
                    let target = member.balancer.next_target(now, held);
                    member.holder.set_target(now, target, effects);
                });
                self.demands.push((id(node), demand));
            }
            let next = self.world.now + REPORT_INTERVAL;
            self.world.run(next);
            let all = running.iter().all(|node| self.world.slots(*node) > 0);
            all_held = if all { all_held.or(Some(next)) } else { None };
            assert_eq!(self.world.violation, None);
        }
        all_held
    }

    /// A random number of arrivals in one second, with a Poisson distribution.
    fn random_arrivals(&mut self, mean: f64) -> u32 {
        let limit = (-mean.min(30.0)).exp();
        let (mut count, mut left) = (0, self.world.rng.fraction());
        while left > limit {
            count += 1;
            left *= self.world.rng.fraction();
        }
        count
    }

    fn slots(&self) -> Vec<u16> {
        (0..self.world.nodes.len()).map(|node| self.world.slots(node)).collect()
    }

    fn writes(&self) -> u64 {
        self.world.councillors.iter().map(|councillor| councillor.writes).max().unwrap_or(0)
    }

    /// The number of register changes that members have made.
    fn changes(&self) -> u64 {
        self.world.counters().map(|counters| counters.proposed - counters.conflicts).sum()
    }

    fn bytes(&self) -> u64 {
        self.world.counters().map(|counters| counters.asked_bytes).sum()
    }
}

#[test_case(3, 96, 3, 2.0, 94; "three members")]
#[test_case(60, 240, 5, 8.0, 225; "sixty members")]
#[test_case(300, 1_200, 5, 20.0, 1_100; "three hundred members")]
fn all_members_hold_slots_soon_after_the_start(
    members: usize,
    slots: u16,
    councillors: u64,
    within_s: f64,
    sum: u16,
) {
    let mut fleet = Fleet::new(members, slots, councillors);
    let all = fleet.run(Ms(120e3)).expect("all members hold slots");
    let (writes, bytes) = (fleet.writes(), fleet.bytes());
    fleet.run(Ms(180e3));
    let settled = (fleet.writes() - writes, (fleet.bytes() - bytes) as f64 / 60.0 / members as f64);
    println!(
        "{members} members, {slots} slots: all hold slots after {} s, {writes} writes per councillor in 120 s, \
         {} in the next 60 s; renewals {:.0} bytes per second and member; {} of {slots} held",
        all.0 / 1e3, settled.0, settled.1, fleet.world.all_slots()
    );
    assert!(all <= Ms(within_s * 1e3), "{all:?}");
    assert!(fleet.world.all_slots() >= sum, "{:?}", fleet.slots());
}

#[test]
fn a_member_with_ten_times_the_arrivals_gets_more_slots_without_oscillation() {
    let mut fleet = Fleet::new(5, 120, 3);
    fleet.run(Ms(120e3));
    let before = fleet.slots();
    fleet.arrivals[4] = 10.0;
    fleet.run(Ms(420e3));
    let after = fleet.slots();
    let changes = fleet.changes();
    fleet.run(Ms(1_020e3));
    let per_minute = (fleet.changes() - changes) as f64 / 10.0;
    println!(
        "{before:?}, five minutes later {after:?}; then {per_minute} changes per minute of five members"
    );
    assert!(before.iter().all(|slots| (17..=31).contains(slots)), "{before:?}");
    assert!(after[4] >= 60 && after.iter().all(|slots| *slots >= 5), "{after:?}");
    assert!(per_minute <= 5.0, "at most one per member and minute: {per_minute}");
}

#[test]
fn a_new_member_gets_slots_from_the_holders() {
    let mut fleet = Fleet::new(11, 220, 3);
    fleet.world.nodes[10].up = false;
    fleet.run(Ms(120e3));
    assert_eq!(fleet.slots()[10], 0);
    fleet.world.nodes[10].up = true;
    fleet.world.restart(10);
    let held = fleet.run(Ms(300e3)).expect("the new member too");
    println!("a new member among ten: slots after {} s, {:?}", held.0 / 1e3 - 120.0, fleet.slots());
    assert!(held <= Ms(150e3) && fleet.slots()[10] >= 12, "{held:?} {:?}", fleet.slots());
}

#[test]
fn slots_of_dead_members_go_to_the_others() {
    let mut fleet = Fleet::new(4, 96, 3);
    fleet.run(Ms(60e3));
    fleet.world.nodes[3].up = false;
    fleet.run(Ms(120e3));
    assert!(fleet.world.all_slots() >= 88, "{:?}", fleet.slots());
}

#[test]
fn without_the_council_leases_expire_and_are_renewed_when_it_is_back() {
    let mut fleet = Fleet::new(7, 96, 3);
    fleet.run(Ms(60e3));
    let pairs = (0..3)
        .flat_map(|councillor| (0..7).flat_map(move |other| [(councillor, other), (other, councillor)]));
    fleet.world.cut = pairs.collect();
    fleet.run(Ms(70_100.0));
    assert_eq!(fleet.slots(), vec![0; 7], "the lease is 10 s");
    let before: Vec<u16> = fleet.world.nodes.iter().map(|node| node.holder.retained_slots()).collect();
    fleet.run(Ms(130e3));
    assert_eq!(fleet.slots(), vec![0; 7]);
    fleet.world.cut.clear();
    fleet.run(Ms(133e3));
    println!("{before:?}, three seconds after the council is back {:?}", fleet.slots());
    // The next round of renewals, a quarter of a lease later at most, renews the same slots.
    assert_eq!(fleet.slots(), before);
}
