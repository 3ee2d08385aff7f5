//! How many slots each member should hold: by what it has to send, so that a quiet member's part is not idle
//! while a busy one's viewers wait. Slow on purpose (Slicer, Adya et al. 2016: "Slicer: Auto-sharding for
//! datacenter applications", weighs balance against churn the same way).

use crate::ids::MemberId;
use crate::messages::Demand;
use crate::terms::LeaseConfig;
use ottersail::time::{DecayingSum, Ms};
use std::collections::BTreeMap;

/// Arrivals fade within so many leases: long over the swings of a crowd, short over those of a day.
const FADE: f64 = 6.0;
/// Arrivals within the fade that every member is taken to have had besides its own: with few of them chance
/// alone makes ratios, and parts would swing with it; with none at all the parts are equal.
const COMMON: f64 = 16.0;
/// Within a quarter of what it should hold nobody is short and nobody gives.
const BAND: f64 = 0.25;
/// One change within so many leases, once all are within the band or give.
const CHANGE_EVERY: f64 = 1.0;
/// A member far below its part fills up from free slots at this pace.
const FILL_EVERY: f64 = 0.05;
/// Of what is too much, so much goes in one change: what others tell is some seconds old.
const GIVEN: f64 = 0.5;

/// One slot more or less is no reason, however few they are.
fn band(target: f64) -> f64 {
    (target * BAND).max(1.0)
}

/// What is known of all members' needs, the own included.
#[derive(Clone, Debug)]
pub struct SlotBalancer {
    terms: LeaseConfig,
    me: MemberId,
    arrivals: DecayingSum,
    others: BTreeMap<MemberId, Option<Demand>>,
    changed: Ms,
    aim: u16,
}

impl SlotBalancer {
    pub fn new(now: Ms, me: MemberId, terms: LeaseConfig) -> SlotBalancer {
        let changed = now - terms.lease() * CHANGE_EVERY;
        SlotBalancer { terms, me, arrivals: DecayingSum::default(), others: BTreeMap::new(), changed, aim: 0 }
    }

    fn fade(&self) -> Ms {
        self.terms.lease() * FADE
    }

    /// So many viewings came to this member just now.
    pub fn record_arrivals(&mut self, now: Ms, count: u32) {
        self.arrivals.add(now, self.fade(), f64::from(count));
    }

    /// All living members but this one, with what each told last, if anything.
    pub fn set_others(&mut self, mut others: BTreeMap<MemberId, Option<Demand>>) {
        others.remove(&self.me);
        self.others = others;
    }

    /// What to tell the others from now on.
    pub fn demand(&self, now: Ms, held: u16) -> Demand {
        let fade = self.fade();
        let a_second = self.arrivals.read(now, fade) / (fade / Ms(1e3));
        Demand { need: (a_second * 1e3).min(f64::from(u32::MAX)) as u32, held }
    }

    /// What each member should hold: one slot each, the rest by weight. All together at most D.
    pub fn targets(&self, now: Ms, held: u16) -> BTreeMap<MemberId, u16> {
        let seconds = self.fade() / Ms(1e3);
        let weight = |it: &Demand| f64::from(it.need) / 1e3 * seconds + COMMON;
        let own = self.demand(now, held);
        // Who has told nothing yet counts as the mean of those who have.
        let told: Vec<f64> = self.others.values().flatten().chain([&own]).map(weight).collect();
        let mean = told.iter().sum::<f64>() / told.len() as f64;
        let mut weights: BTreeMap<MemberId, f64> =
            self.others.iter().map(|it| (*it.0, it.1.as_ref().map_or(mean, weight))).collect();
        weights.insert(self.me, weight(&own));
        let sum: f64 = weights.values().sum();
        let spare = f64::from(self.terms.slots) - weights.len() as f64;
        let by_weight = |it: f64| 1 + (spare.max(0.0) * it / sum).floor() as u16;
        weights.into_iter().map(|(id, it)| (id, by_weight(it))).collect()
    }

    /// How many to hold from now on, for one that holds so many: mostly as many as before.
    pub fn next_target(&mut self, now: Ms, held: u16) -> u16 {
        let targets = self.targets(now, held);
        let mine = targets.get(&self.me).copied().unwrap_or(1);
        let since = now - self.changed;
        // A change that is under way is not thought over.
        if held != self.aim && since < self.terms.lease() * CHANGE_EVERY {
            return self.aim;
        }
        let far_below = Self::far_below(f64::from(held), f64::from(mine));
        let pace = if far_below { FILL_EVERY } else { CHANGE_EVERY };
        self.aim = held;
        if since >= self.terms.lease() * pace {
            // Within the band only what nobody holds is worth asking for.
            let most = if far_below { mine } else { mine.min(held.saturating_add(self.free(held))) };
            self.aim = if held < mine { most } else { held - self.given(held, mine, &targets) };
        }
        if self.aim != held {
            self.changed = now;
        }
        self.aim
    }

    /// Slots that nobody told of; none while somebody has told nothing.
    fn free(&self, held: u16) -> u16 {
        let told: Option<u32> = self.others.values().map(|it| it.map(|it| u32::from(it.held))).sum();
        let all = u32::from(self.terms.slots).saturating_sub(u32::from(held));
        told.map_or(0, |it| all.saturating_sub(it) as u16)
    }

    /// What goes to others: past the band anyway, within it only while somebody else is short.
    fn given(&self, held: u16, mine: u16, targets: &BTreeMap<MemberId, u16>) -> u16 {
        let over = f64::from(held) - f64::from(mine);
        let short: f64 = self.others.iter().map(|it| self.short_by(it, targets)).sum();
        let past_band = over > band(f64::from(mine));
        if over < 1.0 || !(past_band || short >= 1.0) {
            return 0;
        }
        // Within the band only this member's part of what is short, so that the others need not wait for it.
        let excess: f64 = self.others.iter().map(|it| self.over_by(it, targets)).sum::<f64>() + over;
        let asked = if past_band { over * GIVEN } else { (short * over / excess).min(over * GIVEN) };
        asked.ceil() as u16
    }

    fn far_below(held: f64, target: f64) -> bool {
        held < 1.0 || target - held > band(target)
    }

    fn short_by(&self, it: (&MemberId, &Option<Demand>), targets: &BTreeMap<MemberId, u16>) -> f64 {
        let (target, held) = (self.target(it.0, targets), it.1.map_or(0.0, |it| f64::from(it.held)));
        if Self::far_below(held, target) {
            target - held
        } else {
            0.0
        }
    }

    fn over_by(&self, it: (&MemberId, &Option<Demand>), targets: &BTreeMap<MemberId, u16>) -> f64 {
        (it.1.map_or(0.0, |it| f64::from(it.held)) - self.target(it.0, targets)).max(0.0)
    }

    fn target(&self, id: &MemberId, targets: &BTreeMap<MemberId, u16>) -> f64 {
        targets.get(id).copied().map_or(0.0, f64::from)
    }
}
