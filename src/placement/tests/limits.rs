//! Rules 2, 5 and 6, and tenants' allowances.

use super::*;
use test_case::test_case;

#[test_case(RequestSemantics::AtMostOnce, Outcome::NoConnection, "shed", true; "unsafe, without an effect")]
#[test_case(RequestSemantics::AtMostOnce, Outcome::NoAnswer, "abort", false; "unsafe, may have run")]
#[test_case(RequestSemantics::AtMostOnce, Outcome::CalledOff, "abort", false; "unsafe, called off")]
#[test_case(RequestSemantics::Idempotent, Outcome::NoAnswer, "shed", true; "idempotent")]
#[test_case(
    RequestSemantics::Deduplicated { group: DedupScope::SameZone, window: Ms(9e9) },
    Outcome::NoAnswer, "abort", true;
    "deduplicated within a zone"
)]
fn rule_2_after_a_tune_in_that_may_have_run(
    semantics: RequestSemantics,
    outcome: Outcome,
    final_answer: &str,
    may_tune_in: bool,
) {
    let mut config = config();
    config.packages[0].semantics = semantics;
    let mut placement = placement_with(config, 2);
    let earlier = vec![tune_in_at("s0", Some(outcome))];
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, earlier);
    assert_eq!(placement.may_tune_in(&viewing), may_tune_in);
    let mut actions = RecordedActions::default();
    placement.finish(&"a".into(), &mut actions);
    assert_eq!(actions.0, [final_answer]);
}

#[test_case(DedupScope::SameZone, 9e9, &["s0", "s1"]; "zone")]
#[test_case(DedupScope::SameCell, 9e9, &["s0"]; "cell")]
#[test_case(DedupScope::All, 50.0, &[]; "after the window")]
fn rule_2_a_deduplicated_viewing_stays_in_its_scope_and_window(
    group: DedupScope,
    window: f64,
    expected: &[&str],
) {
    let mut config = config();
    config.packages[0].semantics = RequestSemantics::Deduplicated { group, window: Ms(window) };
    let mut placement = placement_with(config, 3);
    server_mut(&mut placement, "s2").entry.zone = "there".into();
    let earlier = vec![tune_in_at("s0", Some(Outcome::NoAnswer))];
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, earlier);
    let allowed = placement.servers.iter().filter(|(_, server)| placement.in_dedup_scope(&viewing, server));
    let allowed: Vec<String> = allowed.map(|(id, _)| id.to_string()).collect();
    assert_eq!(allowed, expected);
}

#[test_case(1, false; "all taken")]
#[test_case(2, true; "one free")]
fn rule_5_seats_include_set_ups(seats: usize, free: bool) {
    let mut config = config();
    config.packages[0].seats = seats;
    let mut placement = placement_with(config, 1);
    insert_viewing(&mut placement, "a", Phase::TuningIn, 0, vec![tune_in_at("s0", None)]);
    let viewing = insert_viewing(&mut placement, "b", Phase::Waiting, 0, vec![]);
    assert_eq!(placement.seat_free(&viewing), free);
}

/// No rung is allowed if the package's floor is above what the player can use.
#[test_case(1, false; "below the floor")]
#[test_case(2, true; "at the floor")]
fn rule_5_a_viewer_who_cannot_use_the_floor_gets_no_seat(max_rung: usize, free: bool) {
    let mut config = config();
    config.packages[0].floor = Rung(2);
    let mut placement = placement_with(config, 1);
    let mut viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 2, vec![]);
    viewing.request.max_rung = Rung(max_rung);
    assert_eq!(placement.seat_free(&viewing), free);
}

#[test_case(1, 1, true; "within")]
#[test_case(2, 1, false; "used up")]
#[test_case(2, 4, true; "extended by accepted requests")]
fn rule_6_budget(resends: usize, accepted: usize, allowed: bool) {
    let budget = Some(ResendBudget { free_resends: 1.0, ratio: 0.5, window: Ms(1000.0) });
    let mut placement = placement_with(PlacementConfig { budget, ..config() }, 1);
    let now = placement.now;
    placement.resend_times = [vec![Ms(98_000.0); 5], vec![now; resends - 1]].concat().into();
    placement.accepted_times = vec![now; accepted].into();
    let earlier = vec![tune_in_at("s0", Some(Outcome::TurnedAway))];
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, earlier);
    assert_eq!(placement.may_tune_in(&viewing), allowed);
}

/// Two managers may admit one viewing a second: this one 5 in ten seconds, with a margin of 4.5. With three
/// slots of eight, 3.75 with a margin of 3.9.
#[test_case(&[0], 2.0, 9, false; "within its part")]
#[test_case(&[0], 2.0, 10, true; "beyond its part")]
#[test_case(&[0, 4, 7], 8.0, 7, false; "within its slots")]
#[test_case(&[0, 4, 7], 8.0, 8, true; "beyond its slots")]
fn arrivals_beyond_a_tenants_allowance(slots: &[u64], total: f64, earlier: usize, over: bool) {
    let mut placement = placement_with(config(), 0);
    placement.set_slots(Ms(0.0), slots, total);
    for _ in 0..earlier {
        placement.over_share(TenantIndex(0));
    }
    assert_eq!(placement.over_share(TenantIndex(0)), over);
}

/// On the edge of the window a resend counts, and an accepted request does not.
#[test_case(1010.0, 0.0, true; "resend outside, request inside")]
#[test_case(1009.0, 0.0, false; "resend on the edge")]
#[test_case(1010.0, 995.0, false; "accepted request on the edge")]
fn rule_6_holds_on_the_edge_of_a_window(resend_age: f64, accepted_age: f64, allowed: bool) {
    let budget = Some(ResendBudget { free_resends: 0.0, ratio: 1.0, window: Ms(1000.0) });
    let mut placement = placement_with(PlacementConfig { budget, ..config() }, 1);
    placement.resend_times = vec![placement.now - Ms(resend_age)].into();
    placement.accepted_times = vec![placement.now - Ms(accepted_age)].into();
    assert_eq!(placement.budget_left(), allowed);
}
