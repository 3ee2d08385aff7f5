//! A player asks for a title.

use crate::players::draw::Viewer;
use crate::players::world::{within, World, MOST};
use hyper::StatusCode;
use ottersail_invariants::Event;
use ottersail_net::{Answer, Client};
use std::rc::Rc;
use std::time::Duration;

pub(super) enum Asked {
    Plays(String, u64),
    Blocked(f64),
    Aborted,
    Gone,
}

/// Sends a request that a viewing may be taken for, and writes down how it is answered.
pub(super) async fn owed(
    world: &Rc<World>,
    client: &Client,
    (address, path): (&str, &str),
    ask: u64,
    (patience, leave_after): (f64, f64),
) -> Option<Answer> {
    let sent = client.exchange(address, World::request(address, path, ask), MOST, || true);
    let span = Duration::from_secs_f64(patience.min(leave_after) / 1e3);
    match within(span, sent).await {
        Some(Ok(answer)) => {
            world.note(Event::Answered { ask, status: answer.status.as_u16() });
            Some(answer)
        }
        Some(Err(_)) => {
            // Also where nothing was taken: that is excused only if the manager was dead.
            world.note(Event::Broke { ask });
            None
        }
        None if leave_after < patience => {
            world.note(Event::Left { ask });
            None
        }
        None => {
            world.note(Event::GaveUp { ask });
            None
        }
    }
}

pub(super) fn stay_away(answer: &Answer) -> f64 {
    let header = answer.headers.get("retry-after").and_then(|it| it.to_str().ok());
    header.and_then(|it| it.parse::<f64>().ok()).unwrap_or(1.0) * 1e3
}

pub(super) async fn ask(world: &Rc<World>, viewer: &Viewer) -> Asked {
    let day = &world.crowd.day;
    let manager = world.manager(&viewer.zone);
    let (address, number) = (world.crowd.managers[manager].to_string(), world.next_ask());
    let package = &day.packages[viewer.package];
    let tenant = viewer.tenant.as_ref().map_or(String::new(), |it| format!("&tenant={it}"));
    let path = format!(
        "/watch/{}?package={}&best={}&patience-ms={}{tenant}",
        viewer.title, package.name, viewer.best, package.patience
    );
    let (patience, first) = (package.patience, true);
    let leave_after = if world.part() < day.impatient { world.part() * 60.0 } else { f64::INFINITY };
    let (name, title) = (package.name.clone(), viewer.title.clone());
    world.note(Event::Asked { ask: number, manager, package: name, title, patience, first });
    let answer = owed(world, &world.asking, (&address, &path), number, (patience, leave_after)).await;
    let Some(answer) = answer else {
        if leave_after < patience {
            return Asked::Aborted;
        }
        world.down.borrow_mut().insert(manager, world.now());
        return Asked::Gone;
    };
    match answer.status {
        StatusCode::OK => {
            let text = &answer.body;
            let uri = m3u8_rs::parse_master_playlist_res(text)
                .ok()
                .and_then(|it| it.variants.first().map(|it| it.uri.clone()));
            match uri {
                Some(uri) => Asked::Plays(uri, number),
                None => {
                    world.note(Event::Flaw { ask: number, what: "no variant in the first playlist".into() });
                    Asked::Aborted
                }
            }
        }
        StatusCode::SERVICE_UNAVAILABLE => Asked::Blocked(stay_away(&answer)),
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Asked::Aborted,
        other => {
            world.note(Event::Flaw { ask: number, what: format!("answered {other}") });
            Asked::Aborted
        }
    }
}
