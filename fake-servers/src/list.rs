//! The list of servers and titles: a catalogue that is asked by blocking queries.

use crate::book::FIRST_INDEX;
use crate::http::{manager, plain, query, LIMITS};
use crate::wires::Far;
use crate::world::{Shared, World};
use hyper::body::Incoming;
use hyper::{Request, Response};
use ottersail_invariants::record::Standing as Told;
use ottersail_invariants::Event;
use ottersail_net::{full_body, Body, ConnectionCounts, Listener, TaskGroup, Timer};
use ottersail_wire::catalogue::{
    write_servers, write_titles, CatalogueServer, Standing, Title, INDEX_HEADER,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A title begins so many cells after the one before it.
pub const TITLE_STRIDE: u64 = 7;

pub(crate) fn serve(nursery: &TaskGroup, listener: Listener, world: &Shared) {
    let shared = world.clone();
    let handler = move |request: Request<Incoming>, _| {
        let world = shared.clone();
        async move { answer(&world, &request).await }
    };
    nursery.spawn(ottersail_net::serve(nursery.clone(), listener, LIMITS, ConnectionCounts::new(), handler));
}

async fn answer(world: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let index = query(request, "index").and_then(|it| it.parse::<usize>().ok());
    let wait =
        query(request, "wait").and_then(|it| it.strip_suffix("ms")?.parse::<u64>().ok()).unwrap_or(5000);
    let deadline = Instant::now() + Duration::from_millis(wait.min(60_000));
    let servers = request.uri().path().starts_with("/v1/health/service/");
    if !servers && !request.uri().path().starts_with("/v1/kv/titles") {
        return plain(404, "no such query");
    }
    loop {
        let (silent, failing, garbled) = {
            let it = world.borrow();
            (it.book.silent, it.book.failing, it.book.garbled)
        };
        match () {
            () if silent => {}
            () if failing => return plain(500, "no leader"),
            () if garbled => return indexed(FIRST_INDEX + 9_000, garble(world)),
            _ if !servers => {
                if index.is_none_or(|it| it != 1) || Instant::now() >= deadline {
                    return indexed(1, titles(world));
                }
            }
            _ => {
                let found = {
                    let it = world.borrow();
                    let time = it.now() - it.book.behind - it.book.back;
                    let back = it.book.back > 0.0;
                    let at = it.book.index(time);
                    let news = index.is_none_or(|before| at > before || (back && at < before));
                    (news || Instant::now() >= deadline).then(|| (at, it.book.at(time)))
                };
                if let Some((at, mut list)) = found {
                    let mut it = world.borrow_mut();
                    tell(&mut it, manager(request), index.is_none(), &list);
                    by_wire(&mut it, manager(request), &mut list);
                    let text = write_servers(&list);
                    return indexed(at, text);
                }
            }
        }
        Timer::after(Duration::from_millis(25)).await;
    }
}

/// Where a fault of the day may take a wire, the manager is told its end.
fn by_wire(world: &mut World, manager: usize, list: &mut [CatalogueServer]) {
    if world.wires.is_empty() {
        return;
    }
    for it in list {
        if let Ok(real) = it.address.parse() {
            it.address = world.wires.address(manager, Far::Cell(it.cell), real).to_string();
        }
    }
}

/// A list that is cut off, that names a server twice, or that is none.
fn garble(world: &Shared) -> String {
    let mut it = world.borrow_mut();
    let now = it.now();
    let mut list = it.book.at(now);
    match it.rng.u8(..3) {
        0 => write_servers(&list[..1]).split_off(1),
        1 => {
            list.extend(list.first().cloned());
            write_servers(&list)
        }
        _ => "<html>sign in</html>".into(),
    }
}

fn indexed(index: usize, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    response.headers_mut().insert(INDEX_HEADER, index.into());
    response
}

/// Writes down what the manager is told anew.
fn tell(world: &mut World, manager: usize, fresh: bool, list: &[CatalogueServer]) {
    let told = world.book.told.entry(manager).or_default();
    if fresh {
        told.clear();
    }
    let mut now: BTreeMap<String, Told> = told.keys().map(|it| (it.clone(), Told::Gone)).collect();
    for it in list {
        let standing = if it.standing == Standing::Up { Told::Up } else { Told::Draining };
        now.insert(it.id.clone(), standing);
    }
    for (server, standing) in &now {
        if told.get(server) != Some(standing) {
            let event = Event::Told { manager, server: server.clone(), standing: *standing };
            world.recorder.note(event);
        }
    }
    *told = now;
}

/// They never change: written once.
fn titles(world: &Shared) -> String {
    let (day, known) = {
        let it = world.borrow();
        (it.day.clone(), it.book.titles.clone())
    };
    if let Some(text) = known {
        return text;
    }
    let mut titles = Vec::new();
    for package in &day.packages {
        for number in 0..day.titles {
            let name = format!("{}-{number}", package.name);
            titles.push(Title {
                name,
                base: (number as u64 * TITLE_STRIDE) % day.cells.max(1),
                copies: day.copies,
            });
        }
    }
    let text = write_titles(&titles);
    world.borrow_mut().book.titles = Some(text.clone());
    text
}
