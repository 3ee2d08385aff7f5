//! The acceptor's guard: what a councillor lets into its registers, by what it sees itself.

use crate::book::{Permit, PermitTable};
use crate::conductor::Coordinator;
use crate::guards::Guards;
use crate::order::Order;
use crate::refusal::Refusal;
use crate::seen::{Sight, DRIFT};
use crate::serials::halted_by_evidence;
use ottersail::time::Ms;
use ottersail_membership::MemberId;

/// Whether an order may take that one's place: a greater serial, or the same halted. A halt by evidence keeps
/// the serial: the operator's file of that serial, read again anywhere, does not undo it, and the next serial
/// that the operator writes does.
///
/// # Errors
/// [`Refusal::Serial`].
pub fn follows(from: Option<&Order>, to: &Order, guards: Guards) -> Result<(), Refusal> {
    let Some(from) = from.filter(|_| guards.serials()) else { return Ok(()) };
    let halts = halted_by_evidence(from).as_ref() == Some(to);
    // Unchanged: a reading that is written back.
    if to.serial > from.serial || halts || from == to {
        return Ok(());
    }
    Err(Refusal::Serial { given: to.serial.0, stands: from.serial.0 })
}

impl Coordinator {
    /// Whether this councillor lets the book change so. `order` is what it has itself accepted last in the
    /// order's register, `from` in the book's. Pure: each acceptor judges by what it sees itself.
    ///
    /// # Errors
    /// The first reason against it.
    pub fn allows(
        &self,
        now: Ms,
        order: Option<(u64, &Order)>,
        from: Option<&PermitTable>,
        to: &PermitTable,
    ) -> Result<(), Refusal> {
        let held = from.map_or(&[][..], |it| &it.permits);
        // Asked for anew by the same life: it counts as out as before. Symptom without that: each councillor
        // holds another stamp of one permit, none of them chosen, and each refuses the others' for ever.
        let renewed =
            |it: &Permit| to.of(it.member).is_some_and(|next| next.life == it.life && next.asked >= it.asked);
        for permit in held.iter().filter(|it| !to.permits.contains(it) && !renewed(it)) {
            self.may_strike(now, order.map(|it| it.1), permit)?;
        }
        // What is chosen already was judged by a majority: one that missed it must not stand in its way.
        let known = |it: &&Permit| held.contains(it) || self.book.1.permits.contains(it);
        // Nor is one judged that nobody can use any more. Symptom: a value of an older order that a few hold
        // is refused by all others, and nothing else can be chosen.
        let dead = |it: &&Permit| self.is_back(now, order.map(|it| it.1), it);
        let new: Vec<&Permit> = to.permits.iter().filter(|it| !known(it) && !dead(it)).collect();
        if new.is_empty() {
            return Ok(());
        }
        let (revision, order) = order.ok_or(Refusal::NoOrder)?;
        self.is_ordered(revision, order, to, &new)?;
        self.has_room(now, order, to, &new)
    }

    fn is_ordered(
        &self,
        revision: u64,
        order: &Order,
        to: &PermitTable,
        new: &[&Permit],
    ) -> Result<(), Refusal> {
        if !self.guards.order() {
            return Ok(());
        }
        if to.order != revision || to.serial != order.serial {
            return Err(Refusal::OtherOrder { named: to.order, here: revision });
        }
        let wanted = order.leads_to().ok_or(Refusal::Halted { serial: order.serial })?;
        match new.iter().find(|it| it.version != *wanted) {
            Some(it) => {
                let (has, wanted) = (it.version.clone(), wanted.clone());
                Err(Refusal::Version { member: it.member, has, wanted })
            }
            None => Ok(()),
        }
    }

    /// Whether enough are left by what is seen here, once all permits of that book are used.
    pub(crate) fn has_room(
        &self,
        now: Ms,
        order: &Order,
        to: &PermitTable,
        new: &[&Permit],
    ) -> Result<(), Refusal> {
        let permitted = |id: MemberId| to.of(id).is_some();
        let settle = Ms(f64::from(order.settle_ms));
        let stays = |id: MemberId| !self.guards.permits() || !permitted(id);
        let belongs = |id: MemberId| !self.is_struck(order, id);
        let whole = || self.sights.all_whole(now, settle).filter(|it| stays(it.0) && belongs(it.0));
        // Those struck belong to it no more. A member more than the operator told of is one more that may not be
        // gone.
        let told = usize::from(order.bounds.fleet).saturating_sub(order.struck.len());
        let fleet = told.max(self.sights.roster.keys().filter(|it| belongs(**it)).count());
        let most = usize::from(order.bounds.most_out);
        let left = |whole: usize, of: usize, out: usize| {
            if self.guards.accidents() {
                whole
            } else {
                of - out.min(of)
            }
        };
        let stay = left(whole().count(), fleet, to.permits.len());
        if stay + most < fleet {
            return Err(Refusal::Full { whole: stay, fleet, most });
        }
        for permit in new.iter().filter(|_| !order.bounds.zones.is_empty() && self.guards.zones()) {
            let zone = |id: MemberId| self.sights.roster.get(&id).and_then(|it| it.zone.clone());
            let bound = zone(permit.member).and_then(|it| Some((order.bounds.zones.get(&it)?, it)));
            let Some((&(has, most), of)) = bound else {
                return Err(Refusal::NoZone { member: permit.member });
            };
            let (has, most) = (usize::from(has), usize::from(most));
            let inside = || to.permits.iter().filter(|it| zone(it.member).as_ref() == Some(&of));
            let stay =
                left(whole().filter(|it| it.1.zone.as_ref() == Some(&of)).count(), has, inside().count());
            if stay + most < has {
                return Err(Refusal::Zone { zone: of, whole: stay, has, most });
            }
        }
        self.leaves_council(now, settle, to, new)
    }

    fn leaves_council(&self, now: Ms, settle: Ms, to: &PermitTable, new: &[&Permit]) -> Result<(), Refusal> {
        let Some(one) = new.iter().find(|it| self.councillors.contains(&it.member)) else { return Ok(()) };
        let out = |id: &MemberId| to.of(*id).is_some() || self.sights.whole(now, *id, settle).is_none();
        match self.councillors.iter().filter(|it| **it != one.member).find(|it| out(it)) {
            Some(&other) if self.guards.councillors() => {
                Err(Refusal::Councillors { member: one.member, other })
            }
            _ => Ok(()),
        }
    }

    /// Whether that permit may be struck off the book.
    pub(crate) fn may_strike(&self, now: Ms, order: Option<&Order>, permit: &Permit) -> Result<(), Refusal> {
        if order.is_none() {
            return Err(Refusal::NoOrder);
        }
        if self.is_back(now, order, permit) || !self.guards.life() {
            return Ok(());
        }
        Err(Refusal::NotBack { member: permit.member })
    }

    /// Whether nobody goes out on that permit any more, nor is out on it.
    fn is_back(&self, now: Ms, order: Option<&Order>, permit: &Permit) -> bool {
        let Some(order) = order else { return false };
        let member = permit.member;
        let (seen, name) = (self.sights.roster.get(&member), self.names.get(&member));
        let settle = Ms(f64::from(order.settle_ms));
        let known = self.known.get(permit);
        // Symptom: the life before the permitted one, gone but not yet stale here, is taken for the one after
        // it.
        let after = |it: &Sight| {
            known.is_some_and(|known| it.heard > *known)
                || name.is_some_and(|it| it.before == Some(permit.life))
                // One after it would have had to be whole for the settling time since, to be permitted.
                || now - it.heard < settle * 0.5
        };
        let returned = seen.is_some_and(|it| it.life != permit.life)
            && self.sights.whole(now, member, settle).is_some_and(after);
        let never = self.sights.told(member, permit.life).is_some_and(|it| it.never >= permit.asked);
        // Symptom: struck while unused, and used after that: one more out than counted.
        let past = |since: Ms| now - since > Ms(f64::from(order.use_ms) * (1.0 + 2.0 * DRIFT));
        let lives = seen.is_some_and(|it| it.life == permit.life);
        let gone = !lives && name.map_or(Some(self.born), |it| it.gone).is_some_and(past);
        let struck = self.is_struck(order, member) && (gone || known.copied().is_some_and(past));
        returned || never || struck
    }

    /// By name, or by id as the notes tell it: the name of one that died before this councillor started is
    /// not known here.
    pub(crate) fn is_struck(&self, order: &Order, member: MemberId) -> bool {
        let id = member.to_string();
        let name = self.names.get(&member);
        order.struck.iter().any(|it| it.as_str() == id || name.is_some_and(|name| name.name == *it))
    }
}
