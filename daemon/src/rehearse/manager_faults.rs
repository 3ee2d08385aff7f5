//! Kills, stops and restarts managers during a day, as the day's faults say.

use super::error::UncleanExit;
use super::manager_process::{is_ready, Manager, ManagerLauncher};
use super::options::EXIT_TIMEOUT;
use crate::settings::day::DayPlan;
use ottersail_fake_servers::{Fault, FaultKind, Recorder};
use ottersail_invariants::Event;
use rustix::process::Signal;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How often the managers and the schedule are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Flags that end a day.
pub(super) struct StopFlags<'a> {
    /// The players are done.
    pub day_over: &'a AtomicBool,
    /// This process received SIGTERM or SIGINT.
    pub interrupted: &'a AtomicBool,
}

/// A manager that was sent SIGTERM and has not exited yet.
struct EndingManager {
    manager: usize,
    /// When SIGTERM was sent.
    terminated_at: Instant,
}

/// Carries out the faults of managers until the day is over.
pub(super) fn run_manager_faults(
    plan: &DayPlan,
    launcher: &ManagerLauncher,
    recorder: &Recorder,
    began: Instant,
    managers: &mut [Manager],
    stop: &StopFlags,
) {
    let mut actions = schedule(plan, managers.len());
    let mut starting: Vec<usize> = Vec::new();
    let mut ending: Vec<EndingManager> = Vec::new();
    while !stop.day_over.load(Ordering::Acquire) && !stop.interrupted.load(Ordering::Acquire) {
        std::thread::sleep(POLL_INTERVAL);
        starting.retain(|manager| {
            let ready = is_ready(managers[*manager].address);
            if ready {
                recorder.note(Event::ManagerReady { manager: *manager });
            }
            !ready
        });
        ending.retain(|EndingManager { manager, terminated_at }| {
            let (index, manager) = (*manager, &mut managers[*manager]);
            match manager.process.exit_status() {
                Some(status) if !status.success() => {
                    manager.unclean = Some(UncleanExit::Failed { manager: index, status });
                }
                Some(_) => {}
                None if terminated_at.elapsed() < EXIT_TIMEOUT => return true,
                None => {
                    manager.unclean = Some(UncleanExit::TimedOut { manager: index, timeout: EXIT_TIMEOUT });
                    manager.process.kill();
                }
            }
            recorder.note(Event::ManagerEnded { manager: index });
            launcher.restart(manager);
            starting.push(index);
            false
        });
        let elapsed_s = began.elapsed().as_secs_f64();
        if Instant::now() < began || actions.last().is_none_or(|next| next.second > elapsed_s) {
            continue;
        }
        let Some(ScheduledAction { action, manager: index, fault, .. }) = actions.pop() else {
            continue;
        };
        let manager = &mut managers[index];
        match action {
            Action::Kill => {
                recorder.note(Event::ManagerKilled { manager: index });
                manager.process.kill();
            }
            Action::Start => {
                launcher.restart(manager);
                starting.push(index);
            }
            Action::Terminate => {
                recorder.note(Event::ManagerTold { manager: index });
                manager.process.signal(Signal::TERM);
                ending.push(EndingManager { manager: index, terminated_at: Instant::now() });
            }
            Action::Stop => {
                recorder.note(Event::ManagerStopped { manager: index });
                manager.process.signal(Signal::STOP);
            }
            Action::StallCore => {
                recorder.note(Event::CoreStopped { manager: index });
                manager.process.signal(Signal::USR1);
            }
            Action::NoteCoreContinues => recorder.note(Event::CoreContinued { manager: index }),
            Action::Continue => {
                manager.process.signal(Signal::CONT);
                recorder.note(Event::ManagerContinued { manager: index });
            }
        }
        let on = matches!(action, Action::Kill | Action::Stop | Action::StallCore);
        recorder.note(Event::Fault { name: fault, on, what: format!("manager {index}") });
    }
}

/// What is done to a manager.
enum Action {
    /// Sends SIGKILL.
    Kill,
    /// Starts another process after a kill.
    Start,
    /// Sends SIGTERM; the manager is restarted once it has ended.
    Terminate,
    /// Sends SIGSTOP.
    Stop,
    /// Sends SIGCONT.
    Continue,
    /// Sends SIGUSR1, which stalls a core for a fixed time.
    StallCore,
    /// Records that a stalled core runs again; nothing is sent.
    NoteCoreContinues,
}

/// An action on a manager, at a time of the day.
struct ScheduledAction {
    /// Time since the start of the day, in seconds.
    second: f64,
    action: Action,
    manager: usize,
    /// The fault's name.
    fault: String,
}

/// The actions of all faults on managers, the last one first.
fn schedule(plan: &DayPlan, managers: usize) -> Vec<ScheduledAction> {
    let mut actions = Vec::new();
    for fault in &plan.day.faults {
        let mut add = |second: f64, action: Action, manager: usize| {
            actions.push(ScheduledAction { second, action, manager, fault: fault.name.clone() });
        };
        if fault.kind == FaultKind::ManagerRestart {
            let together = ((managers as f64 * fault.part).round() as usize).clamp(1, managers);
            let gap = (fault.end - fault.start) / managers.div_ceil(together) as f64;
            for manager in 0..managers {
                let second = fault.start + gap * (manager / together) as f64;
                add(second, Action::Terminate, manager);
            }
            continue;
        }
        let count = ((managers as f64 * fault.part).round() as usize).clamp(1, managers);
        let gap = (fault.end - fault.start) / count as f64;
        for (position, manager) in (0..managers).rev().take(count).enumerate() {
            let Fault { start, end, size, .. } = *fault;
            let staggered = start + gap * position as f64;
            let (from, to, first, second) = match fault.kind {
                FaultKind::ManagerKill => (start, end, Action::Kill, Action::Start),
                FaultKind::ManagerRoll => (staggered, staggered + size, Action::Kill, Action::Start),
                FaultKind::ManagerStall => (start, end, Action::Stop, Action::Continue),
                FaultKind::CoreStall => (start, start + size, Action::StallCore, Action::NoteCoreContinues),
                _ => continue,
            };
            add(from, first, manager);
            add(to, second, manager);
        }
    }
    actions.sort_by(|a, b| b.second.total_cmp(&a.second));
    actions
}
