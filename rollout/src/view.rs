//! What an operator is shown.

use crate::conductor::Coordinator;
use crate::order::{Name, Serial, State};
use crate::turn::settle;
use ottersail::time::Ms;
use ottersail_membership::MemberId;

/// One permit that is not given back.
#[derive(Clone, Debug, PartialEq)]
pub struct OutstandingPermit {
    pub member: MemberId,
    /// Empty if it died before this councillor started.
    pub name: Name,
    pub version: Name,
    /// Since this councillor knows of it.
    pub since: Ms,
    pub waits: WaitReason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// It has not said yet that it goes.
    NotLeft,
    /// It has gone, and nobody lives under that name.
    Gone,
    /// Another life of it lives and has not been seen whole for the settling time.
    Settling,
}

/// A release as one councillor sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseView {
    pub serial: Serial,
    pub name: Name,
    pub state: State,
    /// From 1; and of how many.
    pub step: usize,
    pub steps: usize,
    pub through: usize,
    /// How many it is about.
    pub meant: usize,
    /// RosterEntry whole now, of the fleet as told.
    pub whole: usize,
    pub fleet: usize,
    pub out: Vec<OutstandingPermit>,
    /// Alive, and not seen whole, without a permit.
    pub not_whole: Vec<Name>,
    /// Came back with another version than their permit said.
    pub other_version: Vec<MemberId>,
    pub ended: bool,
    pub halted_by: Option<String>,
}

impl Coordinator {
    /// `None` without an order.
    pub fn view(&self, now: Ms) -> Option<ReleaseView> {
        let (revision, order) = self.order.as_ref()?;
        let book = &self.book.1;
        let out = book.permits.iter().map(|it| {
            let living = self.sights.roster.get(&it.member);
            let going = self.sights.told(it.member, it.life).is_some_and(|it| it.going.is_some());
            let waits = match living {
                Some(seen) if seen.life != it.life => WaitReason::Settling,
                Some(_) if !going => WaitReason::NotLeft,
                _ => WaitReason::Gone,
            };
            let name = self.names.get(&it.member).map(|it| it.name.clone()).unwrap_or_default();
            let since = self.known.get(it).copied().unwrap_or(now);
            OutstandingPermit { member: it.member, name, version: it.version.clone(), since, waits }
        });
        let whole = self.sights.all_whole(now, settle(order)).count();
        let unseen =
            self.sights.roster.iter().filter(|it| {
                book.of(*it.0).is_none() && self.sights.whole(now, *it.0, settle(order)).is_none()
            });
        let ended = book.ended && book.order == *revision;
        // Once it has ended nobody says anything any more.
        let through = if ended { self.goal(order) } else { self.through(now, order, book) };
        Some(ReleaseView {
            serial: order.serial,
            name: order.name.clone(),
            state: order.state,
            step: self.step.0 + 1,
            steps: order.steps.len(),
            through,
            meant: self.meant(order),
            whole,
            fleet: usize::from(order.bounds.fleet),
            out: out.collect(),
            not_whole: unseen.map(|it| it.1.name.clone()).collect(),
            other_version: self.wrong.iter().copied().collect(),
            ended,
            halted_by: self.watch.verdict.clone(),
        })
    }
}
