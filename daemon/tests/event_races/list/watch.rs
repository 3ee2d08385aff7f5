//! A watch that falls silent, and a channel that refuses.

use super::start;
use crate::harness::{wait_until, Answer, Pair};
use serde_json::json;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn a_watch_that_falls_silent_while_open_is_asked_anew_within_two_seconds() {
    let servers = Pair::start();
    let (node, channel) = start(&servers, "ready", "ready");
    channel.wait_asked_anew();
    let silent = channel.requests().len();
    channel.plan([Answer::Silence, Answer::Whole]);
    channel.tell(2, &servers.first("draining"));
    wait_until("asked anew", || channel.requests().len() > silent);
    let requests = channel.requests();
    let (before, after) = (requests[silent - 1], requests[silent]);
    assert!(after.at - before.at < Duration::from_secs(2), "{:?}", after.at - before.at);
    assert_eq!(after.resume, 1);
    assert_ne!(after.connection, before.connection, "a silent connection is of no further use");
    channel.wait_taken(2);
    servers.all_go_to_the_second(&node);
}

#[test]
fn several_silences_in_a_row_are_each_ended_within_two_seconds() {
    let servers = Pair::start();
    let (node, channel) = start(&servers, "ready", "ready");
    channel.plan([Answer::Silence, Answer::Silence, Answer::Silence, Answer::Whole]);
    channel.tell(2, &servers.first("draining"));
    channel.wait_taken(2);
    let requests = channel.requests();
    for two in requests.windows(2) {
        assert!(two[1].at - two[0].at < Duration::from_secs(2), "{requests:?}");
    }
    servers.all_go_to_the_second(&node);
}

#[test_case(&Answer::Reset; "resets")]
#[test_case(&Answer::Unavailable; "says that it is unavailable")]
#[test_case(&Answer::Cut; "breaks off")]
#[test_case(&Answer::Body(json!({ "cmds": [] })); "says what can't be read")]
#[test_case(&Answer::Body(json!({ "cursor": 1, "cmds": [] })); "answers at once with nothing")]
#[test_case(&Answer::Body(json!({ "cursor": 0, "cmds": [] })); "answers at once with a lower number")]
fn asking_again_is_bounded_and_spread(trouble: &Answer) {
    let servers = Pair::start();
    let (_node, channel) = start(&servers, "ready", "ready");
    channel.always(trouble);
    // A later event makes it answer at once where it would wait.
    channel.tell(2, &servers.first("draining"));
    let (began, before) = (Instant::now(), channel.requests().len());
    wait_until("asked 24 times", || channel.requests().len() >= before + 24);
    let took = began.elapsed();
    assert!(took > Duration::from_millis(1_100), "24 times within {took:?}");
    let requests = channel.requests();
    let mut gaps: Vec<Duration> = requests[before..].windows(2).map(|two| two[1].at - two[0].at).collect();
    gaps.sort();
    // Many programs that lost the channel at one moment must not come back at one moment: the middle half of
    // the gaps differ by more than a busy machine adds.
    let middle = gaps[gaps.len() * 3 / 4] - gaps[gaps.len() / 4];
    assert!(middle > took / 24 / 10, "{gaps:?}");
}

/// Guards against: a channel whose every answer takes over two seconds is never heard, since each request is given
/// up before its answer is whole, so that set-ups go on to a server that drains.
#[test]
fn a_channel_that_takes_over_two_seconds_for_each_answer_is_followed() {
    let servers = Pair::start();
    let (node, channel) = start(&servers, "ready", "ready");
    channel.always(&Answer::Half);
    channel.tell(2, &servers.first("draining"));
    let told_at = Instant::now();
    wait_until("an answer is on its way", || channel.halves_held() > 0);
    std::thread::sleep(Duration::from_millis(2_400));
    channel.send_oldest_second_half();
    channel.wait_taken(2);
    assert!(told_at.elapsed() < Duration::from_secs(6), "{:?}", told_at.elapsed());
    servers.all_go_to_the_second(&node);
}
