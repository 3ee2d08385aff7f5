//! Lists of servers, and probes of those on them.

use super::stage::{all_set_ups, has, playing, set_up, terms, three, Stage};
use crate::config::PlacementConfig;
use crate::{Ms, PROBE_TIMEOUT};
use ottersail_wire::catalogue::Standing;
use ottersail_wire::report::Report;

#[test]
fn nothing_new_goes_to_a_server_told_to_drain() {
    let mut stage = Stage::new();
    let list = three([Standing::Draining, Standing::Up, Standing::Draining]);
    stage.does(|front, now, out| front.servers_listed(now, 2, &list, out));
    for _ in 0..6 {
        let said = set_up(&stage.asks("clips"));
        assert_eq!(said.server, "box-1");
        stage.ends(&said, playing());
    }
    // A list from before does not bring them back; a missing one is gone.
    stage.does(|front, now, out| front.servers_listed(now, 1, &three([Standing::Up; 3]), out));
    assert_eq!(set_up(&stage.asks("clips")).server, "box-1");
    stage.does(|front, now, out| front.servers_listed(now, 3, &list[..1], out));
    assert!(has(&stage.asks("clips"), "Blocked"));
}

fn probes(said: &[String]) -> Vec<String> {
    let server = |it: &String| it.strip_prefix("probe ").map(|it| it.split(' ').next().unwrap().to_string());
    said.iter().filter_map(server).collect()
}

fn probing() -> Stage {
    Stage::of(PlacementConfig { reports_on_probe: true, report_interval: Ms(0.0), ..terms() }).told()
}

#[test]
fn load_is_asked_and_the_answers_decide() {
    let mut stage = probing();
    let asked = probes(&stage.asks("clips"));
    assert_eq!(asked.len(), 2, "the two picks");
    let report = |link| Some(Report { link: Some(link), ..Report::default() });
    let first = asked[0].as_str().into();
    let said = stage.does(|front, now, out| front.probe_ended(now, &first, report(0.1), out));
    assert!(all_set_ups(&said).is_empty());
    let said =
        stage.does(|front, now, out| front.probe_ended(now, &asked[1].as_str().into(), report(0.9), out));
    assert_eq!(set_up(&said).server, asked[0]);
    // An answer that comes twice, or unasked, changes nothing.
    assert!(stage.does(|front, now, out| front.probe_ended(now, &first, report(0.9), out)).is_empty());
}

#[test]
fn a_probe_without_an_answer_is_given_up() {
    let mut stage = probing();
    let asked = probes(&stage.asks("clips"));
    assert_eq!(
        probes(&stage.asks("clips")).iter().filter(|it| asked.contains(it)).count(),
        0,
        "one out at each"
    );
    assert!(!all_set_ups(&stage.passes(PROBE_TIMEOUT.0)).is_empty());
    let counts = stage.front.counts();
    assert!(counts.probes >= 2 && counts.probes <= 3, "{counts:?}");
}

#[test]
fn nothing_is_probed_that_drains_or_is_gone() {
    let mut stage = probing();
    stage.does(|front, now, out| {
        front.servers_listed(now, 2, &three([Standing::Up, Standing::Draining, Standing::Draining]), out)
    });
    for _ in 0..5 {
        assert!(probes(&stage.asks("clips")).iter().all(|it| it == "box-0"));
    }
}

#[test]
fn load_that_answers_tell_is_not_asked() {
    assert!(probes(&Stage::new().asks("clips")).is_empty());
}
