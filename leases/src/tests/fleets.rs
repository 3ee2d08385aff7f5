//! Whole fleets by need: how soon all hold a part, how parts follow needs, what lapses and what comes back.

use super::terms;
use super::world::{id, World};
use crate::*;
use ottersail::time::Ms;
use std::collections::BTreeMap;
use test_case::test_case;

/// How old what is told of others is: the riders of two seconds ago, one second between tellings.
const TOLD_EVERY: Ms = Ms(1e3);

struct Fleet {
    world: World,
    /// Arrivals a second at each member.
    arrivals: Vec<f64>,
    riders: Vec<(MemberId, Demand)>,
}

impl Fleet {
    fn new(members: usize, slots: u16, councillors: u64) -> Fleet {
        let world = World::new(7, members, terms(slots, councillors));
        Fleet { world, arrivals: vec![1.0; members], riders: Vec::new() }
    }

    fn lives(&self, node: usize) -> bool {
        self.world.nodes[node].up
    }

    /// One telling after another, and whether all living members held a part at the end of one.
    fn run(&mut self, until: Ms) -> Option<Ms> {
        let mut all_held = None;
        while self.world.now < until {
            let living: Vec<usize> = (0..self.world.nodes.len()).filter(|it| self.lives(*it)).collect();
            let told: BTreeMap<MemberId, Option<Demand>> = living.iter().map(|it| (id(*it), None)).collect();
            let known = self.riders.iter().map(|it| (it.0, Some(it.1))).filter(|it| told.contains_key(&it.0));
            let told: BTreeMap<MemberId, Option<Demand>> = told.clone().into_iter().chain(known).collect();
            let alive: BTreeMap<MemberId, InstanceId> =
                living.iter().map(|it| (id(*it), self.world.nodes[*it].instance)).collect();
            self.riders.clear();
            for node in living.clone() {
                let count = self.drawn(self.arrivals[node]);
                let mut rider = Demand::default();
                self.world.input(node, |it, now, out| {
                    it.needs.record_arrivals(now, count);
                    it.needs.set_others(told.clone());
                    it.holder.set_alive(alive.clone());
                    let held = it.holder.retained_slots();
                    rider = it.needs.demand(now, held);
                    let aim = it.needs.next_target(now, held);
                    it.holder.set_target(now, aim, out);
                });
                self.riders.push((id(node), rider));
            }
            let next = self.world.now + TOLD_EVERY;
            self.world.run(next);
            let all = living.iter().all(|it| self.world.slots(*it) > 0);
            all_held = if all { all_held.or(Some(next)) } else { None };
            assert_eq!(self.world.broken, None);
        }
        all_held
    }

    /// Arrivals of one second by chance, mean as told.
    fn drawn(&mut self, mean: f64) -> u32 {
        let limit = (-mean.min(30.0)).exp();
        let (mut count, mut left) = (0, self.world.chance.part());
        while left > limit {
            count += 1;
            left *= self.world.chance.part();
        }
        count
    }

    fn slots(&self) -> Vec<u16> {
        (0..self.world.nodes.len()).map(|it| self.world.slots(it)).collect()
    }

    fn writes(&self) -> u64 {
        self.world.councillors.iter().map(|it| it.writes).max().unwrap_or(0)
    }

    /// Changes of registers that members brought about.
    fn changes(&self) -> u64 {
        self.world.figures().map(|it| it.proposed - it.conflicts).sum()
    }

    fn bytes(&self) -> u64 {
        self.world.figures().map(|it| it.asked_bytes).sum()
    }
}

#[test_case(3, 96, 3, 2.0, 94; "three members")]
#[test_case(60, 240, 5, 8.0, 225; "sixty members")]
#[test_case(300, 1_200, 5, 20.0, 1_100; "three hundred members")]
fn all_hold_a_part_soon_after_the_start(
    members: usize,
    slots: u16,
    councillors: u64,
    within_s: f64,
    sum: u16,
) {
    let mut fleet = Fleet::new(members, slots, councillors);
    let all = fleet.run(Ms(120e3)).expect("all hold a part");
    let (writes, bytes) = (fleet.writes(), fleet.bytes());
    fleet.run(Ms(180e3));
    let settled = (fleet.writes() - writes, (fleet.bytes() - bytes) as f64 / 60.0 / members as f64);
    println!(
        "{members} members, {slots} slots: all hold a part after {} s, {writes} writes a councillor in 120 s, \
         {} in the next 60 s; renewals {:.0} bytes a second a member; {} of {slots} held",
        all.0 / 1e3, settled.0, settled.1, fleet.world.all_slots()
    );
    assert!(all <= Ms(within_s * 1e3), "{all:?}");
    assert!(fleet.world.all_slots() >= sum, "{:?}", fleet.slots());
}

#[test]
fn a_member_with_ten_times_the_arrivals_gets_more_and_parts_do_not_swing() {
    let mut fleet = Fleet::new(5, 120, 3);
    fleet.run(Ms(120e3));
    let before = fleet.slots();
    fleet.arrivals[4] = 10.0;
    fleet.run(Ms(420e3));
    let after = fleet.slots();
    let changes = fleet.changes();
    fleet.run(Ms(1_020e3));
    let a_minute = (fleet.changes() - changes) as f64 / 10.0;
    println!("{before:?}, five minutes later {after:?}; then {a_minute} changes a minute of five members");
    assert!(before.iter().all(|it| (17..=31).contains(it)), "{before:?}");
    assert!(after[4] >= 60 && after.iter().all(|it| *it >= 5), "{after:?}");
    assert!(a_minute <= 5.0, "one a member a minute at most: {a_minute}");
}

#[test]
fn a_newcomer_gets_slots_from_those_who_hold_them() {
    let mut fleet = Fleet::new(11, 220, 3);
    fleet.world.nodes[10].up = false;
    fleet.run(Ms(120e3));
    assert_eq!(fleet.slots()[10], 0);
    fleet.world.nodes[10].up = true;
    fleet.world.restart(10);
    let held = fleet.run(Ms(300e3)).expect("the newcomer too");
    println!("a newcomer among ten: a part after {} s, {:?}", held.0 / 1e3 - 120.0, fleet.slots());
    assert!(held <= Ms(150e3) && fleet.slots()[10] >= 12, "{held:?} {:?}", fleet.slots());
}

#[test]
fn the_dead_leave_their_slots_to_the_others() {
    let mut fleet = Fleet::new(4, 96, 3);
    fleet.run(Ms(60e3));
    fleet.world.nodes[3].up = false;
    fleet.run(Ms(120e3));
    assert!(fleet.world.all_slots() >= 88, "{:?}", fleet.slots());
}

#[test]
fn without_the_council_parts_lapse_within_a_lease_and_come_back() {
    let mut fleet = Fleet::new(7, 96, 3);
    fleet.run(Ms(60e3));
    let pairs = (0..3).flat_map(|it| (0..7).flat_map(move |other| [(it, other), (other, it)]));
    fleet.world.cut = pairs.collect();
    fleet.run(Ms(70_100.0));
    assert_eq!(fleet.slots(), vec![0; 7], "the lease is 10 s");
    let before: Vec<u16> = fleet.world.nodes.iter().map(|it| it.holder.retained_slots()).collect();
    fleet.run(Ms(130e3));
    assert_eq!(fleet.slots(), vec![0; 7]);
    fleet.world.cut.clear();
    fleet.run(Ms(133e3));
    println!("{before:?}, three seconds after the council is back {:?}", fleet.slots());
    // The next round of renewals, a quarter of a lease later at most, finds them as they were.
    assert_eq!(fleet.slots(), before);
}
