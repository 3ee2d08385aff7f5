//! Viewings that play: what is published for them, their steps and their ends.

use super::stage::{all_set_ups, has, playing, set_up, Stage, LIST};
use crate::ids::ServerId;
use crate::RequestId;
use ottersail_wire::notes::{EndCause, Note};
use ottersail_wire::report::Report;
use test_case::test_case;

#[test]
fn a_viewing_from_the_question_to_the_segments() {
    let mut stage = Stage::new();
    let (set_up, id) = stage.plays();
    assert!(has(&stage.said, &format!("listen {}", set_up.server)));
    let said = stage.reloads(&id, None);
    let text = said.last().unwrap();
    assert!(text.contains(&format!("/viewings/{}/2/s0.m4s?t=", set_up.vw)), "{text}");
    assert!(text.contains("s3.m4s") && !text.contains("s4.m4s"), "three segments ahead: {text}");
    assert!(!text.contains("ENDLIST") && !text.contains("PLAYLIST-TYPE"), "{text}");
    stage.passes(6000.0);
    assert!(has(&stage.reloads(&id, Some(4)), "s6.m4s"));
    stage.passes(6000.0);
    assert!(has(&stage.reloads(&id, Some(7)), "ENDLIST"));
    let said = stage.passes(60_000.0);
    assert!(has(&said, &format!("let_go {}", set_up.vw)), "{said:?}");
    assert_eq!((stage.front.watch_count(), stage.front.viewing_count()), (0, 0));
    assert!(has(&said, &format!("hang_up {}", set_up.server)));
}

#[test]
fn a_step_shows_in_the_segments_published_next() {
    let mut stage = Stage::new();
    let (first, id) = stage.plays();
    stage.reloads(&id, None);
    // The link is overrun: the module steps it down.
    let server = ServerId::from(first.server.as_str());
    let note = Note::Load(Report { link: Some(40.0), ..Report::default() });
    stage.does(|front, now, out| front.note_received(now, &server, &note, out));
    let said = stage.passes(3000.0);
    assert!(has(&said, &format!("change_rung {} {} 127.", first.vw, first.server)), "{said:?}");
    stage.does(|front, now, out| front.rung_changed(now, &first.vw, 1, Some(LIST), out));
    let said = stage.reloads(&id, Some(4));
    let text = said.iter().find(|it| it.starts_with("reply")).unwrap();
    let (before, after) = text.split_once("/2/s3.m4s").unwrap();
    assert!(!before.contains("DISCONTINUITY") && after.contains("#EXT-X-DISCONTINUITY"), "{text}");
    assert!(after.contains("/1/init.mp4") && after.contains("/1/s4.m4s"), "{text}");
}

#[test]
fn a_viewer_who_leaves_as_the_answer_comes_is_found_out_by_silence() {
    let mut stage = Stage::new();
    let (first, _) = stage.plays();
    assert_eq!(
        stage.does(|front, now, out| front.request_closed(now, RequestId(1), out)),
        Vec::<String>::new()
    );
    let said = stage.passes(20_000.0);
    assert!(has(&said, &format!("let_go {}", first.vw)), "{said:?}");
    assert_eq!(stage.front.viewing_count(), 0, "ended without the server's word after it lingered");
}

#[test_case(Some(2) => 2; "the player tells what it lacks")]
#[test_case(None => 1; "by the clock")]
fn a_lost_server_is_left_with_the_next_reload(unread: Option<u64>) -> usize {
    let mut stage = Stage::new();
    let (first, id) = stage.plays();
    stage.reloads(&id, None);
    stage.passes(2500.0);
    let server = ServerId::from(first.server.as_str());
    let said = stage.does(|front, now, out| front.server_lost(now, &server, out));
    assert!(has(&said, &format!("hang_up {}", first.server)));
    let second = set_up(&stage.reloads(&id, unread));
    assert_ne!(second.server, first.server);
    let said = stage.ends(&second, playing());
    let text = said.iter().find(|it| it.starts_with("reply")).unwrap();
    let number = |of: &str| {
        text.split(of).nth(1).unwrap().split(|it: char| !it.is_ascii_digit()).next().unwrap().to_string()
    };
    assert!(text.contains("EXT-X-DISCONTINUITY\\n") && !text.contains(&format!("{}/", first.vw)), "{text}");
    assert_eq!(number("MEDIA-SEQUENCE:"), "4", "numbers go on: {text}");
    number("/s").parse().unwrap()
}

#[test]
fn a_server_that_ends_a_viewing_is_believed() {
    let mut stage = Stage::new();
    let (first, id) = stage.plays();
    let server = ServerId::from(first.server.as_str());
    let note = Note::Ended { viewing: first.vw.to_string(), cause: EndCause::Left };
    stage.does(|front, now, out| front.note_received(now, &server, &note, out));
    assert_eq!(stage.front.viewing_count(), 0);
    assert_eq!(all_set_ups(&stage.reloads(&id, None)).len(), 1, "who still reloads comes again");
}
