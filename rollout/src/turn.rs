//! In which order they go, and how many in which step.

use crate::book::{MemberTime, PermitTable};
use crate::conductor::Coordinator;
use crate::notes::Event;
use crate::order::{Name, Order, Scope, State};
use crate::seen::{RosterEntry, Sight};
use crate::wishes::Effects;
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};
use std::collections::{BTreeMap, BTreeSet};

/// An odd number whose multiples fill all bits (the golden ratio's).
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

fn mixed(id: MemberId, salt: u64) -> u64 {
    let mut mix = (id.0 ^ salt.wrapping_mul(SPREAD)).wrapping_mul(SPREAD);
    mix ^= mix >> 29;
    mix.wrapping_mul(SPREAD) >> 16
}

impl Order {
    /// The version that a permit under it leads to; none while it is halted.
    pub fn leads_to(&self) -> Option<&Name> {
        match self.state {
            State::Go => Some(&self.version),
            State::Back => Some(&self.previous_version),
            State::Halt | State::HaltedByEvidence => None,
        }
    }

    /// Whether one of that version has still to go under it.
    pub fn wants(&self, has: &Name) -> bool {
        match self.state {
            State::Go => *has != self.version,
            // Only those that were released; whoever has yet another version is let be.
            State::Back => *has == self.version,
            State::Halt | State::HaltedByEvidence => false,
        }
    }

    /// The same part of the fleet at every member and through all serials of an order.
    fn in_part(&self, id: MemberId, part: u16) -> bool {
        let salt = self.name.as_str().bytes().fold(0, |sum: u64, it| sum.wrapping_mul(31) + u64::from(it));
        mixed(id, salt) % 1_000 < u64::from(part)
    }
}

impl Coordinator {
    fn is_meant(&self, order: &Order, id: MemberId, seen: &RosterEntry) -> bool {
        let meant = match &order.scope {
            Scope::All => true,
            Scope::Zone(zone) => seen.zone.as_ref() == Some(zone),
            Scope::Named(names) => names.contains(&seen.name),
            Scope::PerMille(part) => order.in_part(id, *part),
        };
        meant && !self.is_struck(order, id)
    }

    /// How many it is about, as far as that is known here.
    pub(crate) fn meant(&self, order: &Order) -> usize {
        let seen = || self.sights.roster.iter().filter(|it| self.is_meant(order, *it.0, it.1)).count();
        let told = match &order.scope {
            Scope::All => Some(usize::from(order.bounds.fleet)),
            Scope::Zone(zone) => order.bounds.zones.get(zone).map(|it| usize::from(it.0)),
            Scope::Named(names) => {
                return names.iter().filter(|it| !order.struck.contains(it)).count();
            }
            Scope::PerMille(_) => None,
        };
        // Those struck are not waited for. In a zone all of them are taken to be of it.
        told.map_or_else(seen, |it| it.saturating_sub(order.struck.len()))
    }

    /// Whole, meant, and with nothing to do any more: as many as that.
    pub(crate) fn through(&self, now: Ms, order: &Order, book: &PermitTable) -> usize {
        let there = |it: &(MemberId, &RosterEntry, &Sight)| {
            book.of(it.0).is_none() && self.is_meant(order, it.0, it.1) && !order.wants(&it.2.stand.version)
        };
        self.sights.all_whole(now, settle(order)).filter(there).count()
    }

    /// How many may be out or through. The way back has no steps: what is bad is to be gone.
    pub(crate) fn limit(
        &mut self,
        now: Ms,
        order: &Order,
        book: &PermitTable,
        out: &mut dyn Effects,
    ) -> usize {
        let (all, through) = (self.meant(order), self.through(now, order, book));
        if order.state != State::Go {
            return usize::MAX;
        }
        loop {
            let (level, since) = self.step;
            let count = order.steps.get(level).map_or(all, |it| it.of(all));
            if through < count {
                self.step.1 = None;
                return count;
            }
            let since = since.unwrap_or(now);
            self.step.1 = Some(since);
            // With more through than it has, the next one had begun before this councillor conducted.
            let stood = now - since >= settle(order) || through > count;
            if !stood || level + 1 >= order.steps.len() {
                return count;
            }
            self.step = (level + 1, None);
            out.note(Event::Step { serial: order.serial, step: level + 2, of: order.steps.len() });
        }
    }

    /// How many are to be through in the end.
    pub(crate) fn goal(&self, order: &Order) -> usize {
        let all = self.meant(order);
        match (order.state, order.steps.last()) {
            (State::Go, Some(last)) => last.of(all),
            _ => all,
        }
    }

    /// Whose turn it is: the zone with the fewest out or through first, then by a hash; councillors last. On
    /// the way back the other way round.
    pub(crate) fn next(
        &self,
        now: Ms,
        order: &Order,
        book: &PermitTable,
        limit: usize,
        skip: &BTreeSet<MemberId>,
    ) -> Option<(MemberId, InstanceId, MemberTime)> {
        if book.permits.len() + self.through(now, order, book) >= limit {
            return None;
        }
        let revision = self.order.as_ref().map_or(0, |it| it.0);
        let whole: Vec<_> = self.sights.all_whole(now, settle(order)).collect();
        // Out or through, by zone.
        let mut done: BTreeMap<&Option<Name>, usize> = BTreeMap::new();
        let out = book.permits.iter().filter_map(|it| self.sights.roster.get(&it.member));
        let there = |it: &&(MemberId, &RosterEntry, &Sight)| {
            book.of(it.0).is_none() && !order.wants(&it.2.stand.version)
        };
        for zone in out.chain(whole.iter().filter(there).map(|it| it.1)).map(|it| &it.zone) {
            *done.entry(zone).or_default() += 1;
        }
        let may_go = |it: &&(MemberId, &RosterEntry, &Sight)| {
            let (id, seen, Sight { stand, heard, .. }) = **it;
            let in_time = now - *heard <= Ms(f64::from(order.use_ms)) * 0.5;
            book.of(id).is_none()
                && !skip.contains(&id)
                && self.is_meant(order, id, seen)
                && order.wants(&stand.version)
                && !self.wrong.contains(&id)
                && (stand.order, stand.going) == (revision, None)
                && stand.at > stand.never
                && in_time
        };
        let forth = order.state == State::Go;
        let key = |it: &&(MemberId, &RosterEntry, &Sight)| {
            let hash = mixed(it.0, if forth { order.serial.0 } else { order.serial.0.wrapping_sub(1) });
            let last = self.councillors.contains(&it.0) == forth;
            // Whoever conducts goes last of all: each change of it settles the step anew.
            (
                last,
                (it.0 == self.me) == forth,
                done.get(&it.1.zone).copied().unwrap_or(0),
                if forth { hash } else { u64::MAX - hash },
            )
        };
        let it = whole.iter().filter(may_go).min_by_key(key)?;
        Some((it.0, it.1.life, it.2.stand.at))
    }

    /// Whether nobody has anything to do any more under that order. Once told so, holders say nothing more,
    /// so it stays until one of them says that it has.
    pub(crate) fn is_through(&self, now: Ms, order: &Order, book: &PermitTable, ended: bool) -> bool {
        if !book.permits.is_empty() {
            return false;
        }
        if matches!(order.state, State::Halt | State::HaltedByEvidence) {
            return true;
        }
        let (all, goal) = (self.meant(order), self.goal(order));
        // Those past the last step have still to go, and not under this order. Asked both ways: else a fleet told
        // smaller than it is ends and begins again at each look, a write to every disk each time.
        let has_to = |it: (MemberId, &RosterEntry, &Sight)| {
            self.is_meant(order, it.0, it.1) && order.wants(&it.2.stand.version)
        };
        let nobody_has_to = goal < all || !self.sights.all_whole(now, settle(order)).any(has_to);
        nobody_has_to && (ended || self.through(now, order, book) >= goal)
    }
}

pub(crate) fn settle(order: &Order) -> Ms {
    Ms(f64::from(order.settle_ms))
}
