//! Lists of servers, and probes.

use super::harness::{all_set_ups, config, contains, playing, set_up, three_servers, Harness};
use crate::config::PlacementConfig;
use crate::{Ms, PROBE_TIMEOUT};
use ottersail_wire::catalogue::Standing;
use ottersail_wire::report::Report;

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut harness = Harness::new();
    let list = three_servers([Standing::Draining, Standing::Up, Standing::Draining]);
    harness.call(|front, now, effects| front.servers_listed(now, 2, &list, effects));
    for _ in 0..6 {
        let sent = set_up(&harness.request("clips"));
        assert_eq!(sent.server, "box-1");
        harness.end_set_up(&sent, playing());
    }
    // An outdated list does not bring servers back; a missing server is gone.
    let outdated = three_servers([Standing::Up; 3]);
    harness.call(|front, now, effects| front.servers_listed(now, 1, &outdated, effects));
    assert_eq!(set_up(&harness.request("clips")).server, "box-1");
    harness.call(|front, now, effects| front.servers_listed(now, 3, &list[..1], effects));
    assert!(contains(&harness.request("clips"), "Blocked"));
}

/// The servers that were probed.
fn probes(lines: &[String]) -> Vec<String> {
    let server =
        |line: &String| line.strip_prefix("probe ").map(|rest| rest.split(' ').next().unwrap().to_string());
    lines.iter().filter_map(server).collect()
}

/// Load is reported only to probes.
fn probing() -> Harness {
    let config = PlacementConfig { reports_on_probe: true, report_interval: Ms(0.0), ..config() };
    Harness::with_config(config).with_lists()
}

#[test]
fn two_candidates_are_probed_and_the_less_loaded_is_chosen() {
    let mut harness = probing();
    let probed = probes(&harness.request("clips"));
    assert_eq!(probed.len(), 2, "the two candidates");
    let report = |link| Some(Report { link: Some(link), ..Report::default() });
    let (first, second) = (probed[0].as_str().into(), probed[1].as_str().into());
    let effects = harness.call(|front, now, effects| front.probe_ended(now, &first, report(0.1), effects));
    assert!(all_set_ups(&effects).is_empty());
    let effects = harness.call(|front, now, effects| front.probe_ended(now, &second, report(0.9), effects));
    assert_eq!(set_up(&effects).server, probed[0]);
    // A repeated or unsolicited answer changes nothing.
    let effects = harness.call(|front, now, effects| front.probe_ended(now, &first, report(0.9), effects));
    assert!(effects.is_empty());
}

#[test]
fn a_probe_without_an_answer_times_out() {
    let mut harness = probing();
    let probed = probes(&harness.request("clips"));
    let again = probes(&harness.request("clips"));
    let repeated = again.iter().filter(|server| probed.contains(server)).count();
    assert_eq!(repeated, 0, "one probe at a time for each server");
    assert!(!all_set_ups(&harness.advance(PROBE_TIMEOUT.0)).is_empty());
    let counts = harness.front.counts();
    assert!(counts.probes >= 2 && counts.probes <= 3, "{counts:?}");
}

#[test]
fn draining_servers_are_not_probed() {
    let mut harness = probing();
    let list = three_servers([Standing::Up, Standing::Draining, Standing::Draining]);
    harness.call(|front, now, effects| front.servers_listed(now, 2, &list, effects));
    for _ in 0..5 {
        assert!(probes(&harness.request("clips")).iter().all(|server| server == "box-0"));
    }
}

#[test]
fn no_server_is_probed_where_load_is_reported_in_answers() {
    assert!(probes(&Harness::new().request("clips")).is_empty());
}
