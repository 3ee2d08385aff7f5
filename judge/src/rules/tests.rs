use super::*;
use crate::record::{PackageTerms, Shapes, Standing};
use test_case::test_case;

fn terms() -> Terms {
    let package = |may_repeat, floor, seats| PackageTerms { may_repeat, floor, seats, scale: 1.0 };
    Terms {
        drain_grace: 1000.0,
        cold: 8000.0,
        start_capacity: 0.5,
        fall_multiple: 2.0,
        fall: 1000.0,
        budget: Some((1.0, 0.5, 5000.0)),
        packages: [("clips".into(), package(true, 0, 0)), ("rides".into(), package(false, 1, 1))].into(),
        shapes: None,
        ..Terms::default()
    }
}

fn asked(ask: u64, package: &str) -> Event {
    let (package, title) = (package.into(), "t".into());
    Event::Asked { ask, manager: 0, package, title, patience: 1000.0, first: true }
}

fn answered(ask: u64, status: u16) -> Event {
    Event::Answered { ask, status }
}

fn set_up(server: &str, vw: &str, no: usize, package: &str, rung: usize) -> Event {
    let ask = vw[1..].parse().unwrap();
    let (server, vw, package) = (server.into(), vw.into(), package.into());
    Event::SetUp { server, manager: 0, ask, vw, no, title: "t".into(), package, rung }
}

fn set_up_answered(server: &str, vw: &str, no: usize, status: u16) -> Event {
    Event::SetUpAnswered { server: server.into(), vw: vw.into(), no, status }
}

fn closed(server: &str, vw: &str, no: usize) -> Event {
    Event::SetUpClosed { server: server.into(), vw: vw.into(), no }
}

fn told(standing: Standing) -> Event {
    Event::Told { manager: 0, server: "a".into(), standing }
}

fn cold(places: f64) -> Event {
    Event::ServerStarted {
        server: "a".into(),
        cold: true,
        places,
        cell: 0,
        link_kb: 0.0,
        rack: 0,
        uplink_kb: 0.0,
    }
}

/// The rules that are broken by what happened at those times.
fn broken(events: Vec<(f64, Event)>) -> Vec<u8> {
    let lines: Vec<Line> = events.into_iter().map(|(at, event)| Line { at, event }).collect();
    let verdict = judge(&terms(), &lines);
    let broken: Vec<u8> =
        verdict.findings.iter().filter(|it| !it.broken.is_empty()).map(|it| it.rule).collect();
    assert_eq!(verdict.holds(), broken.is_empty());
    broken
}

// Ten viewings asked of a manager of each shape.
#[test_case(2, 2, 6.0, 6.0, true; "alike")]
#[test_case(0, 2, 6.0, 4.0, false; "the new shape is blocked")]
#[test_case(4, 0, 6.0, 6.0, false; "the old shape is blocked")]
#[test_case(0, 0, 6.0, 3.5, true; "within the factor")]
#[test_case(0, 0, 6.0, 2.5, false; "the new shape plays far less")]
#[test_case(0, 0, 2.5, 6.0, false; "the old shape plays far less")]
fn neither_shape_starves(old: u64, new: u64, old_value: f64, new_value: f64, holds: bool) {
    let terms = Terms { shapes: Some(Shapes { new_from: 1, factor: 2.0 }), ..terms() };
    let mut events = Vec::new();
    for (manager, blocked, earned) in [(0, old, old_value), (1, new, new_value)] {
        for it in 0..10 {
            let ask = it + 100 * manager as u64;
            let (package, title) = ("clips".into(), "t".into());
            events.push(Event::Asked { ask, manager, package, title, patience: 1000.0, first: true });
            events.push(answered(ask, if it < blocked { 503 } else { 200 }));
            events.push(Event::Watched { ask, offered: 8.0, earned, stalled: 0.0 });
        }
    }
    let lines: Vec<Line> = events.into_iter().map(|event| Line { at: 0.0, event }).collect();
    assert_eq!(judge(&terms, &lines).holds(), holds);
}

const END: f64 = 90_000.0;

fn end() -> (f64, Event) {
    (END, Event::Fault { name: "end".into(), on: false, what: String::new() })
}

/// A viewing that plays, as it should be.
fn well() -> Vec<(f64, Event)> {
    vec![
        (0.0, asked(1, "clips")),
        (10.0, set_up("a", "v1", 0, "clips", 2)),
        (20.0, set_up_answered("a", "v1", 0, 201)),
        (30.0, answered(1, 200)),
    ]
}

#[test]
fn what_is_well_breaks_nothing() {
    assert!(broken([well(), vec![end()]].concat()).is_empty());
}

#[test_case(vec![(500.0, answered(1, 200))] => vec![1]; "a second answer")]
#[test_case(vec![(500.0, answered(7, 200))] => vec![1]; "an answer to nobody")]
fn rule_1_sees_answers_too_many(more: Vec<(f64, Event)>) -> Vec<u8> {
    broken([well(), more, vec![end()]].concat())
}

#[test_case(vec![(1300.0, answered(1, 503))] => vec![1]; "late")]
#[test_case(vec![(1000.0, Event::GaveUp { ask: 1 })] => vec![1]; "none")]
#[test_case(vec![(500.0, Event::Broke { ask: 1 })] => vec![1]; "cut off")]
#[test_case(vec![] => vec![1]; "never settled")]
#[test_case(vec![(100.0, Event::CoreStopped { manager: 0 }), (1000.0, Event::GaveUp { ask: 1 })] => Vec::<u8>::new(); "unread at a core that stood still")]
#[test_case(vec![(100.0, Event::CoreStopped { manager: 0 }), (1300.0, answered(1, 503))] => vec![1]; "taken by a core that stood still, and late")]
#[test_case(vec![(9000.0, Event::ManagerKilled { manager: 0 })] => vec![1]; "never settled, and its manager died later")]
#[test_case(vec![(500.0, Event::Left { ask: 1 })] => Vec::<u8>::new(); "the viewer left")]
#[test_case(vec![(400.0, Event::ManagerKilled { manager: 0 }), (500.0, Event::Broke { ask: 1 })] => Vec::<u8>::new(); "its manager was killed")]
#[test_case(vec![(400.0, Event::ManagerKilled { manager: 1 }), (500.0, Event::Broke { ask: 1 })] => vec![1]; "another manager was killed")]
#[test_case(vec![(400.0, Event::ManagerTold { manager: 0 }), (700.0, Event::ManagerEnded { manager: 0 }), (710.0, Event::Broke { ask: 1 })] => vec![1]; "its manager was told to end, and owed it")]
#[test_case(vec![(0.0, Event::ManagerTold { manager: 0 }), (10.0, Event::Broke { ask: 1 })] => Vec::<u8>::new(); "its manager was told to end before it came")]
#[test_case(vec![(0.0, Event::ManagerTold { manager: 0 }), (20.0, answered(1, 200)), (30.0, answered(1, 200))] => vec![1]; "at its end a manager answers once too")]
#[test_case(vec![(400.0, Event::ManagerStopped { manager: 0 }), (2400.0, Event::ManagerContinued { manager: 0 }), (2500.0, answered(1, 503))] => Vec::<u8>::new(); "its manager was stopped")]
#[test_case(vec![(400.0, Event::ManagerStopped { manager: 0 }), (2400.0, Event::ManagerContinued { manager: 0 }), (4500.0, answered(1, 503))] => vec![1]; "late even so")]
fn rule_1_wants_an_answer_in_time(then: Vec<(f64, Event)>) -> Vec<u8> {
    broken([vec![(0.0, asked(1, "clips"))], then, vec![end()]].concat())
}

#[test_case(80.0 => Vec::<u8>::new(); "what was called off on its way gets there a moment after the next")]
#[test_case(320.0 => vec![2]; "it gets there long after")]
fn rule_2_knows_what_is_on_its_way(late: f64) -> Vec<u8> {
    let lines = vec![
        (0.0, asked(1, "clips")),
        (300.0, set_up("b", "v1", 1, "clips", 2)),
        (310.0, set_up_answered("b", "v1", 1, 201)),
        (320.0, answered(1, 200)),
        (300.0 + late, set_up("a", "v1", 0, "clips", 2)),
        (310.0 + late, closed("a", "v1", 0)),
        end(),
    ];
    broken(lines)
}

#[test_case("clips", vec![(400.0, closed("a", "v1", 0)), (410.0, set_up("b", "v1", 1, "clips", 2))] => Vec::<u8>::new(); "safe, after the first was closed")]
#[test_case("clips", vec![(400.0, set_up("b", "v1", 1, "clips", 2)), (800.0, closed("a", "v1", 0))] => vec![2]; "two out at once")]
#[test_case("rides", vec![(400.0, closed("a", "v1", 0)), (410.0, set_up("b", "v1", 1, "rides", 2))] => vec![2]; "unsafe, the first may have run")]
#[test_case("rides", vec![(400.0, set_up_answered("a", "v1", 0, 503)), (410.0, set_up("b", "v1", 1, "rides", 2))] => Vec::<u8>::new(); "unsafe, the first was turned away")]
#[test_case("rides", vec![(400.0, set_up_answered("a", "v1", 0, 500)), (410.0, answered(1, 503))] => vec![2]; "unsafe, blocked after it may have run")]
#[test_case("rides", vec![(400.0, set_up_answered("a", "v1", 0, 500)), (410.0, answered(1, 502))] => Vec::<u8>::new(); "unsafe, aborted")]
fn rule_2_sees_what_may_run_twice(package: &str, then: Vec<(f64, Event)>) -> Vec<u8> {
    let first = vec![(0.0, asked(1, package)), (10.0, set_up("a", "v1", 0, package, 2))];
    let left = (900.0, Event::Left { ask: 1 });
    broken([first, then, vec![left, end()]].concat()).into_iter().filter(|it| *it != 6).collect()
}

#[test_case(vec![(0.0, told(Standing::Draining)), (900.0, set_up("a", "v1", 0, "clips", 2))] => Vec::<u8>::new(); "within the grace")]
#[test_case(vec![(0.0, told(Standing::Draining)), (1300.0, set_up("a", "v1", 0, "clips", 2))] => vec![3]; "after it")]
#[test_case(vec![(0.0, told(Standing::Draining)), (900.0, told(Standing::Gone)), (1300.0, set_up("a", "v1", 0, "clips", 2))] => vec![3]; "gone does not begin anew")]
#[test_case(vec![(0.0, told(Standing::Draining)), (900.0, told(Standing::Up)), (1300.0, set_up("a", "v1", 0, "clips", 2))] => Vec::<u8>::new(); "up again")]
#[test_case(vec![(0.0, told(Standing::Draining)), (10.0, Event::ManagerKilled { manager: 0 }), (1300.0, set_up("a", "v1", 0, "clips", 2))] => Vec::<u8>::new(); "a new manager has not been told")]
fn rule_3_counts_from_being_told(events: Vec<(f64, Event)>) -> Vec<u8> {
    broken(events)
}

#[test_case(8.0, 2 => Vec::<u8>::new(); "within")]
#[test_case(8.0, 4 => vec![4]; "past it")]
#[test_case(32.0, 4 => Vec::<u8>::new(); "more places take more")]
fn rule_4_counts_all_managers(places: f64, count: usize) -> Vec<u8> {
    let mut events = vec![(0.0, cold(places))];
    for ix in 0..count {
        let at = 100.0 + 10.0 * ix as f64;
        let vw = format!("v{ix}");
        events.push((at, set_up("a", &vw, 0, "clips", 2)));
    }
    broken(events)
}

#[test]
fn rule_4_sees_a_fall() {
    assert_eq!(broken(vec![(0.0, Event::Fell { server: "a".into() })]), [4]);
}

#[test_case(vec![(0.0, set_up("a", "v1", 0, "rides", 0))] => vec![5]; "set up under the floor")]
#[test_case(vec![(0.0, set_up("a", "v1", 0, "rides", 1)), (9.0, Event::Rung { server: "a".into(), vw: "v1".into(), rung: 0 })] => vec![5]; "stepped under the floor")]
#[test_case(vec![(0.0, set_up("a", "v1", 0, "rides", 1)), (500.0, set_up("b", "v2", 0, "rides", 1))] => vec![5]; "a seat too many")]
#[test_case(vec![(0.0, set_up("a", "v1", 0, "rides", 1)), (400.0, Event::Ended { server: "a".into(), vw: "v1".into() }), (500.0, set_up("b", "v2", 0, "rides", 1))] => Vec::<u8>::new(); "the seat was free again")]
#[test_case(vec![(0.0, set_up("a", "v1", 0, "rides", 1)), (400.0, Event::ServerEnded { server: "a".into() }), (500.0, set_up("b", "v2", 0, "rides", 1))] => Vec::<u8>::new(); "its server died")]
fn rule_5_knows_floors_and_seats(events: Vec<(f64, Event)>) -> Vec<u8> {
    broken(events)
}

#[test_case(2, 2 => Vec::<u8>::new(); "within")]
#[test_case(2, 3 => vec![6]; "past it")]
#[test_case(4, 3 => Vec::<u8>::new(); "more taken, more allowed")]
fn rule_6_counts_further_tune_ins(taken: u64, further: u64) -> Vec<u8> {
    let mut events: Vec<(f64, Event)> = Vec::new();
    for ask in 1..=taken {
        events.push((0.0, asked(ask, "clips")));
        events.push((1.0, answered(ask, 200)));
    }
    for it in 1..=further {
        events.push((10.0, set_up("a", &format!("v{it}"), 1, "clips", 1)));
    }
    broken(events)
}

#[test]
fn a_flaw_in_a_playlist_counts() {
    let line = Line { at: 0.0, event: Event::Flaw { ask: 1, what: "no map".into() } };
    assert!(!judge(&terms(), &[line]).holds());
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let lines: Vec<Line> = [vec![(0.0, Event::Begins { terms: terms() })], well()]
        .concat()
        .into_iter()
        .map(|(at, event)| Line { at, event })
        .collect();
    let text: Vec<String> = lines.iter().map(|it| serde_json::to_string(it).unwrap()).collect();
    let (read_terms, read) = crate::record::read(text.join("\n").as_bytes()).unwrap();
    assert_eq!((read_terms, read), (terms(), lines));
    assert!(crate::record::read("{\"at\":0.0}".as_bytes()).is_err());
    assert!(crate::record::read("".as_bytes()).is_err());
}
