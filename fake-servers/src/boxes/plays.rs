//! Viewings that run: they are fetched, stepped and ended.

use crate::boxes::titles::{playlist, rate};
use crate::http::{plain, query};
use crate::world::Shared;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ottersail_invariants::Event;
use ottersail_net::{full_body, Body, Timer};
use std::time::Duration;

pub(super) fn step(world: &Shared, id: &str, vw: &str, rung: &str) -> Response<Body> {
    let held = world.borrow().fleet.servers.get(id).and_then(|it| it.held.get(vw)).cloned();
    let (Some(held), Ok(rung)) = (held, rung.parse::<usize>()) else {
        return plain(404, "no such viewing");
    };
    let kb = rate(world, held.package, rung);
    let mut it = world.borrow_mut();
    it.fleet.set_rung(id, vw, rung, kb);
    it.recorder.note(Event::Rung { server: id.to_string(), vw: vw.to_string(), rung });
    drop(it);
    Response::new(full_body(playlist(world, held.title, held.package)))
}

/// Ends a viewing; with a tune-in's number only if it was set up by that one.
pub(super) fn end(world: &Shared, id: &str, vw: &str, no: Option<&str>) -> Response<Body> {
    let mut it = world.borrow_mut();
    let held = it.fleet.servers.get(id).and_then(|it| it.held.get(vw)).map(|it| it.no);
    let meant = no.is_none_or(|no| held.is_some_and(|it| it.to_string() == no));
    if held.is_some() && meant {
        it.fleet.end(id, vw);
        it.recorder.note(Event::Ended { server: id.to_string(), vw: vw.to_string() });
        return plain(200, "");
    }
    plain(404, "no such viewing")
}

pub(super) async fn fetch(
    world: &Shared,
    id: &str,
    vw: &str,
    rung: &str,
    what: &str,
    request: &Request<Incoming>,
) -> Response<Body> {
    let Ok(rung) = rung.parse::<usize>() else {
        return plain(404, "no such rung");
    };
    let wait = {
        let mut it = world.borrow_mut();
        let (now, now_s) = (it.now(), it.recorder.clock().now_s());
        let ticket = query(request, "t").unwrap_or("");
        if let Err(why) = it.keys.check(ticket, vw, what, rung, now_s) {
            it.recorder.note(Event::TicketDenied { server: id.to_string(), why: why.to_string() });
            return plain(403, "the ticket does not count");
        }
        let segment = it.day.segment;
        let share = it.fleet.report(id).delivered.unwrap_or(1.0);
        let held = it.fleet.servers.get_mut(id).and_then(|it| it.held.get_mut(vw));
        let Some(held) = held else {
            return plain(404, "no such viewing here");
        };
        held.seen = now;
        segment * (1.0 / share.max(0.05) - 1.0) * if what.starts_with('s') { 1.0 } else { 0.0 }
    };
    Timer::after(Duration::from_secs_f64(wait.clamp(0.0, 20_000.0) / 1e3)).await;
    Response::new(full_body(vec![0; 188]))
}
