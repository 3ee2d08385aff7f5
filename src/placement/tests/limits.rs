//! Rules 2, 5 and 6, and the share of a tenant.

use super::*;
use test_case::test_case;

#[test_case(RequestSemantics::AtMostOnce, Outcome::NoConnection, "shed", true; "unsafe that never ran")]
#[test_case(RequestSemantics::AtMostOnce, Outcome::NoAnswer, "abort", false; "unsafe that may have run")]
#[test_case(RequestSemantics::AtMostOnce, Outcome::CalledOff, "abort", false; "unsafe that was called off")]
#[test_case(RequestSemantics::Idempotent, Outcome::NoAnswer, "shed", true; "idempotent")]
#[test_case(
    RequestSemantics::Deduplicated { group: DedupScope::SameZone, window: Ms(9e9) }, Outcome::NoAnswer, "abort", true; "group"
)]
fn rule_2_what_may_have_run(repeat: RequestSemantics, outcome: Outcome, last_word: &str, again: bool) {
    let mut terms = terms();
    terms.packages[0].semantics = repeat;
    let mut it = placement(terms, 2);
    let viewing = add(&mut it, "a", Phase::Waiting, 0, vec![tried("s0", Some(outcome))]);
    assert_eq!(it.may_tune_in(&viewing), again);
    let mut said = Said::default();
    it.finish(&"a".into(), &mut said);
    assert_eq!(said.0, [last_word]);
}

#[test_case(DedupScope::SameZone, 9e9, &["s0", "s1"]; "zone")]
#[test_case(DedupScope::SameCell, 9e9, &["s0"]; "cell")]
#[test_case(DedupScope::All, 50.0, &[]; "window is over")]
fn rule_2_deduplicated_stays_in_group_and_window(group: DedupScope, window: f64, expected: &[&str]) {
    let mut terms = terms();
    terms.packages[0].semantics = RequestSemantics::Deduplicated { group, window: Ms(window) };
    let mut it = placement(terms, 3);
    server(&mut it, "s2").entry.zone = "there".into();
    let viewing = add(&mut it, "a", Phase::Waiting, 0, vec![tried("s0", Some(Outcome::NoAnswer))]);
    let fits = it.servers.iter().filter(|(_, server)| it.same_group(&viewing, server));
    let fits: Vec<String> = fits.map(|it| it.0.to_string()).collect();
    assert_eq!(fits, expected);
}

#[test_case(1, false; "taken")]
#[test_case(2, true; "one is free")]
fn rule_5_seats_count_set_ups(seats: usize, free: bool) {
    let mut terms = terms();
    terms.packages[0].seats = seats;
    let mut it = placement(terms, 1);
    add(&mut it, "a", Phase::TuningIn, 0, vec![tried("s0", None)]);
    let viewing = add(&mut it, "b", Phase::Waiting, 0, vec![]);
    assert_eq!(it.seat_free(&viewing), free);
}

// The floor would be past what the viewer can use: no rung may be set.
#[test_case(1, false; "under the floor")]
#[test_case(2, true; "at the floor")]
fn rule_5_a_viewer_who_can_not_use_the_floor_is_blocked(best: usize, free: bool) {
    let mut terms = terms();
    terms.packages[0].floor = Rung(2);
    let mut it = placement(terms, 1);
    let mut viewing = add(&mut it, "a", Phase::Waiting, 2, vec![]);
    viewing.wish.max_rung = Rung(best);
    assert_eq!(it.seat_free(&viewing), free);
}

#[test_case(1, 1, true; "within")]
#[test_case(2, 1, false; "used up")]
#[test_case(2, 4, true; "earned by viewings taken")]
fn rule_6_budget(further: usize, taken: usize, allowed: bool) {
    let budget = Some(ResendBudget { free_resends: 1.0, ratio: 0.5, window: Ms(1000.0) });
    let mut it = placement(PlacementConfig { budget, ..terms() }, 1);
    it.further = [vec![Ms(98_000.0); 5], vec![it.now; further - 1]].concat().into();
    it.taken = vec![it.now; taken].into();
    let viewing = add(&mut it, "a", Phase::Waiting, 0, vec![tried("s0", Some(Outcome::TurnedAway))]);
    assert_eq!(it.may_tune_in(&viewing), allowed);
}

// One viewing a second is allowed to two managers: 5 and a margin of 4.5 in ten seconds for this one.
// With three slots of eight: 3.75 and 3.9.
#[test_case(&[0], 2.0, 9, false; "within its share")]
#[test_case(&[0], 2.0, 10, true; "a crowd is past it")]
#[test_case(&[0, 4, 7], 8.0, 7, false; "within its slots")]
#[test_case(&[0, 4, 7], 8.0, 8, true; "past its slots")]
fn arrivals_past_a_tenants_share(slots: &[u64], of: f64, earlier: usize, over: bool) {
    let mut it = placement(terms(), 0);
    it.set_slots(Ms(0.0), slots, of);
    for _ in 0..earlier {
        it.over_share(TenantIndex(0));
    }
    assert_eq!(it.over_share(TenantIndex(0)), over);
}

// A further tune-in on the edge of the window counts, a viewing taken there does not.
#[test_case(1010.0, 0.0, true; "both within or past the window")]
#[test_case(1009.0, 0.0, false; "a further one on the edge")]
#[test_case(1010.0, 995.0, false; "a viewing taken on the edge")]
fn rule_6_holds_on_the_edge_of_a_window(further: f64, taken: f64, allowed: bool) {
    let budget = Some(ResendBudget { free_resends: 0.0, ratio: 1.0, window: Ms(1000.0) });
    let mut it = placement(PlacementConfig { budget, ..terms() }, 1);
    it.further = vec![it.now - Ms(further)].into();
    it.taken = vec![it.now - Ms(taken)].into();
    assert_eq!(it.budget_left(), allowed);
}
