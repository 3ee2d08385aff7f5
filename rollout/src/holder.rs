//! At every manager: what it tells of itself, and when it goes out.

use crate::book::{MemberTime, Permit, PermitTable};
use crate::guards::Guards;
use crate::notes::Event;
use crate::order::{Name, Order};
use crate::stand::{MemberStatus, ViewingCounts};
use crate::wishes::Effects;
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};

/// Periods between two stands while nothing changes.
const STAND_EVERY: f64 = 2.0;

/// The same while its permit is not given back.
const RETURNED_EVERY: f64 = 0.5;

/// A permit that can be used at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsablePermit {
    pub stamp: MemberTime,
    pub version: Name,
}

#[derive(Clone, Debug)]
pub struct PermitHolder {
    me: (MemberId, InstanceId),
    born: Ms,
    version: Name,
    period: Ms,
    guards: Guards,
    whole: bool,
    counts: ViewingCounts,
    order: Option<(u64, Order)>,
    book: (u64, PermitTable),
    /// Permits asked for up to then are never used.
    never: MemberTime,
    going: Option<MemberTime>,
    tell_at: Ms,
}

impl PermitHolder {
    pub fn born(now: Ms, me: (MemberId, InstanceId), version: Name, period: Ms) -> PermitHolder {
        PermitHolder::guarded(now, me, version, period, Guards::all())
    }

    pub fn guarded(
        now: Ms,
        me: (MemberId, InstanceId),
        version: Name,
        period: Ms,
        guards: Guards,
    ) -> PermitHolder {
        let (order, book, never, going) = (None, Default::default(), MemberTime(0), None);
        let (whole, counts) = (false, ViewingCounts::default());
        let tell_at = now;
        PermitHolder {
            me,
            born: now,
            version,
            period,
            guards,
            whole,
            counts,
            order,
            book,
            never,
            going,
            tell_at,
        }
    }

    fn stamp(&self, now: Ms) -> MemberTime {
        MemberTime((now - self.born).0.max(0.0) as u64 + 1)
    }

    /// It takes viewings, has list and titles, and its first doubts have ended.
    pub fn whole(&mut self, now: Ms, yes: bool) {
        if std::mem::replace(&mut self.whole, yes) != yes {
            self.tell_at = now;
        }
    }

    /// How viewings ended since this life began; told with the next stand.
    pub fn counts(&mut self, _now: Ms, counts: ViewingCounts) {
        self.counts = counts;
    }

    /// Chosen in the order's register. What was asked for under another order is never used.
    pub fn ordered(&mut self, now: Ms, revision: u64, order: &Order) {
        if self.order.as_ref().is_some_and(|it| it.0 >= revision) {
            return;
        }
        self.order = Some((revision, order.clone()));
        if self.going.is_none() {
            self.never = self.stamp(now).max(self.never);
        }
        self.tell_at = now;
    }

    /// Chosen in the book's register.
    pub fn booked(&mut self, now: Ms, revision: u64, book: &PermitTable) {
        if self.book.0 >= revision {
            return;
        }
        let was_through = self.is_through();
        self.book = (revision, book.clone());
        if was_through && !self.is_through() {
            self.tell_at = now;
        }
    }

    /// The conductor has booked that nobody has anything to do under this order; nor has this one.
    fn is_through(&self) -> bool {
        let Some((revision, order)) = &self.order else { return true };
        let booked = self.book.1.ended && self.book.1.order == *revision;
        booked && !order.wants(&self.version)
    }

    fn permit(&self) -> Option<&Permit> {
        let own = self.book.1.of(self.me.0).filter(|it| it.life == self.me.1);
        own.filter(|it| it.asked > self.never && self.going.is_none())
    }

    fn until(&self, permit: &Permit) -> Option<Ms> {
        let order = &self.order.as_ref()?.1;
        Some(self.born + Ms(permit.asked.0 as f64 + f64::from(order.use_ms)))
    }

    /// A permit to use. The daemon stops taking viewings, then asks [`PermitHolder::still_in_time`].
    pub fn wants_out(&self, now: Ms) -> Option<UsablePermit> {
        let order = &self.order.as_ref()?.1;
        let permit = self.permit().filter(|it| order.leads_to() == Some(&it.version))?;
        let in_time = now < self.until(permit)? || !self.guards.in_time();
        let useful = order.wants(&self.version);
        (in_time && useful).then(|| UsablePermit { stamp: permit.asked, version: permit.version.clone() })
    }

    /// Asked with a fresh clock once nothing more is taken. True: it goes out now and does not turn back.
    /// False: it takes viewings again, and that permit is never used.
    pub fn still_in_time(&mut self, now: Ms, going: &UsablePermit) -> bool {
        // Symptom: the process stood still between look and going; the fleet has been halted since.
        if self.guards.stop_first() && self.wants_out(now).as_ref() != Some(going) {
            self.never = self.never.max(going.stamp);
            self.tell_at = now;
            return false;
        }
        self.going = Some(going.stamp);
        self.tell_at = now;
        true
    }

    pub fn bell_at(&self) -> Ms {
        let tell = if self.is_through() { Ms(f64::INFINITY) } else { self.tell_at };
        self.permit().and_then(|it| self.until(it)).map_or(tell, |it| it.min(tell))
    }

    pub fn bell(&mut self, now: Ms, out: &mut dyn Effects) {
        // Past its end: unless that is said it stands in the book for ever.
        let late = self.permit().filter(|it| self.until(it).is_some_and(|end| now >= end)).map(|it| it.asked);
        if let Some(asked) = late.filter(|_| self.guards.in_time()) {
            self.never = self.never.max(asked);
            self.tell_at = now;
            out.note(Event::Unused);
        }
        if self.order.is_none() || self.is_through() || now < self.tell_at {
            return;
        }
        // Until the permit of the life before this one is given back, others wait for it.
        let returned = self.book.1.of(self.me.0).is_some_and(|it| it.life != self.me.1);
        self.tell_at = now + self.period * if returned { RETURNED_EVERY } else { STAND_EVERY };
        // Never the same moment as what will never be used.
        let at = self.stamp(now).max(MemberTime(self.never.0 + 1));
        out.stand(&MemberStatus {
            at,
            version: self.version.clone(),
            whole: self.whole && self.going.is_none(),
            going: self.going,
            never: self.never,
            order: self.order.as_ref().map_or(0, |it| it.0),
            counts: self.counts,
        });
    }
}
