//! A player plays: it reloads its playlist and fetches segments, until the end.

use crate::players::ask::{owed, stay_away};
use crate::players::check::{check, Reading};
use crate::players::draw::Viewer;
use crate::players::world::{pause, split, within, World, MOST, SEGMENT_PATIENCE};
use hyper::{Method, StatusCode};
use ottersail_invariants::Event;
use ottersail_net::Client;
use std::rc::Rc;

/// Viewers who were starved for so long, in milliseconds, leave.
const STARVED: f64 = 5_000.0;

/// Plays to the end; true if the viewer should come again.
pub(super) async fn watch(world: &Rc<World>, viewer: &Viewer, url: &str, ask: u64) -> bool {
    let day = &world.crowd.day;
    let Some((address, path)) = split(url) else {
        world.note(Event::Flaw { ask, what: format!("the playlist's address {url:?}") });
        return false;
    };
    let manager = world.crowd.managers.iter().position(|it| it.to_string() == address).unwrap_or(0);
    let package = &day.packages[viewer.package];
    let segment_ms = day.segment;
    let began = world.now();
    let mut reading = Reading::default();
    let (mut offered, mut earned, mut stalled) = (0.0, 0.0, 0.0);
    let mut plays_until: Option<f64> = None;
    let mut failures = 0;
    let again = loop {
        if world.now() - began > viewer.leaves || stalled > STARVED {
            break false;
        }
        let number = world.next_ask();
        let separator = if path.contains('?') { '&' } else { '?' };
        let reload = format!("{path}{separator}_HLS_msn={}", reading.next);
        let (name, title, patience) = (package.name.clone(), viewer.title.clone(), package.patience);
        world.note(Event::Asked { ask: number, manager, package: name, title, patience, first: false });
        let answer = owed(world, &world.client, (address, &reload), number, (patience, f64::INFINITY)).await;
        let Some(answer) = answer else {
            break true;
        };
        match answer.status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE if failures < 3 => {
                failures += 1;
                pause(stay_away(&answer).min(1500.0)).await;
                continue;
            }
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT if failures < 3 => {
                failures += 1;
                pause(300.0).await;
                continue;
            }
            // The watch is over, or no room: its viewer may ask anew.
            _ => break true,
        }
        let Ok(list) = m3u8_rs::parse_media_playlist_res(&answer.body) else {
            world.note(Event::Flaw { ask: number, what: "not a media playlist".into() });
            break false;
        };
        check(world, number, &mut reading, &list, day.segment);
        let mut fetched = false;
        let mut broke = false;
        for (ix, segment) in list.segments.iter().enumerate() {
            let at = list.media_sequence + ix as u64;
            if at < reading.next {
                continue;
            }
            // Three segments are buffered, no more.
            if let Some(until) = plays_until {
                pause(until - 3.0 * segment_ms - world.now()).await;
            }
            if world.now() - began > viewer.leaves {
                break;
            }
            let Some((server, path)) = split(&segment.uri) else {
                world.note(Event::Flaw { ask: number, what: "a segment's address".into() });
                continue;
            };
            if ix % 16 == 0 {
                *world.foreign.borrow_mut() = path.to_string();
            }
            let server = world.crowd.behind.real(server);
            let sent =
                world.client.exchange(&server, Client::request(Method::GET, &server, path), MOST, || true);
            let got = within(SEGMENT_PATIENCE, sent).await;
            match got {
                Some(Ok(answer)) if answer.status == StatusCode::OK => {}
                Some(Ok(answer)) if answer.status == StatusCode::FORBIDDEN => {
                    world.note(Event::Flaw { ask: number, what: "a good ticket was turned away".into() });
                    broke = true;
                    break;
                }
                _ => {
                    broke = true;
                    break;
                }
            }
            fetched = true;
            failures = 0;
            let now = world.now();
            let until = plays_until.unwrap_or(now);
            if now > until {
                stalled += now - until;
            }
            let seconds = f64::from(segment.duration);
            plays_until = Some(until.max(now) + seconds * 1e3);
            let rung = path.split('/').nth(3).and_then(|it| it.parse::<usize>().ok()).unwrap_or(0);
            let worth = |rung: usize| day.worth.get(rung).copied().unwrap_or(1.0);
            offered += worth(viewer.best) * seconds;
            earned += worth(rung) * seconds;
            reading.next = at + 1;
        }
        if !broke && list.end_list && reading.next >= list.media_sequence + list.segments.len() as u64 {
            if let Some(until) = plays_until {
                pause(until - world.now()).await;
            }
            break false;
        }
        if broke {
            failures += 1;
            if failures > 8 {
                break true;
            }
            pause(250.0).await;
        } else if !fetched {
            pause(segment_ms / 2.0).await;
        } else {
            let left = plays_until.map_or(0.0, |it| it - world.now() - 2.0 * segment_ms);
            pause(left.clamp(50.0, segment_ms)).await;
        }
    };
    let lost = stalled / 1e3 * day.worth.get(viewer.best).copied().unwrap_or(1.0);
    world.note(Event::Watched { ask, offered, earned: (earned - lost).max(0.0), stalled });
    again
}
