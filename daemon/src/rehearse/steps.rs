//! What is done to managers while a day is played.

use super::error::UncleanExit;
use super::options::ENDS;
use super::stage::{is_ready, Manager, Stage};
use crate::settings::day::DayPlan;
use ottersail_fake_servers::{Fault, FaultKind, Recorder};
use ottersail_invariants::Event;
use rustix::process::Signal;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Kills and stops managers as the day says, until the players are done.
pub(super) fn trouble(
    plan: &DayPlan,
    stage: &Stage,
    recorder: &Recorder,
    began: Instant,
    managers: &mut [Manager],
    (over, interrupted): (&AtomicBool, &AtomicBool),
) {
    let mut steps = steps_of(plan, managers.len());
    let mut returning: Vec<usize> = Vec::new();
    let mut ending: Vec<(usize, Instant)> = Vec::new();
    while !over.load(Ordering::Acquire) && !interrupted.load(Ordering::Acquire) {
        std::thread::sleep(Duration::from_millis(10));
        returning.retain(|it| {
            let ready = is_ready(managers[*it].address);
            if ready {
                recorder.note(Event::ManagerReady { manager: *it });
            }
            !ready
        });
        ending.retain(|(manager, told)| {
            let it = &mut managers[*manager];
            match it.child.exit_status() {
                Some(status) if !status.success() => {
                    it.unclean = Some(UncleanExit::Failed { manager: *manager, status });
                }
                Some(_) => {}
                None if told.elapsed() < ENDS => return true,
                None => {
                    it.unclean = Some(UncleanExit::TimedOut { manager: *manager, timeout: ENDS });
                    it.child.kill();
                }
            }
            recorder.note(Event::ManagerEnded { manager: *manager });
            stage.start_again(it);
            returning.push(*manager);
            false
        });
        let second = began.elapsed().as_secs_f64();
        if Instant::now() < began || steps.last().is_none_or(|it| it.second > second) {
            continue;
        }
        let Some(Step { act, manager, name, .. }) = steps.pop() else {
            continue;
        };
        let it = &mut managers[manager];
        match act {
            Act::Kill => {
                recorder.note(Event::ManagerKilled { manager });
                it.child.kill();
            }
            Act::Start => {
                stage.start_again(it);
                returning.push(manager);
            }
            Act::Tell => {
                recorder.note(Event::ManagerTold { manager });
                it.child.signal(Signal::TERM);
                ending.push((manager, Instant::now()));
            }
            Act::Stop => {
                recorder.note(Event::ManagerStopped { manager });
                it.child.signal(Signal::STOP);
            }
            Act::StallCore => {
                recorder.note(Event::CoreStopped { manager });
                it.child.signal(Signal::USR1);
            }
            Act::CoreMoves => recorder.note(Event::CoreContinued { manager }),
            Act::GoOn => {
                it.child.signal(Signal::CONT);
                recorder.note(Event::ManagerContinued { manager });
            }
        }
        let on = matches!(act, Act::Kill | Act::Stop | Act::StallCore);
        recorder.note(Event::Fault { name, on, what: format!("manager {manager}") });
    }
}

enum Act {
    Kill,
    Start,
    Tell,
    Stop,
    GoOn,
    StallCore,
    CoreMoves,
}

struct Step {
    second: f64,
    act: Act,
    manager: usize,
    name: String,
}

/// What is done to managers, the last first.
fn steps_of(plan: &DayPlan, managers: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    for fault in &plan.day.faults {
        if fault.kind == FaultKind::ManagerRestart {
            let together = ((managers as f64 * fault.part).round() as usize).clamp(1, managers);
            let gap = (fault.end - fault.start) / managers.div_ceil(together) as f64;
            for manager in 0..managers {
                let second = fault.start + gap * (manager / together) as f64;
                steps.push(Step { second, act: Act::Tell, manager, name: fault.name.clone() });
            }
            continue;
        }
        let count = ((managers as f64 * fault.part).round() as usize).clamp(1, managers);
        let gap = (fault.end - fault.start) / count as f64;
        for (ix, manager) in (0..managers).rev().take(count).enumerate() {
            let Fault { start, end, size, .. } = *fault;
            let late = start + gap * ix as f64;
            let (from, to, first, then) = match fault.kind {
                FaultKind::ManagerKill => (start, end, Act::Kill, Act::Start),
                FaultKind::ManagerRoll => (late, late + size, Act::Kill, Act::Start),
                FaultKind::ManagerStall => (start, end, Act::Stop, Act::GoOn),
                FaultKind::CoreStall => {
                    let name = fault.name.clone();
                    steps.push(Step { second: start, act: Act::StallCore, manager, name: name.clone() });
                    steps.push(Step { second: start + size, act: Act::CoreMoves, manager, name });
                    continue;
                }
                _ => continue,
            };
            let name = &fault.name;
            steps.push(Step { second: from, act: first, manager, name: name.clone() });
            steps.push(Step { second: to, act: then, manager, name: name.clone() });
        }
    }
    steps.sort_by(|a, b| b.second.total_cmp(&a.second));
    steps
}
