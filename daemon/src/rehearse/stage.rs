//! The managers of a rehearsal, each a process of its own.

use super::error::{at, RehearseError, UncleanExit};
use ottersail_fault_injection::Process;
use ottersail_front::baseline::{Pick, PICKS};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub(super) struct Manager {
    pub number: usize,
    pub address: SocketAddr,
    pub child: Process,
    pub lives: usize,
    /// What was wrong with the end of an earlier life, or the start of a later one.
    pub unclean: Option<UncleanExit>,
}

pub(super) struct Stage {
    pub folder: PathBuf,
    pub program: PathBuf,
    pub recording: bool,
    pub log: String,
    pub seed: u64,
    pub beside: Option<PathBuf>,
    pub pick: Option<Pick>,
    pub one_seed: bool,
    /// The core that is to stand still, and for how many milliseconds.
    pub stall: Option<(usize, u64)>,
}

impl Stage {
    pub fn start(&self, number: usize, life: usize) -> Result<Process, RehearseError> {
        let path = self.folder.join(format!("manager-{number}.log"));
        let log = File::options().create(true).append(true).open(&path).map_err(at(path))?;
        let other = self.beside.as_ref().filter(|_| number % 2 == 1);
        let program = other.unwrap_or(&self.program);
        let mut command = Command::new(program);
        command.arg("run").arg(self.folder.join(format!("manager-{number}.ini")));
        command.args(["--log", &self.log]);
        // Not the same chance for each manager and life.
        let own = if self.one_seed { 0 } else { (number * 1_009 + life * 7_919) as u64 };
        let seed = self.seed.wrapping_mul(1_000_003) + own;
        command.arg("--seed").arg(seed.to_string());
        if let Some((core, ms)) = self.stall {
            command.arg("--stall").arg(format!("{core}:{ms}"));
        }
        if self.recording {
            command.arg("--record").arg(self.tape(number, life));
        }
        if other.is_none() {
            command.arg("--with-parent");
        }
        if let Some((name, _)) = PICKS.iter().find(|it| it.1.is_some() && it.1 == self.pick) {
            command.args(["--pick", name]);
        }
        Process::start(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log)).map_err(|it| {
            RehearseError::Start { manager: number, program: program.clone(), cause: it.to_string() }
        })
    }

    pub fn start_again(&self, it: &mut Manager) {
        match self.start(it.number, it.lives) {
            Ok(child) => (it.child, it.lives) = (child, it.lives + 1),
            Err(trouble) => {
                it.unclean =
                    Some(UncleanExit::RestartFailed { manager: it.number, cause: trouble.to_string() })
            }
        }
    }

    pub fn tape(&self, number: usize, life: usize) -> PathBuf {
        self.folder.join(format!("manager-{number}-{life}.tape"))
    }
}

/// Waits for a manager to end by itself; what is wrong if it does not, or not well.
pub(super) fn wait_end(it: &mut Manager, timeout: Duration) -> Option<UncleanExit> {
    match it.child.wait(timeout) {
        Some(status) if status.success() => None,
        Some(status) => Some(UncleanExit::Failed { manager: it.number, status }),
        None => {
            it.child.kill();
            Some(UncleanExit::TimedOut { manager: it.number, timeout })
        }
    }
}

/// Each manager has an address of its own in 127.0.0.0/8, and a port there that nobody holds just now;
/// rehearsals at the same time mostly lie in other networks.
pub(super) fn own_address(manager: usize) -> Result<SocketAddr, RehearseError> {
    let [network, high, low] =
        [std::process::id() % 200 + 16, manager as u32 / 250, manager as u32 % 250 + 1];
    let address = Ipv4Addr::new(127, network as u8, high as u8, low as u8);
    let free = TcpListener::bind((address, 0)).and_then(|it| it.local_addr());
    free.map_err(|cause| RehearseError::Address { manager, cause })
}

pub(super) fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(100))?;
        stream.set_read_timeout(Some(Duration::from_millis(200)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: manager\r\nconnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b"200"))
    };
    ask().unwrap_or(false)
}

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
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(RehearseError::NotReady { address, timeout })
}

/// Puts the records of all managers and lives into one file, one after the other.
pub(super) fn gather(stage: &Stage, managers: &[Manager], to: &Path) -> Result<(), RehearseError> {
    let mut out = File::create(to).map_err(at(to))?;
    for it in managers {
        for life in 0..it.lives {
            let mut text = fs::read(stage.tape(it.number, life)).map_err(at(stage.tape(it.number, life)))?;
            if text.last().is_some_and(|it| *it != b'\n') {
                text.push(b'\n');
            }
            out.write_all(&text).map_err(at(to))?;
        }
    }
    out.flush().map_err(at(to))
}
