//! What managers take of the machine, at rest and over the day.

use super::stage::Manager;
use crate::settings::day::DayPlan;
use ottersail_fake_servers::Recorder;
use ottersail_fault_injection::{resource_usage, ResourceUsage};
use ottersail_invariants::Event;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Nobody comes for a while, and what the managers take meanwhile is written down.
pub(super) fn rest(plan: &DayPlan, managers: &[Manager], recorder: &Recorder, interrupted: &AtomicBool) {
    if plan.rest.0 <= 0.0 {
        return;
    }
    // What starting took is not rest.
    pause(Duration::from_secs(1), interrupted);
    let all =
        || managers.iter().filter_map(|it| resource_usage(it.child.id())).collect::<Vec<ResourceUsage>>();
    let (before, began) = (all(), Instant::now());
    pause(Duration::from_secs_f64(plan.rest.0 / 1e3), interrupted);
    let (after, seconds) = (all(), began.elapsed().as_secs_f64());
    let mean = |of: &dyn Fn(&ResourceUsage) -> f64, all: &[ResourceUsage]| {
        all.iter().map(of).sum::<f64>() / all.len() as f64
    };
    let more = |of: &dyn Fn(&ResourceUsage) -> f64| (mean(of, &after) - mean(of, &before)) / seconds;
    recorder.note(Event::Rested {
        managers: after.len(),
        memory_kb: mean(&|it| it.memory_kb, &after),
        wakes: more(&|it| it.voluntary_context_switches),
        cpu: more(&|it| it.cpu_ms),
    });
}

/// Processor time that the managers have taken over the day; of those that were started again, the last life
/// only.
pub(super) fn spent(managers: &[Manager], before: &[Option<ResourceUsage>], recorder: &Recorder) {
    let mut cpu = 0.0;
    for (it, before) in managers.iter().zip(before) {
        let now = resource_usage(it.child.id()).map_or(0.0, |it| it.cpu_ms);
        cpu += now - before.filter(|_| it.lives == 1).map_or(0.0, |it| it.cpu_ms);
    }
    recorder.note(Event::Spent { cpu });
}

fn pause(span: Duration, interrupted: &AtomicBool) {
    let until = Instant::now() + span;
    while Instant::now() < until && !interrupted.load(Ordering::Acquire) {
        std::thread::sleep(Duration::from_millis(10));
    }
}
