//! Measures the managers' use of memory and processor time, at rest and over the day.

use super::manager_process::Manager;
use crate::settings::day::DayPlan;
use ottersail_fake_servers::Recorder;
use ottersail_fault_injection::{resource_usage, ResourceUsage};
use ottersail_invariants::Event;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time for the managers to finish starting, which must not count as rest.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// How often an interruption is checked for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Measures the managers while no viewers come, if the day has a time of rest.
pub(super) fn measure_rest(
    plan: &DayPlan,
    managers: &[Manager],
    recorder: &Recorder,
    interrupted: &AtomicBool,
) {
    if plan.rest.0 <= 0.0 {
        return;
    }
    wait(SETTLE_TIME, interrupted);
    let measure = || {
        managers
            .iter()
            .filter_map(|manager| resource_usage(manager.process.id()))
            .collect::<Vec<ResourceUsage>>()
    };
    let (before, began) = (measure(), Instant::now());
    wait(Duration::from_secs_f64(plan.rest.0 / 1e3), interrupted);
    let (after, seconds) = (measure(), began.elapsed().as_secs_f64());
    let mean = |figure: &dyn Fn(&ResourceUsage) -> f64, costs: &[ResourceUsage]| {
        costs.iter().map(figure).sum::<f64>() / costs.len() as f64
    };
    let rate =
        |figure: &dyn Fn(&ResourceUsage) -> f64| (mean(figure, &after) - mean(figure, &before)) / seconds;
    recorder.note(Event::Rested {
        managers: after.len(),
        memory_kb: mean(&|cost| cost.memory_kb, &after),
        wakes: rate(&|cost| cost.voluntary_context_switches),
        cpu: rate(&|cost| cost.cpu_ms),
    });
}

/// Records the processor time that all managers have used over the day. Of a restarted manager, only its last
/// process counts. `before` has the managers' costs at the start of the day.
pub(super) fn record_cpu_time(managers: &[Manager], before: &[Option<ResourceUsage>], recorder: &Recorder) {
    let mut cpu = 0.0;
    for (manager, before) in managers.iter().zip(before) {
        let now = resource_usage(manager.process.id()).map_or(0.0, |cost| cost.cpu_ms);
        cpu += now - before.filter(|_| manager.starts == 1).map_or(0.0, |cost| cost.cpu_ms);
    }
    recorder.note(Event::Spent { cpu });
}

/// Waits for `duration`, or until an interruption.
fn wait(duration: Duration, interrupted: &AtomicBool) {
    let until = Instant::now() + duration;
    while Instant::now() < until && !interrupted.load(Ordering::Acquire) {
        std::thread::sleep(POLL_INTERVAL);
    }
}
