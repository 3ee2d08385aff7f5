//! The day's faults by their script: one task for each.

use crate::day::{Fault, FaultKind};
use crate::faults::{each, join, shorten, take_link, until};
use crate::lives::{come_back, reset, retire};
use crate::world::{die, Shared};
use ottersail_invariants::Event;
use ottersail_net::TaskGroup;

/// One task for each fault of the day.
pub(crate) fn script(world: &Shared, nursery: &TaskGroup) {
    let day = world.borrow().day.clone();
    for (ix, fault) in day.faults.iter().enumerate() {
        let (world, fault) = (world.clone(), fault.clone());
        if fault.condition().is_some() {
            nursery.spawn(async move { take_wires(&world, ix, &fault).await });
        } else {
            nursery.spawn(async move { carry_out(&world, &fault).await });
        }
    }
}

async fn take_wires(world: &Shared, ix: usize, fault: &Fault) {
    for (second, on) in [(fault.start, true), (fault.end, false)] {
        until(world, second).await;
        let what = world.borrow_mut().wires.switch(ix, on);
        world.borrow().recorder.note(Event::Fault { name: fault.name.clone(), on, what });
    }
}

async fn carry_out(world: &Shared, fault: &Fault) {
    use FaultKind as Kind;
    let ours = !matches!(
        fault.kind,
        Kind::Crowd
            | Kind::Burst
            | Kind::SlowReaders
            | Kind::Nonsense
            | Kind::Forgers
            | Kind::ManagerKill
            | Kind::ManagerRoll
            | Kind::CoreStall
            | Kind::ManagerStall
            | Kind::GossipLoss
            | Kind::GossipCut
            | Kind::GossipSlow
    );
    if !ours {
        return;
    }
    until(world, fault.start).await;
    let ids = world.borrow_mut().pick(fault.part);
    let note = |on: bool, what: &[String]| {
        let event = Event::Fault { name: fault.name.clone(), on, what: what.join(" ") };
        world.borrow().recorder.note(event);
    };
    note(true, &ids);
    let (notice, silent) = {
        let it = world.borrow();
        (it.day.notice, it.day.silent_notice)
    };
    match fault.kind {
        Kind::ListSilent => world.borrow_mut().book.silent = true,
        Kind::ListFailing => world.borrow_mut().book.failing = true,
        Kind::ListGarbled => world.borrow_mut().book.garbled = true,
        Kind::Garble => each(world, &ids, |it| it.ill.garble = true),
        Kind::Errors => each(world, &ids, |it| it.ill.errors = true),
        Kind::LoseReports => each(world, &ids, |it| it.ill.lose_reports = true),
        Kind::ShortLinks => shorten(world, &ids, fault.size),
        Kind::Join => join(world, fault).await,
        Kind::ListStale => world.borrow_mut().book.behind = fault.size * 1e3,
        Kind::ListBack => world.borrow_mut().book.back = fault.size * 1e3,
        Kind::Hang => each(world, &ids, |it| it.ill.hang = true),
        Kind::LoseAnswers => each(world, &ids, |it| it.ill.lose_answers = true),
        Kind::Stall => each(world, &ids, |it| it.ill.stall = true),
        Kind::SlowLinks => world.borrow_mut().fleet.slow = fault.size,
        Kind::LateReports => world.borrow_mut().reports_late = fault.size * 1e3,
        Kind::Crash => ids.iter().for_each(|id| die(world, id, notice)),
        Kind::Vanish => {
            for id in &ids {
                let mut it = world.borrow_mut();
                if let Some(proc) = it.procs.get_mut(id) {
                    proc.alive = false;
                    proc.nursery.pause();
                }
                it.recorder.note(Event::ServerEnded { server: id.clone() });
                it.publish(id, silent);
            }
        }
        Kind::Reset => ids.iter().for_each(|id| reset(world, id)),
        Kind::Drain => {
            for id in &ids {
                let mut it = world.borrow_mut();
                it.procs.get_mut(id).into_iter().for_each(|it| it.draining = true);
                it.publish(id, notice);
            }
        }
        Kind::Replace | Kind::Remove => {
            let gap = (fault.end - fault.start) / ids.len() as f64;
            for (ix, id) in ids.iter().enumerate() {
                until(world, fault.start + gap * ix as f64).await;
                retire(world, id.clone(), fault.size, fault.kind == Kind::Replace);
            }
        }
        Kind::Neighbour => {
            let mut second = fault.start;
            let mut on = true;
            while second < fault.end {
                take_link(world, &ids, if on { fault.size } else { 0.0 });
                (on, second) = (!on, second + 2.0);
                until(world, second.min(fault.end)).await;
            }
        }
        _ => {}
    }
    until(world, fault.end).await;
    match fault.kind {
        Kind::ListSilent => world.borrow_mut().book.silent = false,
        Kind::ListFailing => world.borrow_mut().book.failing = false,
        Kind::ListGarbled => world.borrow_mut().book.garbled = false,
        Kind::Garble => each(world, &ids, |it| it.ill.garble = false),
        Kind::Errors => each(world, &ids, |it| it.ill.errors = false),
        Kind::LoseReports => each(world, &ids, |it| it.ill.lose_reports = false),
        Kind::ShortLinks => shorten(world, &ids, 1.0),
        Kind::ListStale => world.borrow_mut().book.behind = 0.0,
        Kind::ListBack => world.borrow_mut().book.back = 0.0,
        Kind::Hang => each(world, &ids, |it| it.ill.hang = false),
        Kind::LoseAnswers => each(world, &ids, |it| it.ill.lose_answers = false),
        Kind::Stall => each(world, &ids, |it| it.ill.stall = false),
        Kind::SlowLinks => world.borrow_mut().fleet.slow = 1.0,
        Kind::LateReports => world.borrow_mut().reports_late = 0.0,
        Kind::Crash | Kind::Vanish => {
            for id in &ids {
                come_back(world, id).await;
            }
        }
        Kind::Drain => {
            for id in &ids {
                let mut it = world.borrow_mut();
                it.procs.get_mut(id).into_iter().for_each(|it| it.draining = false);
                it.publish(id, notice);
            }
        }
        Kind::Neighbour => take_link(world, &ids, 0.0),
        _ => {}
    }
    note(false, &ids);
}
