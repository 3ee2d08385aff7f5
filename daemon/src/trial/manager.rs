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

const CONFIG: &str = "config.json";
const LOG: &str = "log";
const LOOK: Duration = Duration::from_millis(10);
const TEST_ANSWER: Duration = Duration::from_millis(500);

/// How the managers of a trial are started.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// The program `ottersail`.
    pub program: PathBuf,
    /// Each manager has a folder of its own in it.
    pub folder: PathBuf,
    /// File descriptors that a process may hold.
    pub sockets: usize,
    /// What managers log.
    pub log_filter: String,
}

/// One session manager of a trial. Dropping it kills it.
pub struct ManagerProcess {
    pub number: usize,
    pub address: SocketAddr,
    launch: LaunchOptions,
    process: Process,
}

impl LaunchOptions {
    fn failed(&self, cause: io::Error) -> FaultInjectionError {
        FaultInjectionError::NotStarted { program: self.program.display().to_string(), cause }
    }

    fn spawn(&self) -> Result<Process, FaultInjectionError> {
        let log = File::options().create(true).append(true).open(self.folder.join(LOG));
        let log = log.map_err(|cause| self.failed(cause))?;
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {}; exec \"$0\" --log \"$1\" node", self.sockets))
            .arg(&self.program)
            .arg(&self.log_filter)
            .env("BALANCER_CONFIG", self.folder.join(CONFIG))
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
    /// The system's, if files can't be written or the program not be started.
    pub fn start(
        launch: &LaunchOptions,
        number: usize,
        address: SocketAddr,
        config: &Value,
    ) -> Result<ManagerProcess, FaultInjectionError> {
        let launch = LaunchOptions { folder: launch.folder.join(format!("n{number}")), ..launch.clone() };
        let written = std::fs::create_dir_all(&launch.folder)
            .and_then(|()| std::fs::write(launch.folder.join(CONFIG), config.to_string()));
        written.map_err(|cause| launch.failed(cause))?;
        let process = launch.spawn()?;
        Ok(ManagerProcess { number, address, launch, process })
    }

    /// A new process in place of the one before, which is killed if it still runs.
    ///
    /// # Errors
    /// As of [`ManagerProcess::start`].
    pub fn restart(&mut self) -> Result<(), FaultInjectionError> {
        self.process.kill();
        self.process = self.launch.spawn()?;
        Ok(())
    }

    /// Another configuration in place of the one before, at once; SIGHUP has it read.
    ///
    /// # Errors
    /// The system's, if the file can't be written.
    pub fn write_config(&self, config: &Value) -> io::Result<()> {
        let next = self.launch.folder.join("next.json");
        std::fs::write(&next, config.to_string())?;
        std::fs::rename(next, self.launch.folder.join(CONFIG))
    }

    /// Whether it passes a test within that time.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit && self.process.exit_status().is_none() {
            if passes_test(self.address) {
                return true;
            }
            std::thread::sleep(LOOK);
        }
        false
    }

    pub fn signal(&mut self, signal: Signal) {
        self.process.signal(signal);
    }

    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Whether it ended by itself within that time, and well.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<bool> {
        self.process.wait(limit).map(|status| status.success())
    }

    /// How it ended, if it has: its exit code, `None` for a signal.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        self.process.exit_status().map(|status| status.code())
    }

    pub fn cost(&self) -> Option<ResourceUsage> {
        resource_usage(self.process.id())
    }

    /// Descriptors that it holds now.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.launch.folder.join(LOG)).unwrap_or_default()
    }
}

fn passes_test(address: SocketAddr) -> bool {
    let asked = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, TEST_ANSWER)?;
        stream.set_read_timeout(Some(TEST_ANSWER))?;
        stream.write_all(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")?;
        let mut answer = [0; 64];
        let count = stream.read(&mut answer)?;
        Ok(answer[..count].starts_with(b"RTSP/1.0 200"))
    };
    asked().unwrap_or(false)
}
