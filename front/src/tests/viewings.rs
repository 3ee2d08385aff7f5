//! Playing viewings: what is published for them, their steps and their ends.

use super::harness::{all_set_ups, contains, playing, set_up, Harness, PLAYLIST};
use crate::ids::ServerId;
use crate::RequestId;
use ottersail_wire::notes::{EndCause, Note};
use ottersail_wire::report::Report;
use test_case::test_case;

#[test]
fn a_viewing_from_the_request_to_its_end() {
    let mut harness = Harness::new();
    let (set_up, id) = harness.start_playing();
    assert!(contains(&harness.lines, &format!("listen {}", set_up.server)));
    let effects = harness.reload(&id, None);
    let text = effects.last().unwrap();
    assert!(text.contains(&format!("/viewings/{}/2/s0.m4s?t=", set_up.viewing)), "{text}");
    assert!(text.contains("s3.m4s") && !text.contains("s4.m4s"), "three segments ahead: {text}");
    assert!(!text.contains("ENDLIST") && !text.contains("PLAYLIST-TYPE"), "{text}");
    harness.advance(6000.0);
    assert!(contains(&harness.reload(&id, Some(4)), "s6.m4s"));
    harness.advance(6000.0);
    assert!(contains(&harness.reload(&id, Some(7)), "ENDLIST"));
    let effects = harness.advance(60_000.0);
    assert!(contains(&effects, &format!("let_go {}", set_up.viewing)), "{effects:?}");
    assert_eq!((harness.front.watch_count(), harness.front.viewing_count()), (0, 0));
    assert!(contains(&effects, &format!("hang_up {}", set_up.server)));
}

#[test]
fn a_step_appears_in_the_segments_published_next() {
    let mut harness = Harness::new();
    let (first, id) = harness.start_playing();
    harness.reload(&id, None);
    // The link is overloaded, so the viewing steps down.
    let server = ServerId::from(first.server.as_str());
    let note = Note::Load(Report { link: Some(40.0), ..Report::default() });
    harness.call(|front, now, effects| front.note_received(now, &server, &note, effects));
    let effects = harness.advance(3000.0);
    let change = format!("change_rung {} {} 127.", first.viewing, first.server);
    assert!(contains(&effects, &change), "{effects:?}");
    harness.call(|front, now, effects| front.rung_changed(now, &first.viewing, 1, Some(PLAYLIST), effects));
    let effects = harness.reload(&id, Some(4));
    let text = effects.iter().find(|line| line.starts_with("reply")).unwrap();
    let (before, after) = text.split_once("/2/s3.m4s").unwrap();
    assert!(!before.contains("DISCONTINUITY") && after.contains("#EXT-X-DISCONTINUITY"), "{text}");
    assert!(after.contains("/1/init.mp4") && after.contains("/1/s4.m4s"), "{text}");
}

#[test]
fn a_viewer_who_leaves_as_the_answer_is_sent_is_detected_by_missing_reloads() {
    let mut harness = Harness::new();
    let (first, _) = harness.start_playing();
    let effects = harness.call(|front, now, effects| front.request_closed(now, RequestId(1), effects));
    assert_eq!(effects, Vec::<String>::new());
    let effects = harness.advance(20_000.0);
    assert!(contains(&effects, &format!("let_go {}", first.viewing)), "{effects:?}");
    assert_eq!(
        harness.front.viewing_count(),
        0,
        "ended without the server's confirmation after its time-out"
    );
}

#[test_case(Some(2) => 2; "at the sequence number that the player wants")]
#[test_case(None => 1; "at the nominal position")]
fn after_a_lost_server_the_next_reload_continues_elsewhere(next_sequence: Option<u64>) -> usize {
    let mut harness = Harness::new();
    let (first, id) = harness.start_playing();
    harness.reload(&id, None);
    harness.advance(2500.0);
    let server = ServerId::from(first.server.as_str());
    let effects = harness.call(|front, now, effects| front.server_lost(now, &server, effects));
    assert!(contains(&effects, &format!("hang_up {}", first.server)));
    let second = set_up(&harness.reload(&id, next_sequence));
    assert_ne!(second.server, first.server);
    let effects = harness.end_set_up(&second, playing());
    let text = effects.iter().find(|line| line.starts_with("reply")).unwrap();
    let number_after = |prefix: &str| {
        let rest = text.split(prefix).nth(1).unwrap();
        rest.split(|character: char| !character.is_ascii_digit()).next().unwrap().to_string()
    };
    let old_address = format!("{}/", first.viewing);
    assert!(text.contains("EXT-X-DISCONTINUITY\\n") && !text.contains(&old_address), "{text}");
    assert_eq!(number_after("MEDIA-SEQUENCE:"), "4", "sequence numbers continue: {text}");
    number_after("/s").parse().unwrap()
}

#[test]
fn a_viewing_ended_by_its_server_is_over() {
    let mut harness = Harness::new();
    let (first, id) = harness.start_playing();
    let server = ServerId::from(first.server.as_str());
    let note = Note::Ended { viewing: first.viewing.to_string(), cause: EndCause::Left };
    harness.call(|front, now, effects| front.note_received(now, &server, &note, effects));
    assert_eq!(harness.front.viewing_count(), 0);
    assert_eq!(all_set_ups(&harness.reload(&id, None)).len(), 1, "a further reload starts a new viewing");
}
