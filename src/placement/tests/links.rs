//! A link's part, and what is seen of links.

use super::*;
use test_case::test_case;

// Two of our viewings ask 20 of a link of 100; the others are counted by our mean rate of 10.
#[test_case(0.5, 2.0, 40.0; "two of five may ask two fifths of all")]
#[test_case(1.25, 2.0, 16.0; "each gives up in proportion")]
#[test_case(0.1, 2.0, 200.0; "more of our own than is seen makes the link larger")]
#[test_case(0.5, 3.0, 50.0; "a newcomer's part is counted in")]
fn claim_is_a_part_by_viewings(asked: f64, n: f64, expected: f64) {
    let own = (20.0, 2.0);
    let link = Pipe { told: 100.0, seen: Seen { asked, own, at: Ms(0.0) }, own };
    assert!((placement(terms(), 0).claim(&link, n, 1.0) - expected).abs() < 1e-9);
}

#[test]
fn own_use_is_taken_as_of_the_note() {
    let mut it = placement(terms(), 1);
    playing(&mut it, "a", "s0", 3);
    it.now = Ms(100_500.0);
    it.amend(&"a".into(), |it| it.rung = Rung(2));
    it.note_link(&"s0".into(), 0.9, Ms(100_200.0));
    assert_eq!((it.servers[&"s0".into()].seen.unwrap().own.0, it.servers[&"s0".into()].own.0), (8.0, 4.0));
}

// A crowd came to 300 managers at once: each filled links by what was seen of them before it came.
#[test_case(8, 8, 0.0, 0.7; "nothing came since")]
#[test_case(8, 20, 0.0, 1.2; "what came to this manager came to all")]
#[test_case(20, 8, 0.0, 0.45; "what went too")]
#[test_case(20, 8, -1.0, 0.7; "not what was lost with its server")]
#[test_case(0, 40, 0.0, 1.2; "up to a bound")]
#[test_case(8, 20, 99_900.0, 0.7; "not by what was handed over")]
#[test_case(0, 0, 0.0, 0.7; "nothing is held")]
fn what_was_seen_is_carried_on(before: usize, after: usize, handed_over: f64, expected: f64) {
    let mut it = placement(terms(), 3);
    it.whole_since = Ms(handed_over);
    it.now = Ms(98_000.0);
    for vw in 0..before {
        playing(&mut it, &format!("{vw}"), "s1", 2);
    }
    it.now = Ms(99_950.0);
    it.look(&"s1".into(), Ms(1e9));
    for vw in after..before {
        let (vw, server) = (format!("{vw}").as_str().into(), "s1".into());
        let outcome = if handed_over < 0.0 { Outcome::ConnectionLost } else { Outcome::Served };
        let (load, mut said) = (Load::default(), Said::default());
        it.tune_in_ended(it.now, &vw, TuneInIndex(0), &server, outcome, true, load, &mut said);
    }
    for vw in before..after {
        playing(&mut it, &format!("{vw}"), "s1", 2);
    }
    it.now = Ms(100_000.0);
    // A fifth is this manager's own, which is known.
    let seen = Seen { asked: 0.7, own: (20.0, 5.0), at: Ms(99_000.0) };
    let carried = it.carried(100.0, seen).asked;
    assert!((carried - expected).abs() < 1e-6, "{carried}");
}

#[test]
fn places_stand_in_for_weights_that_are_not_told() {
    let places = [(HardwareKind::from("k"), 20.0), (HardwareKind::from("large"), 60.0)].into();
    let mut it = placement(PlacementConfig { weights_listed: false, places_by_kind: places, ..terms() }, 1);
    let large = ServerEntry { kind: "large".into(), ..entry("s1", 1) };
    it.update_servers(it.now, ListMode::Incremental, &[large], &mut Said::default());
    let kb = |id: &str| it.link_kb(&it.servers[&id.into()]);
    assert_eq!((kb("s0"), kb("s1")), (50.0, 150.0));
}

// A manager that held one kept slot of 37 took links that tell nothing for nearly full.
#[test]
fn what_is_usual_goes_by_managers_and_not_by_slots() {
    let mut it = placement(PlacementConfig { manager_count: 5.0, ..terms() }, 1);
    let before = it.usually(0.9, 100.0, (10.0, 1.0)).asked;
    it.set_slots(Ms(0.0), &[36], 37.0);
    assert_eq!(it.usually(0.9, 100.0, (10.0, 1.0)).asked, before);
    assert!((before - (0.9 * 0.8 + 0.1)).abs() < 1e-9);
}
