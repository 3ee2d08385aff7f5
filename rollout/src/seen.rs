//! Scope is whole, as one councillor sees it. Counted is the evidence of being there: whoever is not heard of
//! is out.

use crate::guards::Guards;
use crate::order::Name;
use crate::stand::MemberStatus;
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};
use std::collections::BTreeMap;

/// A stand counts for so many periods: holders tell one every two, so three in a row may be lost.
pub(crate) const FRESH: f64 = 7.0;
/// By so much clocks may run apart.
pub(crate) const DRIFT: f64 = 0.01;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    Alive,
    Suspect,
}

/// What the members' roster says of one that lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    pub life: InstanceId,
    pub name: Name,
    pub zone: Option<Name>,
    pub state: Presence,
}

#[derive(Clone, Debug)]
pub(crate) struct Sight {
    pub stand: MemberStatus,
    life: InstanceId,
    /// When it was told, by the clock here: the time of receipt, less what it came later than the quickest.
    pub heard: Ms,
    whole_since: Option<Ms>,
    /// Least difference seen between the clock here and the teller's, and when.
    apart: (f64, Ms),
}

#[derive(Clone, Debug)]
pub(crate) struct Sights {
    fresh: Ms,
    guards: Guards,
    pub roster: BTreeMap<MemberId, RosterEntry>,
    sights: BTreeMap<MemberId, Sight>,
}

impl Sights {
    pub fn new(period: Ms, guards: Guards) -> Sights {
        Sights { fresh: period * FRESH, guards, roster: BTreeMap::new(), sights: BTreeMap::new() }
    }

    /// Whoever was gone, or is another life, has to settle anew.
    pub fn roster(&mut self, living: &BTreeMap<MemberId, RosterEntry>) {
        self.roster.clone_from(living);
        self.sights.retain(|id, it| living.get(id).is_some_and(|seen| seen.life == it.life));
    }

    /// Whether that says anything new of a life that the roster knows.
    pub fn stand(&mut self, now: Ms, from: MemberId, life: InstanceId, stand: &MemberStatus) -> bool {
        if self.roster.get(&from).is_none_or(|it| it.life != life) {
            return false;
        }
        let apart = now.0 - stand.at.0 as f64;
        let Some(sight) = self.sights.get_mut(&from) else {
            let whole_since = stand.whole.then_some(now);
            let sight = Sight { stand: stand.clone(), life, heard: now, whole_since, apart: (apart, now) };
            self.sights.insert(from, sight);
            return true;
        };
        // Overtaken on the way.
        if stand.at < sight.stand.at {
            return false;
        }
        // Symptom: a stand that was seconds under way counts as fresh, and its teller died meanwhile.
        let (least, at) = sight.apart;
        let least = (least + (now - at).0 * 2.0 * DRIFT).min(apart);
        sight.apart = (least, now);
        let heard = Ms(stand.at.0 as f64 + least).min(now);
        let gap = heard - sight.heard > self.fresh;
        sight.whole_since = match sight.whole_since {
            _ if !stand.whole => None,
            Some(since) if !gap => Some(since),
            _ => Some(heard),
        };
        sight.heard = sight.heard.max(heard);
        sight.stand = stand.clone();
        true
    }

    /// The last word of that life, however old.
    pub fn told(&self, member: MemberId, life: InstanceId) -> Option<&MemberStatus> {
        self.sights.get(&member).filter(|it| it.life == life).map(|it| &it.stand)
    }

    /// That member's stand, if it is seen whole and has been for so long.
    pub fn whole(&self, now: Ms, member: MemberId, settle: Ms) -> Option<&Sight> {
        let seen = self.roster.get(&member).filter(|it| it.state == Presence::Alive)?;
        let sight = self.sights.get(&member).filter(|it| it.life == seen.life)?;
        let fresh = now - sight.heard <= self.fresh || !self.guards.fresh();
        let settled = sight.heard - sight.whole_since? >= settle;
        (fresh && settled).then_some(sight)
    }

    /// All that are seen whole, with what the roster says of them.
    pub fn all_whole(&self, now: Ms, settle: Ms) -> impl Iterator<Item = (MemberId, &RosterEntry, &Sight)> {
        self.roster.iter().filter_map(move |(id, seen)| Some((*id, seen, self.whole(now, *id, settle)?)))
    }
}
