//! What the one that conducts proposes: permits given back, and permits in turn.

use crate::book::{Permit, PermitTable};
use crate::conductor::Coordinator;
use crate::notes::Event;
use crate::order::Order;
use crate::refusal::Refusal;
use crate::serials::halted_by_evidence;
use crate::wishes::Effects;
use ottersail::time::Ms;
use std::collections::BTreeSet;

impl Coordinator {
    /// The book to change, at which revision. Symptom without the second one: a value that this acceptor
    /// alone holds, of an order that is halted, is taken up by each round and refused by all others for ever.
    /// What was not chosen of it is left out; if it was chosen, its other acceptors keep that from passing.
    fn base(&self) -> (u64, PermitTable) {
        let (revision, held) = &self.accepted;
        if !self.atop || *revision <= self.book.0 {
            return self.book.clone();
        }
        let chosen = |it: &&Permit| self.book.1.permits.contains(it);
        let permits = held.permits.iter().filter(chosen).cloned().collect();
        (*revision, PermitTable { permits, ended: false, ..held.clone() })
    }

    pub(crate) fn look(&mut self, now: Ms, revision: u64, order: &Order, out: &mut dyn Effects) {
        self.tell_waits(now, order, out);
        self.weigh(now, order);
        if let (Some(why), Some(halted)) = (self.watch.verdict.clone(), halted_by_evidence(order)) {
            if self.watch.tells() {
                out.note(Event::Evidence { serial: order.serial, why });
            }
            out.halt(revision, &halted);
        }
        let (before, mut book) = self.base();
        let back = |it: &Permit| self.may_strike(now, Some(order), it).is_ok();
        let returns: Vec<Permit> = book.permits.iter().filter(|it| back(it)).cloned().collect();
        book.permits.retain(|it| !returns.contains(it));
        for permit in &returns {
            self.tell_return(order.serial, permit, out);
        }
        let ended = book.ended && book.order == revision;
        let changed = !returns.is_empty() || before != self.book.0;
        (book.order, book.serial) = (revision, order.serial);
        let given = self.give(now, order, &mut book, out);
        book.ended = self.is_through(now, order, &book, ended);
        let ends = ended != book.ended;
        if book.ended && ends {
            out.note(Event::Ended { serial: order.serial });
        }
        if changed || given || ends {
            out.propose(before, &book);
            self.asked = Some((now, book));
        }
    }

    /// As many as may go, in turn.
    fn give(&mut self, now: Ms, order: &Order, book: &mut PermitTable, out: &mut dyn Effects) -> bool {
        let limit = self.limit(now, order, book, out);
        let Some(version) = order.leads_to().filter(|_| self.watch.verdict.is_none()) else { return false };
        let had = book.permits.len();
        let mut skip = BTreeSet::new();
        while book.permits.len() < crate::book::MAX_PERMITS {
            let Some((member, life, asked)) = self.next(now, order, book, limit, &skip) else { break };
            let permit = Permit { member, life, asked, version: version.clone() };
            let mut more = book.clone();
            let place = more.permits.partition_point(|it| it.member < member);
            more.permits.insert(place, permit.clone());
            if let Err(refusal) = self.has_room(now, order, &more, &[&permit]) {
                let full = matches!(refusal, Refusal::Full { .. });
                if skip.is_empty() && self.refused.as_ref() != Some(&refusal) {
                    out.note(Event::Refused(refusal.clone()));
                    self.refused = Some(refusal);
                }
                if full {
                    break;
                }
                // Its zone is full, or another councillor out: those of other zones need not wait for it.
                skip.insert(member);
                continue;
            }
            *book = more;
            out.note(Event::Permits { serial: order.serial, member, version: version.clone() });
        }
        book.permits.len() > had
    }
}
