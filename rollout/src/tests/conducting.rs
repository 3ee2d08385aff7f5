//! What the one that conducts wishes and tells.

use super::tables::{book, councillor, go, permit, stand, ALL};
use super::world::{id, name};
use crate::*;
use std::collections::BTreeMap;
use test_case::test_case;

#[derive(Default)]
struct Out {
    books: Vec<(u64, PermitTable)>,
    halts: Vec<(u64, Order)>,
    notes: Vec<Event>,
}

impl Effects for Out {
    fn propose(&mut self, if_revision: u64, book: &PermitTable) {
        self.books.push((if_revision, book.clone()));
    }
    fn halt(&mut self, if_revision: u64, order: &Order) {
        self.halts.push((if_revision, order.clone()));
    }
    fn stand(&mut self, _: &MemberStatus) {}
    fn note(&mut self, note: Event) {
        self.notes.push(note);
    }
}

fn bell(conductor: &mut Coordinator, at: f64) -> Out {
    let mut out = Out::default();
    conductor.conducts(Ms(at), true);
    conductor.bell(Ms(at + 100.0), &mut out);
    out
}

#[test]
fn the_first_step_sends_one_that_is_no_councillor() {
    let out = bell(&mut councillor(ALL), 13e3);
    let (revision, book) = &out.books[0];
    assert_eq!((*revision, book.order, book.serial, book.permits.len()), (0, 7, Serial(3), 1));
    assert!(book.permits[0].member > id(2) && book.permits[0].version == name("v2"));
}

#[test]
fn a_verdict_stops_permits_at_once_and_wishes_a_halt_of_the_same_serial() {
    let mut conductor = councillor(ALL);
    conductor.verdict(Ms(13e3), "5 points more blocked");
    let out = bell(&mut conductor, 13e3);
    let halted = Order { state: State::HaltedByEvidence, ..go() };
    assert_eq!((out.books.len(), out.halts), (0, vec![(7, halted.clone())]));
    assert!(matches!(&out.notes[..], [Event::Evidence { why, .. }] if why.contains("5 points")));
    conductor.ordered(Ms(14e3), 8, &halted);
    assert!(bell(&mut conductor, 14e3).halts.is_empty());
    assert_eq!(conductor.view(Ms(14e3)).unwrap().halted_by.as_deref(), Some("5 points more blocked"));
    // Lifted by a greater serial.
    conductor.ordered(Ms(15e3), 9, &Order { serial: Serial(4), ..go() });
    assert_eq!(conductor.view(Ms(15e3)).unwrap().halted_by, None);
}

#[test]
fn a_holder_that_never_comes_back_is_named_once() {
    let mut conductor = councillor(ALL);
    conductor.booked(Ms(13e3), 1, &book(&[permit(3, 12_000)]));
    let waits = |out: Out| out.notes.iter().filter(|it| matches!(it, Event::Waits { .. })).count();
    assert_eq!(waits(bell(&mut conductor, 49e3)), 0);
    let out = bell(&mut conductor, 51e3);
    assert!(out.notes.iter().any(|it| it.to_string().contains("(m3) has its permit for 38100")));
    assert_eq!((waits(out), waits(bell(&mut conductor, 60e3))), (1, 0));
}

/// Ten of twenty viewings a second are blocked by one that is released, or by none.
#[test_case(10, true; "a bad version")]
#[test_case(0, false; "a good one")]
fn a_bad_version_is_halted_by_evidence(blocked: u64, halts: bool) {
    let mut conductor = councillor(ALL);
    conductor.conducts(Ms(13e3), true);
    let mut halted = None;
    for second in 14..90_u64 {
        let (now, through) = (second as f64 * 1e3, second.saturating_sub(30));
        for member in ALL {
            let released = *member == 3 && through > 0;
            let bad = if released { blocked * through } else { 0 };
            let counts = ViewingCounts { asked: 20 * second, blocked: bad, ..ViewingCounts::default() };
            let version = if released { go().version } else { go().previous_version };
            let told = MemberStatus { counts, version, ..stand(second * 1_000) };
            conductor.stand(Ms(now), id(*member), InstanceId(1), &told);
        }
        halted = halted.or(bell(&mut conductor, now + 200.0).halts.pop());
    }
    assert_eq!(halted.map(|it| (it.0, it.1.state)), halts.then_some((7, State::HaltedByEvidence)));
    let told = conductor.view(Ms(90e3)).unwrap().halted_by;
    assert_eq!(told.is_some_and(|it| it.contains("viewings end badly at 1 released")), halts);
}

/// Symptom without asking both ways: told a fleet of eight, of which eight are through and the ninth has still to go,
/// the book said ended and not ended in turn, twenty times a second.
#[test]
fn a_fleet_told_too_small_does_not_end_and_begin_in_turn() {
    let mut conductor = councillor(ALL);
    let mut order = Order { serial: Serial(9), ..go() };
    (order.bounds.fleet, order.bounds.zones) = (8, BTreeMap::new());
    conductor.ordered(Ms(13e3), 9, &order);
    for member in ALL {
        let version = if *member == 8 { order.previous_version.clone() } else { order.version.clone() };
        conductor.stand(
            Ms(13e3),
            id(*member),
            InstanceId(1),
            &MemberStatus { version, order: 9, ..stand(13_000) },
        );
    }
    let mut books = 0;
    for look in 0..20_u32 {
        let out = bell(&mut conductor, 13e3 + 200.0 * f64::from(look));
        if let Some((revision, book)) = out.books.into_iter().next() {
            books += 1;
            conductor.answered(Ms(13e3), Outcome::Done { revision: revision + 1 });
            assert!(!book.ended);
        }
    }
    assert!(books <= 1, "{books}");
}
