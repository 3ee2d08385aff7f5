//! Processes that end with who started them, by their own ids, and what they cost.

use crate::error::FaultInjectionError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// A process of this one. Dropping it kills it, however the way out.
pub struct Process {
    child: Child,
    ended: Option<ExitStatus>,
}

const LOOK: Duration = Duration::from_millis(5);

impl Process {
    /// # Errors
    /// The system's, if it can't be started.
    pub fn start(command: &mut Command) -> Result<Process, FaultInjectionError> {
        let child = command.spawn().map_err(|cause| FaultInjectionError::NotStarted {
            program: command.get_program().to_string_lossy().into_owned(),
            cause,
        })?;
        Ok(Process { child, ended: None })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
        }
        self.ended
    }

    /// Signals it; nothing if it has ended, since its id may be another's by now.
    pub fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_some() {
            return;
        }
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            _ = kill_process(pid, signal);
        }
    }

    /// Waits for it to end by itself.
    pub fn wait(&mut self, patience: Duration) -> Option<ExitStatus> {
        let began = Instant::now();
        while self.exit_status().is_none() && began.elapsed() < patience {
            std::thread::sleep(LOOK);
        }
        self.ended
    }

    /// Ends it at once, standing still or not.
    pub fn kill(&mut self) {
        if self.exit_status().is_none() {
            _ = self.child.kill();
            self.ended = self.child.wait().ok();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Memory that it holds now, in kB.
    pub memory_kb: f64,
    /// How often its threads have gone to sleep, and so been woken.
    pub voluntary_context_switches: f64,
    /// Processor time, in milliseconds.
    pub cpu_ms: f64,
}

/// Reads what a process has taken; `None` if it has ended.
pub fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name stands in brackets and may hold anything; after it the twelfth and thirteenth are the times.
    let after: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = after.get(11)?.parse::<f64>().ok()? + after.get(12)?.parse::<f64>().ok()?;
    let cpu_ms = ticks * 1e3 / rustix::param::clock_ticks_per_second() as f64;
    let memory_kb = line(&fs::read_to_string(format!("/proc/{pid}/status")).ok()?, "VmRSS:")?;
    let mut voluntary_context_switches = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let status = fs::read_to_string(thread.path().join("status")).unwrap_or_default();
        voluntary_context_switches += line(&status, "voluntary_ctxt_switches:").unwrap_or(0.0);
    }
    Some(ResourceUsage { memory_kb, voluntary_context_switches, cpu_ms })
}

fn line(status: &str, key: &str) -> Option<f64> {
    status.lines().find_map(|it| it.strip_prefix(key))?.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sleeper() -> Process {
        Process::start(Command::new("sleep").arg("60")).unwrap()
    }

    #[test]
    fn a_process_that_is_dropped_is_gone() {
        let id = sleeper().id();
        assert_eq!(resource_usage(id), None);
    }

    #[test]
    fn one_that_stands_still_is_ended_too() {
        let mut it = sleeper();
        it.signal(Signal::STOP);
        assert_eq!(it.wait(Duration::from_millis(50)), None);
        it.kill();
        assert!(it.exit_status().is_some());
    }

    #[test]
    fn what_it_costs_is_read() {
        let it = sleeper();
        let grown = |_: &u32| resource_usage(it.id()).is_some_and(|it| it.memory_kb > 100.0);
        let looked = (0..200).inspect(|_| std::thread::sleep(LOOK));
        assert!(looked.into_iter().any(|it| grown(&it)));
        let own = resource_usage(std::process::id()).unwrap();
        // A machine with much else to do gives little of its time: it works for as long as that takes.
        let began = Instant::now();
        let (mut sum, mut later) = (0u64, own);
        while later.cpu_ms < own.cpu_ms + 20.0 && began.elapsed() < Duration::from_secs(10) {
            (0..1_000_000).for_each(|_| sum = sum.wrapping_add(std::hint::black_box(1)));
            later = resource_usage(std::process::id()).unwrap();
        }
        assert!(later.cpu_ms >= own.cpu_ms + 20.0, "{own:?} {later:?}");
    }
}
