//! Set-ups, and what an ailing server makes of them.

use crate::boxes::load::reported;
use crate::boxes::titles::{playlist, rate, title_of};
use crate::fleet::{Held, Taken};
use crate::http::{manager, plain, query};
use crate::world::{die, Shared};
use bytes::Bytes;
use futures_lite::future::pending;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ottersail_invariants::Event;
use ottersail_net::{full_body, streaming_body, Body, Timer};
use ottersail_wire::report::HEADER;
use std::time::Duration;

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

pub(super) async fn set_up(
    world: &Shared,
    id: &str,
    vw: &str,
    no: &str,
    request: &Request<Incoming>,
) -> Response<Body> {
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
        let (sender, body) = streaming_body(2);
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
        let mut response = Response::new(full_body(garbled));
        *response.status_mut() = StatusCode::CREATED;
        let load =
            hyper::header::HeaderValue::from_static("TEXT named_metrics.link=NaN, named_metrics.uplink=-3");
        response.headers_mut().insert(HEADER, load);
        return response;
    }
    under_way.answered(201);
    let mut response = Response::new(full_body(text));
    *response.status_mut() = StatusCode::CREATED;
    reported(world, id, manager, response)
}
