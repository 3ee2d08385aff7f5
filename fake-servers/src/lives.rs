//! Servers' processes: they start, come back, are reset and go.

use crate::boxes;
use crate::error::FleetError;
use crate::fleet::Server;
use crate::http::{listen_at, ANY};
use crate::world::{die, Ill, Proc, Shared};
use ottersail_invariants::Event;
use ottersail_net::{Listener, TaskGroup, Timer};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A new server in that cell.
pub(crate) fn add(world: &Shared, cell: u64, cold: bool) -> Result<String, FleetError> {
    let id = {
        let mut it = world.borrow_mut();
        let day = it.day.clone();
        it.born += 1;
        let id = format!("box-{}", it.born);
        let weight = [0.5, 1.0, 1.0, 1.5][it.rng.usize(..4)];
        let uneven = 1.0 + day.uneven * (it.rng.f64() * 2.0 - 1.0);
        let server = Server {
            rack: (cell % day.racks.max(1)) as usize,
            cell,
            zone: day.zones[cell as usize % day.zones.len()].clone(),
            weight,
            link_kb: day.link_kb * weight * uneven,
            places: day.places,
            cold_since: None,
            taken: 0.0,
            short: 1.0,
            asked_kb: 0.0,
            held: BTreeMap::new(),
            sent: VecDeque::new(),
            past: VecDeque::new(),
        };
        it.fleet.servers.insert(id.clone(), server);
        id
    };
    let (listener, address) = listen_at(ANY)?;
    start(world, &id, address, listener, cold);
    let mut it = world.borrow_mut();
    let after = if cold { it.day.notice } else { 0.0 };
    it.publish(&id, after);
    Ok(id)
}

fn start(world: &Shared, id: &str, address: SocketAddr, listener: Listener, cold: bool) {
    let mut it = world.borrow_mut();
    let nursery = TaskGroup::new(it.exec);
    let now = it.now();
    if let Some(server) = it.fleet.servers.get_mut(id) {
        server.cold_since = cold.then_some(now);
        server.held.clear();
        server.sent.clear();
        server.past.clear();
        server.asked_kb = 0.0;
    }
    let proc = Proc {
        address,
        nursery: nursery.clone(),
        alive: true,
        draining: false,
        ill: Ill::default(),
        listeners: BTreeMap::new(),
    };
    it.procs.insert(id.to_string(), proc);
    let places = it.day.places;
    let server = it.fleet.servers.get(id);
    let (cell, link_kb, rack) = server.map_or((0, 0.0, 0), |it| (it.cell, it.link_kb, it.rack));
    let uplink_kb = it.fleet.uplinks_kb.get(rack).copied().unwrap_or(0.0);
    let server = id.to_string();
    it.recorder.note(Event::ServerStarted { server, cold, places, cell, link_kb, rack, uplink_kb });
    drop(it);
    boxes::serve(&nursery, listener, world, id);
}

/// It comes back cold, under its old name and address.
pub(crate) async fn come_back(world: &Shared, id: &str) {
    let (address, nursery) = {
        let it = world.borrow();
        let Some(proc) = it.procs.get(id) else {
            return;
        };
        (proc.address, proc.nursery.clone())
    };
    nursery.cancel_all();
    nursery.resume();
    // The old listener is closed once its task has been dropped.
    for _ in 0..100 {
        Timer::after(Duration::from_millis(20)).await;
        if let Ok((listener, _)) = listen_at(address) {
            start(world, id, address, listener, true);
            let mut it = world.borrow_mut();
            let notice = it.day.notice;
            it.publish(id, notice);
            return;
        }
    }
}

/// All connections of a server are reset; what it holds stays.
pub(crate) fn reset(world: &Shared, id: &str) {
    let Some((address, old)) = world.borrow().procs.get(id).map(|it| (it.address, it.nursery.clone())) else {
        return;
    };
    old.cancel_all();
    let (world, id) = (world.clone(), id.to_string());
    let exec = world.borrow().exec;
    exec.spawn(async move {
        for _ in 0..100 {
            Timer::after(Duration::from_millis(20)).await;
            if let Ok((listener, _)) = listen_at(address) {
                let nursery = TaskGroup::new(exec);
                if let Some(proc) = world.borrow_mut().procs.get_mut(&id) {
                    proc.nursery = nursery.clone();
                    proc.listeners.clear();
                }
                return boxes::serve(&nursery, listener, &world, &id);
            }
        }
    })
    .detach();
}

/// Drains a server for some seconds and ends it; another takes its cell, where it is replaced.
pub(crate) fn retire(world: &Shared, id: String, drain: f64, replace: bool) {
    let cell = {
        let mut it = world.borrow_mut();
        let notice = it.day.notice;
        let Some(proc) = it.procs.get_mut(&id).filter(|it| it.alive) else {
            return;
        };
        proc.draining = true;
        it.publish(&id, notice);
        it.fleet.servers[&id].cell
    };
    let world = world.clone();
    let exec = world.borrow().exec;
    exec.spawn(async move {
        Timer::after(Duration::from_secs_f64(drain)).await;
        let notice = world.borrow().day.notice;
        die(&world, &id, notice);
        if replace {
            _ = add(&world, cell, true);
        }
    })
    .detach();
}
