//! The managers of a rehearsal, each a process of its own.

use super::error::{file_error, RehearseError, UncleanExit};
use crate::run::Stall;
use ottersail_fault_injection::Process;
use ottersail_front::baseline::{Pick, PICKS};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Limits for connecting to a manager and for reading its answer, when it is asked whether it is ready.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between two such requests.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A manager and its current process.
pub(super) struct Manager {
    /// The manager's number, counted from 0.
    pub number: usize,
    /// The address that players connect to.
    pub address: SocketAddr,
    /// The current process.
    pub process: Process,
    /// How often the manager was started.
    pub starts: usize,
    /// What was wrong with the exit of an earlier process, or the start of a later one.
    pub unclean: Option<UncleanExit>,
}

/// How the managers of a rehearsal are started.
pub(super) struct ManagerLauncher {
    /// Folder with the managers' files and logs.
    pub folder: PathBuf,
    /// The program of the managers.
    pub program: PathBuf,
    /// Whether managers record their events.
    pub recording: bool,
    /// Log filter of the managers.
    pub log: String,
    /// The day's seed.
    pub seed: u64,
    /// Another version of the program, for every second manager.
    pub other_program: Option<PathBuf>,
    /// A baseline policy, for comparison.
    pub pick: Option<Pick>,
    /// Whether all managers use the same seed.
    pub one_seed: bool,
    /// The core to stall on SIGUSR1.
    pub stall: Option<Stall>,
}

impl ManagerLauncher {
    /// Starts a process of manager `number`, which was started `earlier_starts` times before.
    pub fn start(&self, number: usize, earlier_starts: usize) -> Result<Process, RehearseError> {
        let path = self.folder.join(format!("manager-{number}.log"));
        let log = File::options().create(true).append(true).open(&path).map_err(file_error(path))?;
        let other = self.other_program.as_ref().filter(|_| number % 2 == 1);
        let program = other.unwrap_or(&self.program);
        let mut command = Command::new(program);
        command.arg("run").arg(self.folder.join(format!("manager-{number}.ini")));
        command.args(["--log", &self.log]);
        // Each process gets a seed of its own, unless the day wants the same one for all managers.
        let offset = if self.one_seed { 0 } else { (number * 1_009 + earlier_starts * 7_919) as u64 };
        let seed = self.seed.wrapping_mul(1_000_003) + offset;
        command.arg("--seed").arg(seed.to_string());
        if let Some(Stall { core, ms }) = self.stall {
            command.arg("--stall").arg(format!("{core}:{ms}"));
        }
        if self.recording {
            command.arg("--record").arg(self.record_path(number, earlier_starts));
        }
        if other.is_none() {
            command.arg("--with-parent");
        }
        if let Some((name, _)) = PICKS.iter().find(|(_, pick)| pick.is_some() && *pick == self.pick) {
            command.args(["--pick", name]);
        }
        Process::start(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log)).map_err(|error| {
            RehearseError::Start { manager: number, program: program.clone(), cause: error.to_string() }
        })
    }

    /// Starts another process of a manager whose last one has ended.
    pub fn restart(&self, manager: &mut Manager) {
        match self.start(manager.number, manager.starts) {
            Ok(process) => (manager.process, manager.starts) = (process, manager.starts + 1),
            Err(error) => {
                let cause = error.to_string();
                manager.unclean = Some(UncleanExit::RestartFailed { manager: manager.number, cause });
            }
        }
    }

    fn record_path(&self, number: usize, earlier_starts: usize) -> PathBuf {
        self.folder.join(format!("manager-{number}-{earlier_starts}.tape"))
    }
}

/// Waits for a manager to exit by itself, and kills it after `timeout`. `None` if it has exited successfully.
pub(super) fn wait_for_exit(manager: &mut Manager, timeout: Duration) -> Option<UncleanExit> {
    match manager.process.wait(timeout) {
        Some(status) if status.success() => None,
        Some(status) => Some(UncleanExit::Failed { manager: manager.number, status }),
        None => {
            manager.process.kill();
            Some(UncleanExit::TimedOut { manager: manager.number, timeout })
        }
    }
}

/// An address for a manager: an IP address of its own in 127.0.0.0/8 with a port that is free now. The network
/// depends on the process id, so that simultaneous rehearsals mostly use different ones.
pub(super) fn free_address(manager: usize) -> Result<SocketAddr, RehearseError> {
    let [network, high, low] =
        [std::process::id() % 200 + 16, manager as u32 / 250, manager as u32 % 250 + 1];
    let address = Ipv4Addr::new(127, network as u8, high as u8, low as u8);
    let free = TcpListener::bind((address, 0)).and_then(|listener| listener.local_addr());
    free.map_err(|cause| RehearseError::Address { manager, cause })
}

/// Whether a manager answers `/ready` with 200.
pub(super) fn is_ready(address: SocketAddr) -> bool {
    let request = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: manager\r\nconnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b"200"))
    };
    request().unwrap_or(false)
}

/// Waits until a manager is ready.
pub(super) fn wait_ready(
    address: SocketAddr,
    timeout: Duration,
    interrupted: &AtomicBool,
) -> Result<(), RehearseError> {
    let began = Instant::now();
    while began.elapsed() < timeout && !interrupted.load(Ordering::Acquire) {
        if is_ready(address) {
            return Ok(());
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
    Err(RehearseError::NotReady { address, timeout })
}

/// Concatenates the records of all processes of all managers into one file.
pub(super) fn merge_records(
    launcher: &ManagerLauncher,
    managers: &[Manager],
    to: &Path,
) -> Result<(), RehearseError> {
    let mut out = File::create(to).map_err(file_error(to))?;
    for manager in managers {
        for start in 0..manager.starts {
            let path = launcher.record_path(manager.number, start);
            let mut text = fs::read(&path).map_err(file_error(path))?;
            if text.last().is_some_and(|byte| *byte != b'\n') {
                text.push(b'\n');
            }
            out.write_all(&text).map_err(file_error(to))?;
        }
    }
    out.flush().map_err(file_error(to))
}
