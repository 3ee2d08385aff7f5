//! What faults do to servers, a part at a time.

use crate::day::Fault;
use crate::lives::add;
use crate::world::{Proc, Shared};
use ottersail_net::Timer;

pub(crate) async fn until(world: &Shared, second: f64) {
    let at = {
        let it = world.borrow();
        it.recorder.clock().instant(it.began + second * 1e3)
    };
    Timer::at(at).await;
}

pub(crate) fn each(world: &Shared, ids: &[String], change: impl Fn(&mut Proc)) {
    let mut it = world.borrow_mut();
    for id in ids {
        if let Some(proc) = it.procs.get_mut(id) {
            change(proc);
        }
    }
}

/// Their links give so many times less.
pub(crate) fn shorten(world: &Shared, ids: &[String], times: f64) {
    let mut it = world.borrow_mut();
    for id in ids {
        if let Some(server) = it.fleet.servers.get_mut(id) {
            server.short = times.max(1.0);
        }
    }
}

/// New, cold servers come one after the other, each in the next cell that never had one.
pub(crate) async fn join(world: &Shared, fault: &Fault) {
    let count = fault.size.max(1.0) as u64;
    for number in 0..count {
        until(world, fault.start + (fault.end - fault.start) * number as f64 / count as f64).await;
        let (cell, cells) = {
            let it = world.borrow();
            (it.fleet.servers.values().map(|it| it.cell + 1).max().unwrap_or(0), it.day.cells)
        };
        if cell >= cells || add(world, cell, true).is_err() {
            return;
        }
    }
}

/// Another program takes that part of their links.
pub(crate) fn take_link(world: &Shared, ids: &[String], part: f64) {
    let mut it = world.borrow_mut();
    for id in ids {
        if let Some(server) = it.fleet.servers.get_mut(id) {
            server.taken = part;
        }
    }
}
