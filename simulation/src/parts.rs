//! Who holds which slots of the whole, in simulated time: by need as `ottersail-leases` says it, with what
//! others tell seconds old and slots used only a window after they were taken up; or equal parts for ever.
//! The council itself is not modelled: a change takes until the next look.

use ottersail_front::{Ms, SlotShare};
use ottersail_leases::{Demand, Guards, LeaseConfig, MemberId, SlotBalancer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Slots for each manager; `docs/parts.md` says at least so many.
const SLOTS_EACH: usize = 4;
/// As in the daemon: looks at needs and roster, a part of the lease.
const LOOKS: f64 = 0.05;
/// Riders of others are so many looks old: two seconds of a lease of ten.
const LAG: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    Equal,
    Need,
}

#[derive(Debug)]
struct Member {
    needs: SlotBalancer,
    arrivals: u32,
    /// Since when each slot has been held.
    held: BTreeMap<u64, f64>,
    told: Option<SlotShare>,
}

#[derive(Debug)]
pub struct Parts {
    by: By,
    slots: u16,
    lease: f64,
    window: f64,
    members: Vec<Member>,
    free: BTreeSet<u64>,
    /// What all told at earlier looks, the oldest first.
    riders: VecDeque<BTreeMap<MemberId, Option<Demand>>>,
}

fn id(member: usize) -> MemberId {
    MemberId(member as u64 + 1)
}

impl Parts {
    /// `window`: of the rule on cold servers.
    pub fn new(by: By, now: f64, lease: f64, window: f64, managers: usize) -> Parts {
        let slots = (managers * SLOTS_EACH).min(6_144) as u16;
        #[allow(clippy::default_constructed_unit_structs)]
        let guards = Guards::default();
        let terms =
            LeaseConfig { slots, lease_ms: lease as u32, drift_ppm: 1_000, councillors: vec![], guards };
        let members = (0..managers).map(|it| Member {
            needs: SlotBalancer::new(Ms(now), id(it), terms.clone()),
            arrivals: 0,
            held: BTreeMap::new(),
            told: None,
        });
        let (members, free) = (members.collect(), (0..u64::from(slots)).collect());
        let mut it = Parts { by, slots, lease, window, members, free, riders: VecDeque::new() };
        // Equal parts, and by need the same to begin with: a day begins with parts that stand.
        let each = usize::from(it.slots) / managers.max(1);
        (0..managers).for_each(|member| it.hold(member, now - window, each));
        it
    }

    pub fn every(&self) -> f64 {
        self.lease * LOOKS
    }

    pub fn arrived(&mut self, member: usize) {
        self.members[member].arrivals += 1;
    }

    /// It begins anew, and knows no part.
    pub fn forget(&mut self, member: usize) {
        self.members[member].told = None;
    }

    fn hold(&mut self, member: usize, now: f64, count: usize) {
        let held = &mut self.members[member].held;
        while held.len() > count {
            // What was taken up last goes first, as the registers with fewest do.
            let Some(slot) = held.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|it| *it.0) else { break };
            held.remove(&slot);
            self.free.insert(slot);
        }
        while held.len() < count {
            let Some(slot) = self.free.pop_first() else { break };
            held.insert(slot, now);
        }
    }

    /// One look of all members: what each whose part is another is to be told.
    pub fn look(&mut self, now: f64) -> Vec<(usize, SlotShare)> {
        if self.by == By::Need {
            self.go_by_need(now);
        }
        let (all, slots) = (self.members.len() as f64, u64::from(self.slots));
        let mut tells = Vec::new();
        for (ix, it) in self.members.iter_mut().enumerate() {
            let ripe = it.held.iter().filter(|held| now >= held.1 + self.window);
            let leased = ripe.map(|held| *held.0).collect();
            // Leases are renewed for ever here.
            let next = SlotShare {
                own_slot: slots + ix as u64,
                leased_slots: leased,
                total_slots: slots as f64 + all,
                lease_end_ms: f64::INFINITY,
            };
            if it.told.as_ref() != Some(&next) {
                it.told = Some(next.clone());
                tells.push((ix, next));
            }
        }
        tells
    }

    fn go_by_need(&mut self, now: f64) {
        let at = Ms(now);
        let old = self.riders.front().cloned().unwrap_or_default();
        let mut aims = Vec::new();
        let mut riders = BTreeMap::new();
        for (ix, it) in self.members.iter_mut().enumerate() {
            let held = it.held.len() as u16;
            it.needs.record_arrivals(at, std::mem::take(&mut it.arrivals));
            it.needs.set_others(old.clone());
            aims.push(usize::from(it.needs.next_target(at, held)));
            riders.insert(id(ix), Some(it.needs.demand(at, held)));
        }
        self.riders.push_back(riders);
        while self.riders.len() > LAG {
            self.riders.pop_front();
        }
        // First what is given back: it can be had at once, as after a release that the councillors heard.
        for gives in [true, false] {
            for (ix, aim) in aims.iter().enumerate() {
                if (*aim < self.members[ix].held.len()) == gives {
                    self.hold(ix, now, *aim);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const LOOK: f64 = 500.0;

    /// Ten managers of which the first gets so many viewings a look, the others one each second look.
    fn after(by: By, looks: u32, busy: u32) -> Parts {
        let mut parts = Parts::new(by, 0.0, 10_000.0, 2_000.0, 10);
        for look in 1..=looks {
            (0..busy).for_each(|_| parts.arrived(0));
            (1..10).filter(|_| look % 2 == 0).for_each(|it| parts.arrived(it));
            parts.look(f64::from(look) * LOOK);
            let all: Vec<u64> = parts.members.iter().flat_map(|it| it.held.keys().copied()).collect();
            assert_eq!(all.len() + parts.free.len(), 40, "each slot is with one or with nobody");
        }
        parts
    }

    #[test_case(By::Equal, 20 => (4, 4); "equal parts stay")]
    #[test_case(By::Need, 0 => (2, 4); "nobody comes")]
    fn held(by: By, busy: u32) -> (usize, usize) {
        let parts = after(by, 600, busy);
        (parts.members[0].held.len(), parts.members[9].held.len())
    }

    #[test]
    fn who_gets_most_viewings_holds_most_and_uses_them_a_window_later() {
        let mut parts = after(By::Need, 600, 10);
        assert!(parts.members[0].held.len() > 12, "{:?}", parts.members[0].held);
        let told = parts.members[0].told.clone().unwrap();
        assert_eq!((told.own_slot, told.total_slots), (40, 50.0));
        let now = 600.0 * LOOK;
        parts.members[0].held.insert(99, now);
        assert!(!parts.look(now + 1_999.0).iter().any(|it| it.1.leased_slots.contains(&99)));
        assert!(parts.look(now + 2_001.0).iter().any(|it| it.0 == 0 && it.1.leased_slots.contains(&99)));
    }
}
