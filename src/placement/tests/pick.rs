//! The holders that may be had and the two that are drawn.

use super::*;
use test_case::test_case;

#[test_case(|it| it.entry.availability = Availability::Leaving; "rule 3 draining")]
#[test_case(|it| it.entry.availability = Availability::Gone; "rule 3 gone")]
#[test_case(|it| it.shunned_until = Ms(100_001.0); "shunned after a failure")]
#[test_case(|it| it.entry.cell = Cell(4); "does not hold the title")]
#[test_case(|it| it.entry.weight = 0.0; "no room")]
fn a_server_is_left_out(make: fn(&mut Server)) {
    let mut it = placement(terms(), 2);
    let before = it.servers[&"s0".into()].entry.clone();
    make(server(&mut it, "s0"));
    let entry = std::mem::replace(&mut server(&mut it, "s0").entry, before);
    it.list(&entry);
    let viewing = add(&mut it, "a", Phase::Waiting, 0, vec![]);
    assert_eq!(it.eligible(&viewing), [ServerId::from("s1")]);
}

#[test]
fn another_holder_comes_before_one_that_failed() {
    let mut it = placement(terms(), 3);
    let viewing = add(&mut it, "a", Phase::Waiting, 0, vec![tried("s1", Some(Outcome::TurnedAway))]);
    assert_eq!(it.eligible(&viewing), [ServerId::from("s0"), ServerId::from("s2")]);
}

#[test]
fn the_less_used_of_two_holders_is_picked() {
    let mut it = placement(terms(), 2);
    it.usual_uplink = 0.2;
    it.note_link(&"s0".into(), 0.9, it.now);
    it.note_link(&"s1".into(), 0.2, it.now);
    add(&mut it, "a", Phase::Waiting, 0, vec![]);
    let mut said = Said::default();
    it.tune_in(&mut said);
    assert_eq!(said.0, ["a to 3", "relay s1 350"]);
}

#[test_case(false, true; "within its share others step down for it")]
#[test_case(true, false; "past its share it takes only what is free")]
fn over_share_viewings_take_only_what_is_free(over_share: bool, expected: bool) {
    let mut it = placement(terms(), 1);
    it.terms.link_unit_kb = 15.0;
    playing(&mut it, "b", "s0", 3);
    let viewing = Viewing { over_share, ..add(&mut it, "a", Phase::Waiting, 0, vec![]) };
    assert_eq!(it.has_room(&viewing, &it.servers[&"s0".into()]), expected);
}

// All managers that know the same live titles gather each on the same servers.
#[test]
fn each_server_gathers_one_live_title() {
    let mut it = placement(live(), 8);
    let mut held = Vec::new();
    for title in ["one", "two", "three"] {
        let mut wish = wish(title);
        wish.title = title.into();
        it.take(wish, Phase::Playing, vec![tried("s0", None)], false);
        held.push(it.viewings[&title.into()].clone());
    }
    for id in (0..8).map(|cell| ServerId::from(format!("s{cell}").as_str())) {
        assert_eq!(held.iter().filter(|viewing| it.gathers(viewing, &id)).count(), 1);
    }
    let mut other = wish("recorded");
    other.package = PackageIndex(1);
    let other = Viewing::taken(other, it.now, Rung(0), false);
    assert!(it.gathers(&other, &"s0".into()));
}

// Others' floors are not seen: ten of ours at rung 2 that could all go to rung 0 tell that others could, too.
#[test_case(2, true; "others can go down")]
#[test_case(0, false; "nobody can")]
fn room_is_judged_by_how_far_ones_own_could_go_down(rung: usize, room: bool) {
    let mut it = placement(terms(), 2);
    for vw in 0..100 {
        playing(&mut it, &vw.to_string(), "s1", rung);
    }
    server(&mut it, "s0").seen = Some(Seen { asked: 0.9, own: (0.0, 0.0), at: it.now });
    let viewing = add(&mut it, "new", Phase::Waiting, 0, vec![]);
    assert_eq!(it.has_room(&viewing, &it.servers[&"s0".into()]), room);
}

/// Of two thousand viewings at four holders, one with four times the link of the others, those that it gets.
/// Nothing is known of any of them; the picks are two, the first of which is taken where both are used alike.
#[test_case(false, 950..=1200; "load is told by notes: by what they give, 4 in 7")]
#[test_case(true, 450..=550; "both are asked first: one in four")]
fn holders_that_were_not_heard_of_are_drawn_by_what_they_give(
    probes: bool,
    expected: std::ops::RangeInclusive<usize>,
) {
    let mut it = placement(PlacementConfig { reports_on_probe: probes, ..terms() }, 4);
    it.list(&ServerEntry { weight: 4.0, ..entry("s2", 2) });
    let holders: Vec<ServerId> = (0..4).map(|it| format!("s{it}").as_str().into()).collect();
    let drawn = (0..2000).filter(|_| it.draw_holder(&holders) == 2).count();
    assert!(expected.contains(&drawn), "{drawn}");
}
