//! Which requests are accepted.

use super::harness::{all_set_ups, config, contains, playing, set_up, Harness};
use crate::{Ms, RequestId, TitleRequest};
use test_case::test_case;

#[test]
fn a_drain_blocks_new_requests_and_answers_waiting_ones() {
    let mut harness = Harness::new();
    let first = set_up(&harness.request("clips"));
    harness.call(|front, now, _| front.drain(now));
    let effects = harness.request("clips");
    assert!(contains(&effects, "reply 2 Blocked { stay_away: Some(1000.0) }"));
    assert_eq!(harness.front.waiting_requests(), 1);
    assert!(contains(&harness.end_set_up(&first, playing()), "reply 1 Playlist"));
    assert_eq!(harness.front.waiting_requests(), 0);
    assert!(harness.front.is_draining());
    harness.call(|front, now, _| front.resume(now));
    assert!(!harness.front.is_draining());
    assert_eq!(all_set_ups(&harness.request("clips")).len(), 1, "accepted again");
}

#[test]
fn a_front_is_ready_once_the_list_includes_all_starts_and_while_it_accepts_requests() {
    let is_ready = |harness: &mut Harness| harness.front.is_ready(Ms(harness.now));
    let mut config = config();
    config.cold.warm_up = Ms(9_000.0);
    assert!(!is_ready(&mut Harness::without_lists()));
    let mut harness = Harness::with_config(config).with_lists();
    assert!(!is_ready(&mut harness), "servers that started earlier may not be listed yet");
    harness.now += 1_999.0;
    assert!(!is_ready(&mut harness));
    harness.now += 1.0;
    assert!(is_ready(&mut harness));
    harness.call(|front, now, _| front.drain(now));
    assert!(!is_ready(&mut harness));
}

#[test]
fn without_a_title_list_requests_are_blocked_and_no_title_is_unknown() {
    let mut harness = Harness::without_lists();
    let effects = harness.request("clips");
    assert!(contains(&effects, "reply 1 Blocked { stay_away: Some(1000.0) }"));
    let mut harness = harness.with_lists();
    assert_eq!(all_set_ups(&harness.request("clips")).len(), 1);
}

#[test]
fn a_full_queue_blocks_further_requests() {
    let mut harness = Harness::new();
    for _ in 0..8 {
        assert!(!contains(&harness.request("clips"), "reply"));
    }
    assert!(contains(&harness.request("clips"), "reply 9 Blocked"));
    let rejected = harness.front.counts().turned_away_untaken;
    assert_eq!((harness.front.waiting_requests(), rejected), (8, 1));
}

#[test_case(|request| request.title = "x".into(), "Unknown"; "unknown title")]
#[test_case(|request| request.package = "x".into(), "Unfit"; "unknown package")]
#[test_case(|request| request.tenant = Some("x".into()), "Unfit"; "unknown tenant")]
#[test_case(|request| request.patience_ms = f64::NAN, "Unfit"; "patience that is not a number")]
#[test_case(|request| request.patience_ms = 1e18, "Unfit"; "excessive patience")]
fn an_invalid_request_is_rejected(change: fn(&mut TitleRequest), expected: &str) {
    let mut harness = Harness::new();
    let mut request = TitleRequest {
        title: "t".into(),
        package: "clips".into(),
        tenant: None,
        max_rung: 1,
        patience_ms: 4000.0,
    };
    change(&mut request);
    let effects =
        harness.call(|front, now, effects| front.request_title(now, RequestId(1), request, effects));
    assert!(contains(&effects, expected) && effects.len() == 1, "{effects:?}");
    assert_eq!(harness.front.viewing_count(), 0);
}
