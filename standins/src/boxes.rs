//! A streaming server on HTTP.

use crate::fleet::{Held, Taken};
use crate::list::{manager, plain, query};
use crate::world::{die, Shared, LIMITS};
use bytes::Bytes;
use futures_lite::future::pending;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use ottersail_judge::Event;
use ottersail_net::{flowing, whole, Body, Listener, Nursery, Server, Timer};
use ottersail_wire::notes::{EndCause, Note};
use ottersail_wire::report::{Report, HEADER};
use std::time::Duration;

/// A viewing that nobody fetches for so long is let go.
const LEASE: f64 = 12_000.0;
const SAMPLE: Duration = Duration::from_millis(250);

pub(crate) fn serve(nursery: &Nursery, listener: Listener, world: &Shared, id: &str) {
    let (shared, name) = (world.clone(), id.to_string());
    let handler = move |request: Request<Incoming>, _| {
        let (world, id) = (shared.clone(), name.clone());
        async move { answer(&world, &id, &request).await }
    };
    nursery.spawn(ottersail_net::serve(nursery.clone(), listener, LIMITS, Server::new(), handler));
    let (world, id) = (world.clone(), id.to_string());
    nursery.spawn(async move { tell(&world, &id).await });
}

async fn answer(world: &Shared, id: &str, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let hangs = || world.borrow().procs.get(id).is_some_and(|it| it.ill.hang);
    let response = match (request.method(), &parts[..]) {
        (&Method::PUT, ["viewings", vw, "rung", rung]) => step(world, id, vw, rung),
        (&Method::PUT, ["viewings", vw, no]) => return set_up(world, id, vw, no, request).await,
        (&Method::DELETE, ["viewings", vw, rest @ ..]) => end(world, id, vw, rest.first().copied()),
        (&Method::GET, ["viewings", vw, rung, what]) => fetch(world, id, vw, rung, what, request).await,
        (&Method::GET, ["load"]) if !hangs() => load(world, id, plain(204, "")),
        (&Method::GET, ["notes"]) => listen(world, id, manager(request)),
        _ => plain(404, "no such thing"),
    };
    if hangs() {
        return pending().await;
    }
    response
}

/// The title's number in its package, and the package's.
fn title_of(world: &Shared, title: &str, package: &str) -> Option<(usize, usize)> {
    let day = world.borrow().day.clone();
    let ix = day.packages.iter().position(|it| it.name == package)?;
    let number = title.strip_prefix(package)?.strip_prefix('-')?.parse::<usize>().ok()?;
    (number < day.titles).then_some((number, ix))
}

fn playlist(world: &Shared, title: usize, package: usize) -> String {
    let day = world.borrow().day.clone();
    let (from, to) = day.packages[package].length;
    // Titles differ in length, the same at every server.
    let part = (title * 37 % 100) as f64 / 100.0;
    let count = ((from + (to - from) * part) * 1e3 / day.segment).ceil().max(1.0) as usize;
    let seconds = day.segment / 1e3;
    let mut text = format!(
        "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:{}\n#EXT-X-PLAYLIST-TYPE:VOD\n#EXT-X-MAP:URI=\"init.mp4\"\n",
        seconds.ceil()
    );
    for ix in 0..count {
        text += &format!("#EXTINF:{seconds:.3},\ns{ix}.m4s\n");
    }
    text + "#EXT-X-ENDLIST\n"
}

fn rate(world: &Shared, package: usize, rung: usize) -> f64 {
    let day = &world.borrow().day;
    day.rates_kb.get(rung).copied().unwrap_or(1.0) * day.packages[package].scale
}

/// A set-up that is under way: if its connection closes first, that is written down and its place is free.
struct UnderWay {
    world: Shared,
    id: String,
    vw: String,
    no: usize,
    answered: bool,
    keeps_place: bool,
}

impl UnderWay {
    fn answered(&mut self, status: u16) {
        self.answered = true;
        let event =
            Event::SetUpAnswered { server: self.id.clone(), vw: self.vw.clone(), no: self.no, status };
        self.world.borrow().recorder.note(event);
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Ok(mut it) = self.world.try_borrow_mut() {
            let event = Event::SetUpClosed { server: self.id.clone(), vw: self.vw.clone(), no: self.no };
            it.recorder.note(event);
            let same = it.fleet.servers.get(&self.id).and_then(|it| it.held.get(&self.vw));
            if !self.keeps_place && same.is_some_and(|it| it.no == self.no) {
                it.fleet.end(&self.id, &self.vw);
            }
        }
    }
}

async fn set_up(world: &Shared, id: &str, vw: &str, no: &str, request: &Request<Incoming>) -> Response<Body> {
    let (title, package) = (query(request, "title").unwrap_or(""), query(request, "package").unwrap_or(""));
    let rung = query(request, "rung").and_then(|it| it.parse::<usize>().ok());
    let (Some((number, package_ix)), Some(rung), Ok(no)) =
        (title_of(world, title, package), rung, no.parse())
    else {
        return plain(400, "expected title, package and rung");
    };
    let trace = request.headers().get("traceparent").and_then(|it| it.to_str().ok()).unwrap_or("");
    let ask = trace.split('-').nth(1).and_then(|it| u64::from_str_radix(it.get(16..)?, 16).ok()).unwrap_or(0);
    let manager = manager(request);
    let kb = rate(world, package_ix, rung);
    let (taken, work, ill) = {
        let mut it = world.borrow_mut();
        let now = it.now();
        it.recorder.note(Event::SetUp {
            server: id.to_string(),
            manager,
            ask,
            vw: vw.to_string(),
            no,
            title: title.to_string(),
            package: package.to_string(),
            rung,
        });
        let held = Held { manager, no, title: number, package: package_ix, rung, kb, seen: now };
        let (cold, start) = (it.fleet.cold, it.fleet.start_capacity);
        let warmth = it.fleet.servers.get(id).map_or(1.0, |it| it.warmth(now, cold, start));
        let work = it.day.set_up * (0.5 + it.rng.f64()) / warmth.max(0.05);
        let proc = it.procs.get(id);
        let draining = proc.is_some_and(|it| it.draining);
        let ill = proc.map_or_else(Default::default, |it| it.ill);
        let taken = if draining { Taken::NoPlace } else { it.fleet.set_up(now, id, vw, held) };
        (taken, work, ill)
    };
    let mut under_way = UnderWay {
        world: world.clone(),
        id: id.to_string(),
        vw: vw.to_string(),
        no,
        answered: false,
        keeps_place: ill.lose_answers,
    };
    match taken {
        Taken::Fell => {
            let notice = {
                let it = world.borrow();
                it.recorder.note(Event::Fell { server: id.to_string() });
                it.day.notice
            };
            under_way.answered = true;
            die(world, id, notice);
            return pending().await;
        }
        Taken::NoPlace => {
            under_way.answered(503);
            return reported(world, id, manager, plain(503, "no place, or draining"));
        }
        Taken::Yes => {}
    }
    if ill.errors {
        // It can set up nothing, and says so faster than a whole one would.
        world.borrow_mut().fleet.end(id, vw);
        under_way.answered(500);
        return plain(500, "no encoder");
    }
    Timer::after(Duration::from_secs_f64(work / 1e3)).await;
    if ill.hang || ill.lose_answers {
        return pending().await;
    }
    let text = playlist(world, number, package_ix);
    if ill.stall {
        let (sender, body) = flowing(2);
        let exec = world.borrow().exec;
        let half = Bytes::from(text[..text.len() / 2].to_string());
        exec.spawn(async move {
            _ = sender.send(half).await;
            while !sender.is_closed() {
                Timer::after(Duration::from_millis(20)).await;
            }
            drop(under_way);
        })
        .detach();
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::CREATED;
        return response;
    }
    if ill.garble {
        // It answers, and nothing can be made of it: for the judge, an answer that a viewing may run by.
        under_way.answered(500);
        let garbled = match world.borrow_mut().rng.u8(..3) {
            0 => text[..text.len() / 2].to_string(),
            1 => text.replace("2.000", "NaN"),
            _ => "#EXTM3U\n".repeat(1 << 19),
        };
        let mut response = Response::new(whole(garbled));
        *response.status_mut() = StatusCode::CREATED;
        let load =
            hyper::header::HeaderValue::from_static("TEXT named_metrics.link=NaN, named_metrics.uplink=-3");
        response.headers_mut().insert(HEADER, load);
        return response;
    }
    under_way.answered(201);
    let mut response = Response::new(whole(text));
    *response.status_mut() = StatusCode::CREATED;
    reported(world, id, manager, response)
}

fn reported(world: &Shared, id: &str, manager: usize, response: Response<Body>) -> Response<Body> {
    if world.borrow().day.probes(manager) {
        return response;
    }
    load(world, id, response)
}

fn load(world: &Shared, id: &str, mut response: Response<Body>) -> Response<Body> {
    if world.borrow().procs.get(id).is_some_and(|it| it.ill.lose_reports) {
        return response;
    }
    let report = Report { delivered: None, ..world.borrow().fleet.report(id) };
    if let Ok(value) = report.text().parse() {
        response.headers_mut().insert(HEADER, value);
    }
    response
}

fn step(world: &Shared, id: &str, vw: &str, rung: &str) -> Response<Body> {
    let held = world.borrow().fleet.servers.get(id).and_then(|it| it.held.get(vw)).cloned();
    let (Some(held), Ok(rung)) = (held, rung.parse::<usize>()) else {
        return plain(404, "no such viewing");
    };
    let kb = rate(world, held.package, rung);
    let mut it = world.borrow_mut();
    it.fleet.set_rung(id, vw, rung, kb);
    it.recorder.note(Event::Rung { server: id.to_string(), vw: vw.to_string(), rung });
    drop(it);
    Response::new(whole(playlist(world, held.title, held.package)))
}

/// Ends a viewing; with a tune-in's number only if it was set up by that one.
fn end(world: &Shared, id: &str, vw: &str, no: Option<&str>) -> Response<Body> {
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

async fn fetch(
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
    Response::new(whole(vec![0; 188]))
}

fn listen(world: &Shared, id: &str, manager: usize) -> Response<Body> {
    let (sender, body) = flowing(256);
    _ = sender.try_send(Bytes::from(Note::Alive.write()));
    if let Some(proc) = world.borrow_mut().procs.get_mut(id) {
        proc.listeners.insert(manager, sender);
    }
    let mut response = Response::new(body);
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Notes to each manager with viewings here: a sign of life and short delivery each second, fullness now and then.
async fn tell(world: &Shared, id: &str) {
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
