//! Tune-ins that fail or end too late.

use super::harness::{all_set_ups, contains, playing, set_up, Harness, PLAYLIST};
use crate::{RequestId, SetUpEnd};

#[test]
fn a_late_answer_to_a_timed_out_set_up_changes_nothing() {
    let mut harness = Harness::new();
    let first = set_up(&harness.request("clips"));
    let effects = harness.advance(300.0);
    let second = set_up(&effects);
    assert!(contains(&effects, &format!("call_off {} 0", first.viewing)), "{effects:?}");
    assert_eq!((second.tune_in, &second.viewing), (1, &first.viewing));
    assert_ne!(second.server, first.server);
    assert_eq!(harness.end_set_up(&first, playing()), Vec::<String>::new());
    assert!(contains(&harness.end_set_up(&second, playing()), "reply 1 Playlist"));
}

#[test]
fn an_answer_after_the_patience_ended_changes_nothing() {
    let mut harness = Harness::new();
    let first = set_up(&harness.request("rides"));
    let effects = harness.advance(4000.0);
    assert!(contains(&effects, "reply 1 Aborted { late: true }"), "{effects:?}");
    assert_eq!(all_set_ups(&effects), [], "an unsafe package is not sent again");
    assert_eq!(harness.end_set_up(&first, playing()), Vec::<String>::new());
    assert_eq!(harness.front.viewing_count(), 0);
}

#[test]
fn a_viewer_who_leaves_frees_the_seat_at_once() {
    let mut harness = Harness::new();
    let first = set_up(&harness.request("rides"));
    assert!(contains(&harness.request("rides"), "reply 2 Blocked"), "one seat for the title");
    let effects = harness.call(|front, now, out| front.request_closed(now, RequestId(1), out));
    assert!(contains(&effects, &format!("call_off {} 0", first.viewing)), "{effects:?}");
    assert_eq!(all_set_ups(&harness.request("rides")).len(), 1, "the seat is free again");
    assert!(!contains(&harness.lines, "reply 1 "), "nobody waits for that answer any more");
}

#[test]
fn an_invalid_playlist_counts_as_a_server_error() {
    let mut harness = Harness::new();
    let first = set_up(&harness.request("clips"));
    let effects = harness.end_set_up(&first, SetUpEnd::Playing { playlist: PLAYLIST[..60].into() });
    assert!(contains(&effects, &format!("call_off {} 0", first.viewing)), "{effects:?}");
    assert_eq!(set_up(&effects).tune_in, 1);
}
