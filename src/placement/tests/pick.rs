//! The choice of a holder.

use super::*;
use test_case::test_case;

#[test_case(|server| server.entry.availability = Availability::Leaving; "rule 3, draining")]
#[test_case(|server| server.entry.availability = Availability::Gone; "rule 3, gone")]
#[test_case(|server| server.avoid_until = Ms(100_001.0); "avoided after a failure")]
#[test_case(|server| server.entry.cell = Cell(4); "does not hold the title")]
#[test_case(|server| server.entry.weight = 0.0; "no room")]
fn a_server_is_not_eligible(change: fn(&mut Server)) {
    let mut placement = placement_with(config(), 2);
    let before = placement.servers[&"s0".into()].entry.clone();
    change(server_mut(&mut placement, "s0"));
    let entry = std::mem::replace(&mut server_mut(&mut placement, "s0").entry, before);
    placement.update_server(&entry);
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, vec![]);
    assert_eq!(placement.eligible(&viewing), [ServerId::from("s1")]);
}

#[test]
fn untried_holders_come_before_one_that_failed() {
    let mut placement = placement_with(config(), 3);
    let earlier = vec![tune_in_at("s1", Some(Outcome::TurnedAway))];
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, earlier);
    assert_eq!(placement.eligible(&viewing), [ServerId::from("s0"), ServerId::from("s2")]);
}

#[test]
fn the_less_loaded_of_two_holders_is_chosen() {
    let mut placement = placement_with(config(), 2);
    placement.mean_uplink_load = 0.2;
    placement.record_link_load(&"s0".into(), 0.9, placement.now);
    placement.record_link_load(&"s1".into(), 0.2, placement.now);
    insert_viewing(&mut placement, "a", Phase::Waiting, 0, vec![]);
    let mut actions = RecordedActions::default();
    placement.tune_in(&mut actions);
    assert_eq!(actions.0, ["a to 3", "tune_in s1 350"]);
}

#[test_case(false, true; "within its allowance others step down for it")]
#[test_case(true, false; "beyond its allowance it uses only what is free")]
fn viewings_beyond_an_allowance_use_only_free_capacity(over_share: bool, expected: bool) {
    let mut placement = placement_with(config(), 1);
    placement.config.link_unit_kb = 15.0;
    insert_playing(&mut placement, "b", "s0", 3);
    let waiting = insert_viewing(&mut placement, "a", Phase::Waiting, 0, vec![]);
    let viewing = Viewing { over_share, ..waiting };
    assert_eq!(placement.has_room(&viewing, &placement.servers[&"s0".into()]), expected);
}

/// All managers with the same live titles prefer the same servers for each.
#[test]
fn each_server_is_preferred_for_one_live_title() {
    let mut placement = placement_with(live_config(), 8);
    let mut held = Vec::new();
    for title in ["one", "two", "three"] {
        let request = ViewingRequest { title: title.into(), ..request(title) };
        placement.add_viewing(request, Phase::Playing, vec![tune_in_at("s0", None)], false);
        held.push(placement.viewings[&title.into()].clone());
    }
    for id in (0..8).map(|cell| ServerId::from(format!("s{cell}").as_str())) {
        assert_eq!(held.iter().filter(|viewing| placement.is_preferred_for(viewing, &id)).count(), 1);
    }
    let recorded = ViewingRequest { package: PackageIndex(1), ..request("recorded") };
    let recorded = Viewing::accepted(recorded, placement.now, Rung(0), false);
    assert!(placement.is_preferred_for(&recorded, &"s0".into()));
}

/// The other managers' floors are unknown. A hundred own viewings at rung 2 that could go to rung 0 indicate
/// that the others could, too.
#[test_case(2, true; "others can go down")]
#[test_case(0, false; "none can")]
fn room_is_estimated_by_how_far_own_viewings_can_go_down(rung: usize, room: bool) {
    let mut placement = placement_with(config(), 2);
    for number in 0..100 {
        insert_playing(&mut placement, &number.to_string(), "s1", rung);
    }
    let sample = LoadSample { load: 0.9, demand: Demand::ZERO, at: placement.now };
    server_mut(&mut placement, "s0").sample = Some(sample);
    let viewing = insert_viewing(&mut placement, "new", Phase::Waiting, 0, vec![]);
    assert_eq!(placement.has_room(&viewing, &placement.servers[&"s0".into()]), room);
}

/// Of 2000 draws among four holders of unknown load, those of one with four times the link of the others.
#[test_case(false, 950..=1200; "load in notes: by capacity, 4 in 7")]
#[test_case(true, 450..=550; "load on probes: one in four")]
fn holders_of_unknown_load_are_drawn_by_capacity(
    reports_on_probe: bool,
    expected: std::ops::RangeInclusive<usize>,
) {
    let mut placement = placement_with(PlacementConfig { reports_on_probe, ..config() }, 4);
    placement.update_server(&ServerEntry { weight: 4.0, ..entry("s2", 2) });
    let holders: Vec<ServerId> = (0..4).map(|cell| format!("s{cell}").as_str().into()).collect();
    let drawn = (0..2000).filter(|_| placement.draw_holder(&holders) == 2).count();
    assert!(expected.contains(&drawn), "{drawn}");
}
