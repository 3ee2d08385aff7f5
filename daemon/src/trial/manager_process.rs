//! A session manager as a process: its configuration file, its log, its signals.

use ottersail_fault_injection::{resource_usage, FaultInjectionError, Process, ResourceUsage};
use rustix::process::Signal;
use serde_json::Value;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Name of the configuration file.
const CONFIG_FILE: &str = "config.json";
/// Name of the log file.
const LOG_FILE: &str = "log";
/// Pause between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Limit for connecting and for the answer, in a readiness check.
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How the managers of a trial are started.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// Path of the program `ottersail`.
    pub program: PathBuf,
    /// Folder that each manager's own folder is created in.
    pub folder: PathBuf,
    /// Most file descriptors that a process may hold open.
    pub sockets: usize,
    /// The managers' log filter.
    pub log_filter: String,
}

/// One session manager of a trial. Dropping it kills it.
pub struct ManagerProcess {
    /// The manager's number, which names its folder.
    pub number: usize,
    /// The address that the manager listens at.
    pub address: SocketAddr,
    launch: LaunchOptions,
    process: Process,
}

impl LaunchOptions {
    fn failed(&self, cause: io::Error) -> FaultInjectionError {
        FaultInjectionError::NotStarted { program: self.program.display().to_string(), cause }
    }

    fn spawn(&self) -> Result<Process, FaultInjectionError> {
        let log = File::options().create(true).append(true).open(self.folder.join(LOG_FILE));
        let log = log.map_err(|cause| self.failed(cause))?;
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {}; exec \"$0\" --log \"$1\" node", self.sockets))
            .arg(&self.program)
            .arg(&self.log_filter)
            .env("BALANCER_CONFIG", self.folder.join(CONFIG_FILE))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Process::start(&mut command)
    }
}

impl ManagerProcess {
    /// Starts a manager that listens at the address; it is not ready yet.
    ///
    /// # Errors
    /// If files can't be written or the program can't be started.
    pub fn start(
        launch: &LaunchOptions,
        number: usize,
        address: SocketAddr,
        config: &Value,
    ) -> Result<ManagerProcess, FaultInjectionError> {
        let launch = LaunchOptions { folder: launch.folder.join(format!("n{number}")), ..launch.clone() };
        let written = std::fs::create_dir_all(&launch.folder)
            .and_then(|()| std::fs::write(launch.folder.join(CONFIG_FILE), config.to_string()));
        written.map_err(|cause| launch.failed(cause))?;
        let process = launch.spawn()?;
        Ok(ManagerProcess { number, address, launch, process })
    }

    /// Starts another process in place of the current one, which is killed if it still runs.
    ///
    /// # Errors
    /// As of [`ManagerProcess::start`].
    pub fn restart(&mut self) -> Result<(), FaultInjectionError> {
        self.process.kill();
        self.process = self.launch.spawn()?;
        Ok(())
    }

    /// Replaces the configuration file atomically. The manager reads it on SIGHUP.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_config(&self, config: &Value) -> io::Result<()> {
        let next = self.launch.folder.join("next.json");
        std::fs::write(&next, config.to_string())?;
        std::fs::rename(next, self.launch.folder.join(CONFIG_FILE))
    }

    /// Waits until the manager answers a request; false if it does not within `limit` or has ended.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit && self.process.exit_status().is_none() {
            if is_ready(self.address) {
                return true;
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Waits for the process to end by itself; `None` if it does not within `limit`, else whether it succeeded.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<bool> {
        self.process.wait(limit).map(|status| status.success())
    }

    /// The exit code if the process has ended; the inner `None` stands for a signal.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        self.process.exit_status().map(|status| status.code())
    }

    /// The memory and processor time that the process uses.
    pub fn cost(&self) -> Option<ResourceUsage> {
        resource_usage(self.process.id())
    }

    /// Number of file descriptors that the process holds open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count)
    }

    /// The log of all processes of this manager so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.launch.folder.join(LOG_FILE)).unwrap_or_default()
    }
}

/// Whether the manager answers an OPTIONS request with 200.
fn is_ready(address: SocketAddr) -> bool {
    let request = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, READY_CHECK_TIMEOUT)?;
        stream.set_read_timeout(Some(READY_CHECK_TIMEOUT))?;
        stream.write_all(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")?;
        let mut answer = [0; 64];
        let count = stream.read(&mut answer)?;
        Ok(answer[..count].starts_with(b"RTSP/1.0 200"))
    };
    request().unwrap_or(false)
}
