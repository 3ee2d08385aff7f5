//! What is taken and what is not.

use super::stage::{all_set_ups, has, playing, set_up, terms, Stage};
use crate::{Ms, RequestId, TitleRequest};
use test_case::test_case;

#[test]
fn a_drain_blocks_what_is_new_and_answers_what_is_out() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("clips"));
    stage.does(|front, now, _| front.drain(now));
    assert!(has(&stage.asks("clips"), "reply 2 Blocked { stay_away: Some(1000.0) }"));
    assert_eq!(stage.front.waiting_requests(), 1);
    assert!(has(&stage.ends(&first, playing()), "reply 1 Playlist"));
    assert_eq!(stage.front.waiting_requests(), 0);
    assert!(stage.front.is_draining());
    stage.does(|front, now, _| front.resume(now));
    assert!(!stage.front.is_draining());
    assert_eq!(all_set_ups(&stage.asks("clips")).len(), 1, "taken again");
}

#[test]
fn one_is_whole_that_takes_viewings_and_has_ended_its_first_doubts() {
    let whole = |stage: &mut Stage| {
        let mut is = false;
        stage.does(|front, now, _| is = front.is_ready(now));
        is
    };
    let mut warm = terms();
    warm.cold.warm_up = Ms(9_000.0);
    assert!(!whole(&mut Stage::untold()));
    let mut stage = Stage::of(warm).told();
    assert!(!whole(&mut stage), "what had started before it may not be listed yet");
    stage.now += 1_999.0;
    assert!(!whole(&mut stage));
    stage.now += 1.0;
    assert!(whole(&mut stage));
    stage.does(|front, now, _| front.drain(now));
    assert!(!whole(&mut stage));
}

#[test]
fn until_titles_are_told_nothing_is_taken_or_called_unknown() {
    let mut stage = Stage::untold();
    assert!(has(&stage.asks("clips"), "reply 1 Blocked { stay_away: Some(1000.0) }"));
    let mut stage = stage.told();
    assert_eq!(all_set_ups(&stage.asks("clips")).len(), 1);
}

#[test]
fn a_full_queue_turns_away_what_it_has_not_taken() {
    let mut stage = Stage::new();
    for _ in 0..8 {
        assert!(!has(&stage.asks("clips"), "reply"));
    }
    assert!(has(&stage.asks("clips"), "reply 9 Blocked"));
    assert_eq!((stage.front.waiting_requests(), stage.front.counts().turned_away_untaken), (8, 1));
}

#[test_case(|it| it.title = "x".into(), "Unknown"; "no such title")]
#[test_case(|it| it.package = "x".into(), "Unfit"; "no such package")]
#[test_case(|it| it.tenant = Some("x".into()), "Unfit"; "no such tenant")]
#[test_case(|it| it.patience_ms = f64::NAN, "Unfit"; "patience that is no number")]
#[test_case(|it| it.patience_ms = 1e18, "Unfit"; "endless patience")]
fn what_can_be_no_request_is_not_taken(change: fn(&mut TitleRequest), expected: &str) {
    let mut stage = Stage::new();
    let mut asked = TitleRequest {
        title: "t".into(),
        package: "clips".into(),
        tenant: None,
        max_rung: 1,
        patience_ms: 4000.0,
    };
    change(&mut asked);
    let said = stage.does(|front, now, out| front.request_title(now, RequestId(1), asked, out));
    assert!(has(&said, expected) && said.len() == 1, "{said:?}");
    assert_eq!(stage.front.viewing_count(), 0);
}
