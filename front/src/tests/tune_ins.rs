//! Tune-ins that come to nothing, or too late.

use super::stage::{all_set_ups, has, playing, set_up, Stage, LIST};
use crate::{RequestId, SetUpEnd};

#[test]
fn a_late_answer_of_a_timed_out_set_up_changes_nothing() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("clips"));
    let said = stage.passes(300.0);
    let second = set_up(&said);
    assert!(has(&said, &format!("call_off {} 0", first.vw)), "{said:?}");
    assert_eq!((second.no, &second.vw), (1, &first.vw));
    assert_ne!(second.server, first.server);
    assert_eq!(stage.ends(&first, playing()), Vec::<String>::new());
    assert!(has(&stage.ends(&second, playing()), "reply 1 Playlist"));
}

#[test]
fn an_answer_after_the_viewer_gave_up_changes_nothing() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("rides"));
    let said = stage.passes(4000.0);
    assert!(has(&said, "reply 1 Aborted { late: true }"), "{said:?}");
    assert_eq!(all_set_ups(&said), [], "an unsafe package is not sent again");
    assert_eq!(stage.ends(&first, playing()), Vec::<String>::new());
    assert_eq!(stage.front.viewing_count(), 0);
}

#[test]
fn a_viewer_who_leaves_frees_the_place_at_once() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("rides"));
    assert!(has(&stage.asks("rides"), "reply 2 Blocked"), "one seat for the title");
    let said = stage.does(|front, now, out| front.request_closed(now, RequestId(1), out));
    assert!(has(&said, &format!("call_off {} 0", first.vw)), "{said:?}");
    assert_eq!(all_set_ups(&stage.asks("rides")).len(), 1, "the seat can be had again");
    assert!(!has(&stage.said, "reply 1 "), "nobody waits for an answer any more");
}

#[test]
fn an_unfit_playlist_is_a_servers_error() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("clips"));
    let said = stage.ends(&first, SetUpEnd::Playing { playlist: LIST[..60].into() });
    assert!(has(&said, &format!("call_off {} 0", first.vw)), "{said:?}");
    assert_eq!(set_up(&said).no, 1);
}
