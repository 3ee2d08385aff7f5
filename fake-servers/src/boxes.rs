//! A streaming server on HTTP.

mod load;
mod notes;
mod plays;
mod set_up;
mod titles;

use crate::http::{manager, plain, LIMITS};
use crate::world::Shared;
use futures_lite::future::pending;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use load::load;
use notes::{listen, tell};
use ottersail_net::{Body, ConnectionCounts, Listener, TaskGroup};
use plays::{end, fetch, step};
use set_up::set_up;

pub(crate) fn serve(nursery: &TaskGroup, listener: Listener, world: &Shared, id: &str) {
    let (shared, name) = (world.clone(), id.to_string());
    let handler = move |request: Request<Incoming>, _| {
        let (world, id) = (shared.clone(), name.clone());
        async move { answer(&world, &id, &request).await }
    };
    nursery.spawn(ottersail_net::serve(nursery.clone(), listener, LIMITS, ConnectionCounts::new(), handler));
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
