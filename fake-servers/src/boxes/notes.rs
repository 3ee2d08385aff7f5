//! Notes to the managers that listen.

use crate::fleet::Held;
use crate::world::Shared;
use bytes::Bytes;
use hyper::Response;
use ottersail_invariants::Event;
use ottersail_net::{streaming_body, Body, Timer};
use ottersail_wire::notes::{EndCause, Note};
use ottersail_wire::report::Report;
use std::time::Duration;

/// A viewing that nobody fetches for so long is let go.
const LEASE: f64 = 12_000.0;
const SAMPLE: Duration = Duration::from_millis(250);

pub(super) fn listen(world: &Shared, id: &str, manager: usize) -> Response<Body> {
    let (sender, body) = streaming_body(256);
    _ = sender.try_send(Bytes::from(Note::Alive.write()));
    if let Some(proc) = world.borrow_mut().procs.get_mut(id) {
        proc.listeners.insert(manager, sender);
    }
    let mut response = Response::new(body);
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Notes to each manager with viewings here: a sign of life and short delivery each second, fullness now and
/// then.
pub(super) async fn tell(world: &Shared, id: &str) {
    let (mut next_second, mut next_report) = (0.0, 0.0);
    let mut was_short = false;
    loop {
        Timer::after(SAMPLE).await;
        let mut it = world.borrow_mut();
        let now = it.now();
        it.fleet.remember(id, now);
        let late = it.day.seen_after + it.reports_late;
        let seen = it.fleet.seen(id, now, late);
        let mut notes: Vec<(Option<usize>, Note)> = Vec::new();
        if now >= next_second {
            next_second = now + 1000.0;
            notes.push((None, Note::Alive));
            if let Some(share) = seen.and_then(|it| it.delivered).filter(|it| *it < 0.98 || was_short) {
                was_short = share < 0.98;
                notes.push((None, Note::Load(Report { delivered: Some(share), ..Report::default() })));
            }
        }
        if now >= next_report {
            next_report = now + it.day.reports_every;
            it.recorder.note(Event::Noted { server: id.to_string() });
            notes.extend(seen.map(|it| (None, Note::Load(Report { delivered: None, ..it }))));
        }
        let idle = |it: &Held| now - it.seen > LEASE;
        let idle: Vec<String> = match it.fleet.servers.get(id) {
            Some(server) => server.held.iter().filter(|it| idle(it.1)).map(|it| it.0.clone()).collect(),
            None => Vec::new(),
        };
        for viewing in idle {
            if let Some(held) = it.fleet.end(id, &viewing) {
                it.recorder.note(Event::Ended { server: id.to_string(), vw: viewing.clone() });
                notes.push((Some(held.manager), Note::Ended { viewing, cause: EndCause::Left }));
            }
        }
        let day = it.day.clone();
        let probes = |manager| day.probes(manager);
        let Some(proc) = it.procs.get_mut(id) else {
            return;
        };
        if proc.ill.hang {
            continue;
        }
        if proc.ill.lose_reports {
            notes.retain(|it| !matches!(it.1, Note::Load(_)));
        }
        if proc.ill.garble {
            let load = "event: load\ndata: {\"named_metrics\":{\"link\":-1,\"uplink\":1e300}}\n\n";
            proc.listeners.retain(|_, to| to.try_send(Bytes::from(load)).is_ok());
        }
        // A manager that does not read its notes loses its stream, not the server's memory.
        proc.listeners.retain(|manager, to| {
            let told =
                |note: &Note| !probes(*manager) || !matches!(note, Note::Load(it) if it.delivered.is_none());
            let mine = notes.iter().filter(|it| it.0.is_none_or(|it| it == *manager) && told(&it.1));
            mine.map(|it| to.try_send(Bytes::from(it.1.write()))).all(|it| it.is_ok())
        });
    }
}
