//! How full a server is, told on its answers.

use crate::world::Shared;
use hyper::Response;
use ottersail_net::Body;
use ottersail_wire::report::{Report, HEADER};

pub(super) fn reported(world: &Shared, id: &str, manager: usize, response: Response<Body>) -> Response<Body> {
    if world.borrow().day.probes(manager) {
        return response;
    }
    load(world, id, response)
}

pub(super) fn load(world: &Shared, id: &str, mut response: Response<Body>) -> Response<Body> {
    if world.borrow().procs.get(id).is_some_and(|it| it.ill.lose_reports) {
        return response;
    }
    let report = Report { delivered: None, ..world.borrow().fleet.report(id) };
    if let Ok(value) = report.text().parse() {
        response.headers_mut().insert(HEADER, value);
    }
    response
}
