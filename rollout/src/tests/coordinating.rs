//! What the coordinating councillor proposes and reports.

use super::rules::{councillor, go, permit, status, table, ALL};
use super::simulation::{id, name};
use crate::*;
use std::collections::BTreeMap;
use test_case::test_case;

#[derive(Default)]
struct CollectedEffects {
    tables: Vec<(u64, PermitTable)>,
    halts: Vec<(u64, Order)>,
    events: Vec<Event>,
}

impl Effects for CollectedEffects {
    fn propose(&mut self, if_revision: u64, table: &PermitTable) {
        self.tables.push((if_revision, table.clone()));
    }
    fn halt(&mut self, if_revision: u64, order: &Order) {
        self.halts.push((if_revision, order.clone()));
    }
    fn send_status(&mut self, _: &MemberStatus) {}
    fn report(&mut self, event: Event) {
        self.events.push(event);
    }
}

fn run_timer(coordinator: &mut Coordinator, at: f64) -> CollectedEffects {
    let mut out = CollectedEffects::default();
    coordinator.set_active(Ms(at), true);
    coordinator.on_timer(Ms(at + 100.0), &mut out);
    out
}

#[test]
fn first_step_sends_a_member_that_is_no_councillor() {
    let out = run_timer(&mut councillor(ALL), 13e3);
    let (revision, table) = &out.tables[0];
    assert_eq!((*revision, table.order_revision, table.serial, table.permits.len()), (0, 7, Serial(3), 1));
    assert!(table.permits[0].member > id(2) && table.permits[0].version == name("v2"));
}

#[test]
fn verdict_stops_permits_and_proposes_a_halt_under_the_same_serial() {
    let mut coordinator = councillor(ALL);
    coordinator.on_verdict(Ms(13e3), "5 points more blocked");
    let out = run_timer(&mut coordinator, 13e3);
    let halted = Order { state: State::HaltedByEvidence, ..go() };
    assert_eq!((out.tables.len(), out.halts), (0, vec![(7, halted.clone())]));
    assert!(
        matches!(&out.events[..], [Event::HaltedByEvidence { reason, .. }] if reason.contains("5 points"))
    );
    coordinator.on_order(Ms(14e3), 8, &halted);
    assert!(run_timer(&mut coordinator, 14e3).halts.is_empty());
    assert_eq!(coordinator.view(Ms(14e3)).unwrap().halted_by.as_deref(), Some("5 points more blocked"));
    // A greater serial lifts the halt.
    coordinator.on_order(Ms(15e3), 9, &Order { serial: Serial(4), ..go() });
    assert_eq!(coordinator.view(Ms(15e3)).unwrap().halted_by, None);
}

#[test]
fn overdue_permit_is_reported_once() {
    let mut coordinator = councillor(ALL);
    coordinator.on_permits(Ms(13e3), 1, &table(&[permit(3, 12_000)]));
    let waits = |out: CollectedEffects| {
        out.events.iter().filter(|it| matches!(it, Event::PermitOverdue { .. })).count()
    };
    assert_eq!(waits(run_timer(&mut coordinator, 49e3)), 0);
    let out = run_timer(&mut coordinator, 51e3);
    assert!(out.events.iter().any(|it| it.to_string().contains("(m3) has its permit for 38100")));
    assert_eq!((waits(out), waits(run_timer(&mut coordinator, 60e3))), (1, 0));
}

/// A released member blocks ten of its twenty viewings a second, or none.
#[test_case(10, true; "a bad version")]
#[test_case(0, false; "a good one")]
fn worse_version_is_halted_by_evidence(blocked: u64, halts: bool) {
    let mut coordinator = councillor(ALL);
    coordinator.set_active(Ms(13e3), true);
    let mut halted = None;
    for second in 14..90_u64 {
        let (now, through) = (second as f64 * 1e3, second.saturating_sub(30));
        for member in ALL {
            let released = *member == 3 && through > 0;
            let bad = if released { blocked * through } else { 0 };
            let counts = ViewingCounts { asked: 20 * second, blocked: bad, ..ViewingCounts::default() };
            let version = if released { go().version } else { go().previous_version };
            let told = MemberStatus { counts, version, ..status(second * 1_000) };
            coordinator.on_status(Ms(now), id(*member), InstanceId(1), &told);
        }
        halted = halted.or(run_timer(&mut coordinator, now + 200.0).halts.pop());
    }
    assert_eq!(halted.map(|it| (it.0, it.1.state)), halts.then_some((7, State::HaltedByEvidence)));
    let told = coordinator.view(Ms(90e3)).unwrap().halted_by;
    assert_eq!(told.is_some_and(|it| it.contains("viewings end badly at 1 released")), halts);
}

/// With a stated fleet of eight, of which eight are done while a ninth still has to leave, the permit table once
/// alternated between ended and not ended twenty times a second. The order must not end while a ready member has to
/// leave.
#[test]
fn understated_fleet_size_does_not_make_the_order_end_and_restart() {
    let mut coordinator = councillor(ALL);
    let mut order = Order { serial: Serial(9), ..go() };
    (order.bounds.fleet, order.bounds.zones) = (8, BTreeMap::new());
    coordinator.on_order(Ms(13e3), 9, &order);
    for member in ALL {
        let version = if *member == 8 { order.previous_version.clone() } else { order.version.clone() };
        coordinator.on_status(
            Ms(13e3),
            id(*member),
            InstanceId(1),
            &MemberStatus { version, order_revision: 9, ..status(13_000) },
        );
    }
    let mut tables = 0;
    for look in 0..20_u32 {
        let out = run_timer(&mut coordinator, 13e3 + 200.0 * f64::from(look));
        if let Some((revision, table)) = out.tables.into_iter().next() {
            tables += 1;
            coordinator.on_answer(Ms(13e3), Outcome::Chosen { revision: revision + 1 });
            assert!(!table.ended);
        }
    }
    assert!(tables <= 1, "{tables}");
}
