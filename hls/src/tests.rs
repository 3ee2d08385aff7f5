use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const TITLE: &str = "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"r1/init.mp4\"\n\
    #EXTINF:2,\nr1/s0.m4s\n#EXTINF:2,\nr1/s1.m4s\n#EXTINF:1.5,\nr1/s2.m4s\n#EXT-X-ENDLIST\n";

#[test]
fn a_title_playlist_is_parsed() {
    let source = read_title_playlist(TITLE.as_bytes()).unwrap();
    assert_eq!((source.target, source.map.as_deref()), (2, Some("r1/init.mp4")));
    assert_eq!(source.length_ms(), 5500.0);
    assert_eq!([0.0, 1999.0, 2000.0, 5000.0, 9000.0].map(|ms| source.segment_at_ms(ms)), [0, 0, 1, 2, 3]);
}

#[test_case("EXT-X-ENDLIST", "X", PlaylistError::NotEnded; "still growing")]
#[test_case("EXTINF:1.5", "EXTINF:9", PlaylistError::InvalidDuration(2); "longer than the target")]
#[test_case("EXTINF:1.5", "EXTINF:-1", PlaylistError::InvalidDuration(2); "negative")]
#[test_case("EXTINF:1.5", "EXTINF:NaN", PlaylistError::InvalidDuration(2); "not a number")]
#[test_case("r1/s1", "http://elsewhere/s1", PlaylistError::InvalidUri(1); "another host")]
#[test_case("r1/s1", "../s1", PlaylistError::InvalidUri(1); "upwards")]
#[test_case("r1/init", "/init", PlaylistError::InvalidUri(0); "a map from the root")]
#[test_case("#EXTM3U", "hello", PlaylistError::NotAMediaPlaylist; "something else")]
fn invalid_title_playlists_are_rejected(valid: &str, invalid: &str, expected: PlaylistError) {
    assert_eq!(read_title_playlist(TITLE.replace(valid, invalid).as_bytes()), Err(expected));
}

#[test_case(PlaylistError::TooLarge, "the playlist ", "longer ones"; "too large")]
#[test_case(PlaylistError::NotAMediaPlaylist, "the playlist ", "one rung alone"; "no playlist")]
#[test_case(PlaylistError::NotEnded, "the playlist ", "list the title whole"; "not whole")]
#[test_case(PlaylistError::Empty, "the playlist ", "has the title"; "empty")]
#[test_case(PlaylistError::InvalidDuration(7), "segment 7 of the playlist",
    "package the title again"; "a duration")]
#[test_case(PlaylistError::InvalidUri(7), "segment 7 of the playlist",
    "below the playlist's own"; "an address")]
fn errors_name_the_place_and_a_remedy(error: PlaylistError, place: &str, remedy: &str) {
    let message = error.to_string();
    assert!(
        message.starts_with(place)
            && message.split_once("; ").is_some_and(|(_, advice)| advice.contains(remedy)),
        "{message}"
    );
}

fn segment(index: usize, map: Option<&str>, discontinuity: bool) -> PublishedSegment {
    PublishedSegment {
        index,
        uri: format!("s{index}"),
        map: map.map(Into::into),
        seconds: 2.0,
        discontinuity,
    }
}

fn lines(playlist: &PublishedPlaylist) -> Vec<String> {
    String::from_utf8(playlist.write()).unwrap().lines().map(Into::into).collect()
}

#[test]
fn a_change_of_rung_is_a_discontinuity_with_its_map() {
    let mut playlist = PublishedPlaylist::default();
    playlist.set_target_duration(2);
    playlist.publish(segment(0, Some("a"), false));
    playlist.publish(segment(1, Some("b"), true));
    let lines = lines(&playlist);
    let position = |text: &str| lines.iter().position(|line| line.starts_with(text)).unwrap();
    assert!(
        position("#EXT-X-DISCONTINUITY") > position("s0")
            && position("#EXT-X-MAP:URI=\"b\"") < position("s1")
    );
    assert!(position("#EXT-X-MAP:URI=\"a\"") < position("s0"));
}

#[test]
fn removed_segments_and_discontinuities_are_counted() {
    let mut playlist = PublishedPlaylist::default();
    playlist.set_target_duration(2);
    for index in 0..8 {
        playlist.publish(segment(index, Some("m").filter(|_| index % 3 == 0), index == 3));
    }
    playlist.remove_before(6);
    let text = lines(&playlist);
    assert!(text.contains(&"#EXT-X-MEDIA-SEQUENCE:5".into()), "{text:?}");
    assert!(text.contains(&"#EXT-X-DISCONTINUITY-SEQUENCE:1".into()), "{text:?}");
    assert!(
        text.iter().any(|line| line.starts_with("#EXT-X-MAP")),
        "the map in force is written again: {text:?}"
    );
    playlist.remove_before(99);
    assert_eq!(playlist.next_sequence_number(), 8);
    assert_eq!(
        lines(&playlist).iter().filter(|line| line.starts_with('s')).count(),
        3,
        "three target durations remain"
    );
}

#[test_case(Some(2), 9 => 2; "number from the player")]
#[test_case(Some(4), 0 => 4; "all segments read")]
#[test_case(None, 1 => 1; "by the clock")]
#[test_case(None, 9 => 4; "by the clock, past the end")]
fn after_a_server_loss_playback_goes_on_from_the_first_unread_segment(
    unread: Option<u64>,
    by_time: usize,
) -> usize {
    let mut playlist = PublishedPlaylist::default();
    (0..4).for_each(|index| playlist.publish(segment(index, None, false)));
    let resume_from = playlist.withdraw_all(unread, by_time);
    assert_eq!(playlist.next_sequence_number(), 4);
    resume_from
}

proptest! {
    // The fixed seed gives the same cases in each run; PROPTEST_CASES sets their number.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_panic(text in proptest::collection::vec(any::<u8>(), 0..400)) {
        _ = read_title_playlist(&text);
    }

    #[test]
    fn a_corrupted_playlist_never_has_uris_outside_the_viewing(at in 0usize..160, byte in any::<u8>()) {
        let mut text = TITLE.as_bytes().to_vec();
        if at < text.len() { text[at] = byte; }
        if let Ok(source) = read_title_playlist(&text) {
            let stays = |uri: &str| uri.split('/').all(|part| part != "..") && !uri.contains(':');
            prop_assert!(source.segments.iter().all(|segment| stays(&segment.uri)));
            prop_assert!(source.length_ms().is_finite());
        }
    }

    /// Media sequence numbers only grow, and a number always denotes the same segment.
    #[test]
    fn media_sequence_numbers_only_grow(steps in proptest::collection::vec(0u8..4, 1..60)) {
        let (mut playlist, mut index, mut previous) = (PublishedPlaylist::default(), 0, 0);
        playlist.set_target_duration(2);
        for step in steps {
            let next = playlist.next_sequence_number();
            match step {
                0 | 1 => {
                    playlist.publish(segment(index, None, false));
                    index += 1;
                    prop_assert_eq!(playlist.next_sequence_number(), next + 1);
                }
                2 => playlist.remove_before(index.saturating_sub(2)),
                _ => index = playlist.withdraw_all(Some(next.saturating_sub(1)), 0),
            }
            let text = lines(&playlist).join("\n");
            let media_sequence: u64 = text.split("MEDIA-SEQUENCE:").nth(1)
                .map_or(0, |rest| rest.lines().next().unwrap().parse().unwrap());
            prop_assert!(media_sequence >= previous);
            previous = media_sequence;
        }
    }
}
