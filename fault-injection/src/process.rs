//! Child processes that end with the process that started them, and their resource usage.

use crate::error::FaultInjectionError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// A child process. It is killed on drop, so that it does not outlive an early return or a panic.
pub struct Process {
    child: Child,
    exit_status: Option<ExitStatus>,
}

/// Time between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    /// If the operating system can't start the program.
    pub fn start(command: &mut Command) -> Result<Process, FaultInjectionError> {
        let child = command.spawn().map_err(|cause| FaultInjectionError::NotStarted {
            program: command.get_program().to_string_lossy().into_owned(),
            cause,
        })?;
        Ok(Process { child, exit_status: None })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The exit status, or `None` if the process is still running. Doesn't block.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status
    }

    /// Sends a signal. Does nothing if the process has exited, since its id may have been reused.
    pub fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_some() {
            return;
        }
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            _ = kill_process(pid, signal);
        }
    }

    /// Blocks until the process exits by itself, or until the timeout; then returns `None`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while self.exit_status().is_none() && started.elapsed() < timeout {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.exit_status
    }

    /// Kills the process and reaps it, also if it is stopped by a signal.
    pub fn kill(&mut self) {
        if self.exit_status().is_none() {
            _ = self.child.kill();
            self.exit_status = self.child.wait().ok();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Current resident memory, in kB.
    pub memory_kb: f64,
    /// How many times its threads have blocked; each such switch is followed by a wake-up.
    pub voluntary_context_switches: f64,
    /// Processor time in user and kernel mode, in milliseconds.
    pub cpu_ms: f64,
}

/// Position of the user time in `/proc/PID/stat`, counted in fields after the process name.
const USER_TIME_FIELD: usize = 11;
/// Position of the kernel time, counted likewise.
const KERNEL_TIME_FIELD: usize = 12;

/// Reads the resource usage of a process from `/proc`; `None` if it has exited.
pub fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name is in parentheses and may itself contain spaces and parentheses.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(USER_TIME_FIELD)?.parse::<f64>().ok()?
        + fields.get(KERNEL_TIME_FIELD)?.parse::<f64>().ok()?;
    let cpu_ms = ticks * 1e3 / rustix::param::clock_ticks_per_second() as f64;
    let memory_kb = status_value(&fs::read_to_string(format!("/proc/{pid}/status")).ok()?, "VmRSS:")?;
    let mut voluntary_context_switches = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let status = fs::read_to_string(thread.path().join("status")).unwrap_or_default();
        voluntary_context_switches += status_value(&status, "voluntary_ctxt_switches:").unwrap_or(0.0);
    }
    Some(ResourceUsage { memory_kb, voluntary_context_switches, cpu_ms })
}

/// The number after `key` in the text of a `/proc/PID/status` file.
fn status_value(status: &str, key: &str) -> Option<f64> {
    status.lines().find_map(|line| line.strip_prefix(key))?.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn start_sleep() -> Process {
        Process::start(Command::new("sleep").arg("60")).unwrap()
    }

    #[test]
    fn a_dropped_process_is_killed() {
        let id = start_sleep().id();
        assert_eq!(resource_usage(id), None);
    }

    #[test]
    fn a_stopped_process_can_be_killed() {
        let mut process = start_sleep();
        process.signal(Signal::STOP);
        assert_eq!(process.wait(Duration::from_millis(50)), None);
        process.kill();
        assert!(process.exit_status().is_some());
    }

    #[test]
    fn resource_usage_reads_memory_and_processor_time() {
        let process = start_sleep();
        let has_memory = |_: &u32| resource_usage(process.id()).is_some_and(|usage| usage.memory_kb > 100.0);
        let polls = (0..200).inspect(|_| std::thread::sleep(POLL_INTERVAL));
        assert!(polls.into_iter().any(|poll| has_memory(&poll)));
        let before = resource_usage(std::process::id()).unwrap();
        // A busy machine gives this process little processor time, so it computes until it has had 20 ms.
        let started = Instant::now();
        let (mut sum, mut after) = (0u64, before);
        while after.cpu_ms < before.cpu_ms + 20.0 && started.elapsed() < Duration::from_secs(10) {
            (0..1_000_000).for_each(|_| sum = sum.wrapping_add(std::hint::black_box(1)));
            after = resource_usage(std::process::id()).unwrap();
        }
        assert!(after.cpu_ms >= before.cpu_ms + 20.0, "{before:?} {after:?}");
    }
}
