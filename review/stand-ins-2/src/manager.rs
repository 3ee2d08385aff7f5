//! One session manager as a process, started by the `run` line of the deploy file.

use crate::record::{give_up, Record};
use crate::sys;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub struct Manager {
    pub address: SocketAddr,
    child: Child,
    record: Record,
}

/// A free port of the loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
    listener.local_addr().unwrap()
}

fn environment(name: &str) -> PathBuf {
    PathBuf::from(std::env::var(name).unwrap_or_else(|_| give_up(&format!("{name} is not set"))))
}

/// The command that starts one session manager.
fn run_line(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"));
    let text = text.unwrap_or_else(|error| give_up(&format!("deploy/balancer.toml: {error}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|line| line.split('"').next());
    line.unwrap_or_else(|| give_up("deploy/balancer.toml has no run line")).to_string()
}

impl Manager {
    /// Starts a manager with this configuration. `ROOT` is the repository, `FOLDER` a temporary folder.
    pub fn start(record: &Record, name: &str, address: SocketAddr, sockets: usize, config: &str) -> Manager {
        let (root, folder) = (environment("ROOT"), environment("FOLDER").join(name));
        let file = folder.join("config.json");
        let written = std::fs::create_dir_all(folder.join("tmp")).and_then(|()| std::fs::write(&file, config));
        written.unwrap_or_else(|error| give_up(&error.to_string()));
        let log = File::create(folder.join("log")).unwrap_or_else(|error| give_up(&error.to_string()));
        let filter = std::env::var("MANAGER_LOG").map_or(String::new(), |filter| format!(" --log {filter}"));
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {sockets}; {}{filter}", run_line(&root)))
            .current_dir(&root)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        let child = sys::start(&mut command);
        let child = child.unwrap_or_else(|error| give_up(&error.to_string()));
        let manager = Manager { address, child, record: record.clone() };
        record.line(&format!("manager {name}: started"));
        manager
    }

    /// Waits until the manager passes a test; returns false after 10 s.
    pub fn wait_ready(&self) -> bool {
        let passes = || -> Option<bool> {
            let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(300)).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
            let test = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(test).ok()?;
            let mut answer = [0u8; 16];
            let count = stream.read(&mut answer).ok()?;
            Some(answer[..count].starts_with(b"RTSP/1.0 200"))
        };
        for _ in 0..400 {
            if passes() == Some(true) {
                self.record.line("manager: ready");
                return true;
            }
            crate::sleep_ms(25);
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        sys::signal(self.child.id(), signal);
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        sys::forget(self.child.id());
        Some(status.to_string())
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        if self.ended().is_none() {
            self.signal(sys::SIGKILL);
            _ = self.child.wait();
            sys::forget(self.child.id());
        }
    }
}
