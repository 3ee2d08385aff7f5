//! At each councillor: what it sees of the fleet, and, at the one that conducts, which permits are proposed.

use crate::book::{Permit, PermitTable};
use crate::guards::Guards;
use crate::notes::Event;
use crate::order::{Name, Order};
use crate::refusal::Refusal;
use crate::seen::{RosterEntry, Sights};
use crate::stand::MemberStatus;
use crate::watch::Watch;
use crate::wishes::{Effects, Outcome};
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};
use std::collections::{BTreeMap, BTreeSet};

/// Periods that a proposal may stay unanswered.
const PATIENCE: f64 = 5.0;
/// Periods between two looks, and from an input to the look that it brings about: several at once make one.
const LOOK_EVERY: f64 = 1.0;
const LOOK_AFTER: f64 = 0.1;
/// Names remembered of members that may be gone.
const MOST_NAMES: usize = 10_000;

/// What is remembered of a member.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub name: Name,
    pub life: InstanceId,
    /// The life seen before that one.
    pub before: Option<InstanceId>,
    /// Since when the roster has it no more.
    pub gone: Option<Ms>,
}

#[derive(Clone, Debug)]
pub struct Coordinator {
    pub(crate) me: MemberId,
    pub(crate) councillors: BTreeSet<MemberId>,
    pub(crate) period: Ms,
    pub(crate) guards: Guards,
    pub(crate) sights: Sights,
    /// Of members that live or have lived.
    pub(crate) names: BTreeMap<MemberId, Known>,
    /// Chosen in the registers, with their revisions.
    pub(crate) order: Option<(u64, Order)>,
    pub(crate) book: (u64, PermitTable),
    /// Since when each permit of the book is known here to be chosen.
    pub(crate) known: BTreeMap<Permit, Ms>,
    /// Under which order, for those that were seen to be added.
    given: BTreeMap<Permit, u64>,
    pub(crate) conducts: bool,
    /// The step that the release is in, and since when as many are through.
    pub(crate) step: (usize, Option<Ms>),
    /// Came back with another version than their permit's: not sent out again under this order.
    pub(crate) wrong: BTreeSet<MemberId>,
    pub(crate) watch: Watch,
    /// What the acceptor here holds, chosen or not.
    pub(crate) accepted: (u64, PermitTable),
    /// The last proposal came to nothing: the next one stands on what the acceptor here holds.
    pub(crate) atop: bool,
    pub(crate) born: Ms,
    pub(crate) asked: Option<(Ms, PermitTable)>,
    look_at: Ms,
    shut_until: Ms,
    pub(crate) waited: BTreeSet<Permit>,
    pub(crate) refused: Option<Refusal>,
}

impl Coordinator {
    /// The period is the members'; `me` is one of the councillors.
    pub fn born(now: Ms, me: MemberId, councillors: &[MemberId], period: Ms) -> Coordinator {
        Coordinator::guarded(now, me, councillors, period, Guards::all())
    }

    pub fn guarded(
        now: Ms,
        me: MemberId,
        councillors: &[MemberId],
        period: Ms,
        guards: Guards,
    ) -> Coordinator {
        Coordinator {
            me,
            councillors: councillors.iter().copied().collect(),
            period,
            guards,
            sights: Sights::new(period, guards),
            names: BTreeMap::new(),
            order: None,
            book: (0, PermitTable::default()),
            known: BTreeMap::new(),
            given: BTreeMap::new(),
            conducts: false,
            step: (0, None),
            wrong: BTreeSet::new(),
            watch: Watch::default(),
            accepted: (0, PermitTable::default()),
            atop: false,
            born: now,
            asked: None,
            look_at: now,
            shut_until: now,
            waited: BTreeSet::new(),
            refused: None,
        }
    }

    fn soon(&mut self, now: Ms) {
        self.look_at = self.look_at.min(now + self.period * LOOK_AFTER);
    }

    /// All that live, this one too.
    pub fn roster(&mut self, now: Ms, living: &BTreeMap<MemberId, RosterEntry>) {
        self.sights.roster(living);
        if self.names.len() + living.len() > MOST_NAMES {
            self.names.clear();
        }
        for (_, it) in self.names.iter_mut().filter(|it| !living.contains_key(it.0)) {
            it.gone = it.gone.or(Some(now));
        }
        for (id, seen) in living {
            let before = match self.names.get(id) {
                Some(it) if it.life == seen.life => it.before,
                other => other.map(|it| it.life),
            };
            self.names.insert(*id, Known { name: seen.name.clone(), life: seen.life, before, gone: None });
        }
        self.soon(now);
    }

    pub fn stand(&mut self, now: Ms, from: MemberId, life: InstanceId, stand: &MemberStatus) {
        if self.sights.stand(now, from, life, stand) {
            self.soon(now);
        }
    }

    /// Chosen in the order's register.
    pub fn ordered(&mut self, now: Ms, revision: u64, order: &Order) {
        if self.order.as_ref().is_some_and(|it| it.0 >= revision) {
            return;
        }
        if self.order.as_ref().is_none_or(|it| it.1.serial != order.serial) {
            self.watch = Watch::default();
        }
        self.order = Some((revision, order.clone()));
        (self.step, self.refused) = ((0, None), None);
        self.wrong.clear();
        self.soon(now);
    }

    /// Chosen in the book's register.
    pub fn booked(&mut self, now: Ms, revision: u64, book: &PermitTable) {
        if self.book.0 >= revision {
            return;
        }
        for permit in self.book.1.permits.iter().filter(|it| !book.permits.contains(it)) {
            let back = self.sights.roster.get(&permit.member).filter(|it| it.life != permit.life);
            let stand = back.and_then(|it| self.sights.told(permit.member, it.life));
            // One given under an order before this one says nothing of it.
            let given = self.given.get(permit) == self.order.as_ref().map(|it| &it.0);
            if given && stand.is_some_and(|it| it.version != permit.version) {
                self.wrong.insert(permit.member);
            }
        }
        let held = &self.accepted.1.permits;
        self.known.retain(|permit, _| book.permits.contains(permit) || held.contains(permit));
        self.waited.retain(|permit| book.permits.contains(permit));
        self.given.retain(|permit, _| book.permits.contains(permit));
        let next = self.book.0 > 0 && (revision == self.book.0 + 1 || book.order == self.book.1.order);
        for permit in &book.permits {
            self.known.entry(permit.clone()).or_insert(now);
            if next && !self.book.1.permits.contains(permit) {
                self.given.insert(permit.clone(), book.order);
            }
        }
        self.book = (revision, book.clone());
        self.soon(now);
    }

    /// What the acceptor here holds from now on, or at the start: it need not be chosen.
    pub fn accepted(&mut self, now: Ms, revision: u64, book: &PermitTable) {
        for permit in &book.permits {
            self.known.entry(permit.clone()).or_insert(now);
        }
        self.accepted = (revision, book.clone());
    }

    /// Whether this one is the lowest-numbered living councillor. Two that think so do no harm.
    pub fn conducts(&mut self, now: Ms, yes: bool) {
        if self.conducts != yes {
            (self.conducts, self.step) = (yes, (0, None));
            self.soon(now);
        }
    }

    /// How the last own proposal ended.
    pub fn answered(&mut self, now: Ms, outcome: Outcome) {
        let Some((_, book)) = self.asked.take() else { return };
        if outcome != Outcome::Unknown {
            self.atop = false;
        }
        match outcome {
            Outcome::Done { revision } => self.booked(now, revision, &book),
            Outcome::Other { revision, book } => self.booked(now, revision, &book),
            Outcome::Unknown => self.fails(now),
        }
    }

    /// Evidence says that the version is bad: no permit more from here, and a halt is wished until it stands.
    pub fn verdict(&mut self, now: Ms, why: &str) {
        self.watch.verdict.get_or_insert_with(|| why.to_string());
        self.soon(now);
    }

    pub fn bell_at(&self) -> Ms {
        let answer = self.asked.as_ref().map(|it| it.0 + self.period * PATIENCE);
        let look = if self.conducts { self.look_at.max(self.shut_until) } else { Ms(f64::INFINITY) };
        answer.unwrap_or(look)
    }

    pub fn bell(&mut self, now: Ms, out: &mut dyn Effects) {
        if self.asked.as_ref().is_some_and(|it| now >= it.0 + self.period * PATIENCE) {
            self.asked = None;
            self.fails(now);
            out.note(Event::Unanswered);
        }
        if self.conducts && self.asked.is_none() && now >= self.look_at.max(self.shut_until) {
            self.look_at = now + self.period * LOOK_EVERY;
            if let Some((revision, order)) = self.order.clone() {
                self.look(now, revision, &order, out);
            }
        }
    }

    fn fails(&mut self, now: Ms) {
        self.shut_until = now + self.period * LOOK_EVERY;
        self.atop = !self.atop;
    }
}
