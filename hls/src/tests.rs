use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const LIST: &str = "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"r1/init.mp4\"\n\
    #EXTINF:2,\nr1/s0.m4s\n#EXTINF:2,\nr1/s1.m4s\n#EXTINF:1.5,\nr1/s2.m4s\n#EXT-X-ENDLIST\n";

#[test]
fn a_title_is_read() {
    let source = read_title_playlist(LIST.as_bytes()).unwrap();
    assert_eq!((source.target, source.map.as_deref()), (2, Some("r1/init.mp4")));
    assert_eq!(source.length_ms(), 5500.0);
    assert_eq!([0.0, 1999.0, 2000.0, 5000.0, 9000.0].map(|ms| source.segment_at_ms(ms)), [0, 0, 1, 2, 3]);
}

#[test_case("EXT-X-ENDLIST", "X", PlaylistError::NotWhole; "still growing")]
#[test_case("EXTINF:1.5", "EXTINF:9", PlaylistError::BadDuration(2); "longer than the target")]
#[test_case("EXTINF:1.5", "EXTINF:-1", PlaylistError::BadDuration(2); "negative")]
#[test_case("EXTINF:1.5", "EXTINF:NaN", PlaylistError::BadDuration(2); "not a number")]
#[test_case("r1/s1", "http://elsewhere/s1", PlaylistError::BadAddress(1); "another host")]
#[test_case("r1/s1", "../s1", PlaylistError::BadAddress(1); "upwards")]
#[test_case("r1/init", "/init", PlaylistError::BadAddress(0); "a map from the root")]
#[test_case("#EXTM3U", "hello", PlaylistError::NotAPlaylist; "something else")]
fn what_is_unfit_is_told(was: &str, becomes: &str, expected: PlaylistError) {
    assert_eq!(read_title_playlist(LIST.replace(was, becomes).as_bytes()), Err(expected));
}

#[test_case(PlaylistError::TooLarge, "the playlist ", "longer ones"; "too large")]
#[test_case(PlaylistError::NotAPlaylist, "the playlist ", "one rung alone"; "no playlist")]
#[test_case(PlaylistError::NotWhole, "the playlist ", "list the title whole"; "not whole")]
#[test_case(PlaylistError::Empty, "the playlist ", "has the title"; "empty")]
#[test_case(PlaylistError::BadDuration(7), "segment 7 of the playlist", "package the title again"; "a duration")]
#[test_case(PlaylistError::BadAddress(7), "segment 7 of the playlist", "below the playlist's own"; "an address")]
fn trouble_says_where_and_what_to_try(trouble: PlaylistError, place: &str, advice: &str) {
    let told = trouble.to_string();
    assert!(
        told.starts_with(place) && told.split_once("; ").is_some_and(|it| it.1.contains(advice)),
        "{told}"
    );
}

fn piece(index: usize, map: Option<&str>, discontinuity: bool) -> PublishedSegment {
    PublishedSegment {
        index,
        uri: format!("s{index}"),
        map: map.map(Into::into),
        seconds: 2.0,
        discontinuity,
    }
}

fn lines(edition: &PublishedPlaylist) -> Vec<String> {
    String::from_utf8(edition.write()).unwrap().lines().map(Into::into).collect()
}

#[test]
fn a_step_is_a_discontinuity_with_a_map() {
    let mut edition = PublishedPlaylist::default();
    edition.set_target_duration(2);
    edition.publish(piece(0, Some("a"), false));
    edition.publish(piece(1, Some("b"), true));
    let lines = lines(&edition);
    let at = |text: &str| lines.iter().position(|it| it.starts_with(text)).unwrap();
    assert!(at("#EXT-X-DISCONTINUITY") > at("s0") && at("#EXT-X-MAP:URI=\"b\"") < at("s1"));
    assert!(at("#EXT-X-MAP:URI=\"a\"") < at("s0"));
}

#[test]
fn what_slides_out_is_counted() {
    let mut edition = PublishedPlaylist::default();
    edition.set_target_duration(2);
    for index in 0..8 {
        edition.publish(piece(index, Some("m").filter(|_| index % 3 == 0), index == 3));
    }
    edition.remove_before(6);
    let text = lines(&edition);
    assert!(text.contains(&"#EXT-X-MEDIA-SEQUENCE:5".into()), "{text:?}");
    assert!(text.contains(&"#EXT-X-DISCONTINUITY-SEQUENCE:1".into()), "{text:?}");
    assert!(text.iter().any(|it| it.starts_with("#EXT-X-MAP")), "the map in force is told again: {text:?}");
    edition.remove_before(99);
    assert_eq!(edition.next_sequence_number(), 8);
    assert_eq!(lines(&edition).iter().filter(|it| it.starts_with('s')).count(), 3, "three targets stay");
}

#[test_case(Some(2), 9 => 2; "told by the player")]
#[test_case(Some(4), 0 => 4; "all was read")]
#[test_case(None, 1 => 1; "by the clock")]
#[test_case(None, 9 => 4; "by the clock, past the end")]
fn a_lost_server_takes_its_pending_pieces_along(unread: Option<u64>, by_time: usize) -> usize {
    let mut edition = PublishedPlaylist::default();
    (0..4).for_each(|index| edition.publish(piece(index, None, false)));
    let from = edition.withdraw_all(unread, by_time);
    assert_eq!(edition.next_sequence_number(), 4);
    from
}

proptest! {
    // The same cases each time; more by PROPTEST_CASES.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_or_refused(text in proptest::collection::vec(any::<u8>(), 0..400)) {
        _ = read_title_playlist(&text);
    }

    #[test]
    fn a_damaged_list_never_leads_elsewhere(at in 0usize..160, byte in any::<u8>()) {
        let mut text = LIST.as_bytes().to_vec();
        if at < text.len() { text[at] = byte; }
        if let Ok(source) = read_title_playlist(&text) {
            let stays = |uri: &str| uri.split('/').all(|it| it != "..") && !uri.contains(':');
            prop_assert!(source.segments.iter().all(|it| stays(&it.uri)));
            prop_assert!(source.length_ms().is_finite());
        }
    }

    /// Numbers only grow, and a number stands for one piece for ever.
    #[test]
    fn numbers_hold(steps in proptest::collection::vec(0u8..4, 1..60)) {
        let (mut edition, mut index, mut first) = (PublishedPlaylist::default(), 0, 0);
        edition.set_target_duration(2);
        for step in steps {
            let next = edition.next_sequence_number();
            match step {
                0 | 1 => {
                    edition.publish(piece(index, None, false));
                    index += 1;
                    prop_assert_eq!(edition.next_sequence_number(), next + 1);
                }
                2 => edition.remove_before(index.saturating_sub(2)),
                _ => index = edition.withdraw_all(Some(next.saturating_sub(1)), 0),
            }
            let text = lines(&edition).join("\n");
            let told: u64 = text.split("MEDIA-SEQUENCE:").nth(1)
                .map_or(0, |it| it.lines().next().unwrap().parse().unwrap());
            prop_assert!(told >= first);
            first = told;
        }
    }
}
