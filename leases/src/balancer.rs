//! How many slots each member should hold, in proportion to the arrivals at it, so that slots of a quiet
//! member are not idle while viewers of a busy one wait. Changes are slow on purpose (Slicer, Adya et al.
//! 2016: "Slicer: Auto-sharding for datacenter applications", weighs balance against churn in the same way).

use crate::config::LeaseConfig;
use crate::ids::MemberId;
use crate::messages::Demand;
use ottersail::time::{DecayingSum, Ms};
use std::collections::BTreeMap;

/// Arrivals decay over this many leases: long compared with the swings of a crowd, short compared with those
/// of a day.
const DECAY_LEASES: f64 = 6.0;
/// Arrivals within the decay time that are added to every member's own. With few arrivals, ratios would be
/// random and slots would move with them; with none at all, the shares are equal.
const BASE_ARRIVALS: f64 = 16.0;
/// Within this fraction of its target, a member neither counts as short nor gives slots away.
const TOLERANCE: f64 = 0.25;
/// Leases between two changes, once all members are within the tolerance or give slots away.
const CHANGE_LEASES: f64 = 1.0;
/// Leases between two changes of a member far below its target, which takes free slots.
const FILL_LEASES: f64 = 0.05;
/// The part of an excess that is given away in one change: what others report is some seconds old.
const GIVEN_PART: f64 = 0.5;

/// The tolerance in slots: a difference of one slot is never a reason for a change, however few there are.
fn tolerance(target: f64) -> f64 {
    (target * TOLERANCE).max(1.0)
}

/// Decides how many slots this member should hold, from the demand of all members.
#[derive(Clone, Debug)]
pub struct SlotBalancer {
    config: LeaseConfig,
    own_id: MemberId,
    arrivals: DecayingSum,
    others: BTreeMap<MemberId, Option<Demand>>,
    last_change: Ms,
    target: u16,
}

impl SlotBalancer {
    /// A balancer that may change its target at once.
    pub fn new(now: Ms, own_id: MemberId, config: LeaseConfig) -> SlotBalancer {
        let last_change = now - config.lease() * CHANGE_LEASES;
        SlotBalancer {
            config,
            own_id,
            arrivals: DecayingSum::default(),
            others: BTreeMap::new(),
            last_change,
            target: 0,
        }
    }

    fn decay_time(&self) -> Ms {
        self.config.lease() * DECAY_LEASES
    }

    /// Counts viewings that have just arrived at this member.
    pub fn record_arrivals(&mut self, now: Ms, count: u32) {
        self.arrivals.add(now, self.decay_time(), f64::from(count));
    }

    /// Sets all other members that are alive, with the last demand that each has reported, if any.
    pub fn set_others(&mut self, mut others: BTreeMap<MemberId, Option<Demand>>) {
        others.remove(&self.own_id);
        self.others = others;
    }

    /// What to report to the others from now on.
    pub fn demand(&self, now: Ms, held: u16) -> Demand {
        let decay_time = self.decay_time();
        let per_second = self.arrivals.read(now, decay_time) / (decay_time / Ms(1e3));
        Demand { need: (per_second * 1e3).min(f64::from(u32::MAX)) as u32, held }
    }

    /// How many slots each member should hold: one, and a part of the others by weight. Together at most D.
    pub fn targets(&self, now: Ms, held: u16) -> BTreeMap<MemberId, u16> {
        let seconds = self.decay_time() / Ms(1e3);
        let weight = |demand: &Demand| f64::from(demand.need) / 1e3 * seconds + BASE_ARRIVALS;
        let own = self.demand(now, held);
        // A member that has reported nothing yet gets the mean weight of those that have.
        let reported: Vec<f64> = self.others.values().flatten().chain([&own]).map(weight).collect();
        let mean = reported.iter().sum::<f64>() / reported.len() as f64;
        let mut weights: BTreeMap<MemberId, f64> =
            self.others.iter().map(|(id, demand)| (*id, demand.as_ref().map_or(mean, weight))).collect();
        weights.insert(self.own_id, weight(&own));
        let sum: f64 = weights.values().sum();
        let spare = f64::from(self.config.slots) - weights.len() as f64;
        let by_weight = |weight: f64| 1 + (spare.max(0.0) * weight / sum).floor() as u16;
        weights.into_iter().map(|(id, weight)| (id, by_weight(weight))).collect()
    }

    /// How many slots to hold from now on, for a member that holds `held`: mostly as many as before.
    pub fn next_target(&mut self, now: Ms, held: u16) -> u16 {
        let targets = self.targets(now, held);
        let fair = targets.get(&self.own_id).copied().unwrap_or(1);
        let since = now - self.last_change;
        // A change that is under way is not reconsidered.
        if held != self.target && since < self.config.lease() * CHANGE_LEASES {
            return self.target;
        }
        let far_below = Self::far_below(f64::from(held), f64::from(fair));
        let interval = if far_below { FILL_LEASES } else { CHANGE_LEASES };
        self.target = held;
        if since >= self.config.lease() * interval {
            // Within the tolerance a member only asks for slots that nobody holds.
            let most = if far_below { fair } else { fair.min(held.saturating_add(self.free(held))) };
            self.target = if held < fair { most } else { held - self.given_away(held, fair, &targets) };
        }
        if self.target != held {
            self.last_change = now;
        }
        self.target
    }

    /// Slots that no member reports to hold; none while some member has reported nothing.
    fn free(&self, held: u16) -> u16 {
        let reported: Option<u32> =
            self.others.values().map(|demand| demand.map(|demand| u32::from(demand.held))).sum();
        let not_own = u32::from(self.config.slots).saturating_sub(u32::from(held));
        reported.map_or(0, |reported| not_own.saturating_sub(reported) as u16)
    }

    /// Slots to give away: always when past the tolerance, within it only while another member is short.
    fn given_away(&self, held: u16, fair: u16, targets: &BTreeMap<MemberId, u16>) -> u16 {
        let excess = f64::from(held) - f64::from(fair);
        let short: f64 = self.others.iter().map(|(id, demand)| Self::shortage(id, demand, targets)).sum();
        let past_tolerance = excess > tolerance(f64::from(fair));
        if excess < 1.0 || !(past_tolerance || short >= 1.0) {
            return 0;
        }
        // Within the tolerance a member gives only its own part of what is short, without waiting for others.
        let total_excess: f64 =
            self.others.iter().map(|(id, demand)| Self::excess(id, demand, targets)).sum::<f64>() + excess;
        let given = if past_tolerance {
            excess * GIVEN_PART
        } else {
            (short * excess / total_excess).min(excess * GIVEN_PART)
        };
        given.ceil() as u16
    }

    fn far_below(held: f64, target: f64) -> bool {
        held < 1.0 || target - held > tolerance(target)
    }

    fn shortage(id: &MemberId, demand: &Option<Demand>, targets: &BTreeMap<MemberId, u16>) -> f64 {
        let (target, held) = (Self::target_of(id, targets), Self::held(demand));
        if Self::far_below(held, target) {
            target - held
        } else {
            0.0
        }
    }

    fn excess(id: &MemberId, demand: &Option<Demand>, targets: &BTreeMap<MemberId, u16>) -> f64 {
        (Self::held(demand) - Self::target_of(id, targets)).max(0.0)
    }

    fn held(demand: &Option<Demand>) -> f64 {
        demand.map_or(0.0, |demand| f64::from(demand.held))
    }

    fn target_of(id: &MemberId, targets: &BTreeMap<MemberId, u16>) -> f64 {
        targets.get(id).copied().map_or(0.0, f64::from)
    }
}
