//! A session manager: the project's own program, started with the `run` line of the deploy file.

use crate::channel::Channel;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// What differs between the deployments of the cases.
pub struct Deployment {
    pub sockets: usize,
    pub memory_mb: usize,
    pub managers: usize,
    pub cells: usize,
    pub classes: Vec<Class>,
    pub drain_grace_ms: u64,
    pub probes: bool,
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

extern "C" {
    /// Here: the manager is killed if this process ends without having ended it.
    fn prctl(option: i32, signal: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// A class of set-ups.
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    /// Join target and viewer patience.
    pub promise_ms: u64,
    pub give_up_ms: u64,
    /// Lowest rung, and seats for each title (0: no limit).
    pub floor: u64,
    pub seats: u64,
}

pub struct Manager {
    pub address: SocketAddr,
    process: Child,
    folder: PathBuf,
}

impl Manager {
    pub fn start(deployment: &Deployment, channel: &Channel, record: &Record) -> Manager {
        let address = free_address();
        let folder =
            std::env::temp_dir().join(format!("ottersail-review-{}-{}", std::process::id(), address.port()));
        let failed = |error: std::io::Error| -> ! { crate::cannot_run(&error.to_string()) };
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| failed(error));
        let config = folder.join("config.json");
        let text = deployment.config(address, channel);
        std::fs::write(&config, text).unwrap_or_else(|error| failed(error));
        let log = std::fs::File::create(folder.join("log")).unwrap_or_else(|error| failed(error));
        let run = run_line();
        record.note("manager", &format!("starts at {address}: {run}"));
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .env("BALANCER_CONFIG", &config)
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", address.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: `prctl` may be called between fork and exec, and this call changes nothing in memory.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let process = command.spawn().unwrap_or_else(|error| failed(error));
        Manager { address, process, folder }
    }

    /// The process stands still from now on, or goes on.
    pub fn stand_still(&self, still: bool, record: &Record) {
        record.note("manager", if still { "stands still" } else { "goes on" });
        // SAFETY: the process was started here and is not yet waited for.
        unsafe { kill(self.process.id() as i32, if still { SIGSTOP } else { SIGCONT }) };
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        _ = self.process.kill();
        _ = self.process.wait();
        if std::env::var_os("KEEP").is_none() {
            _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The deploy file's command; the working folder is the repository's root.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(String::from));
    line.unwrap_or_else(|| {
        crate::cannot_run("deploy/balancer.toml has no line `run`; start run.sh from its folder")
    })
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).and_then(|listener| listener.local_addr());
    listener.unwrap_or_else(|error| crate::cannot_run(&error.to_string()))
}

impl Deployment {
    fn config(&self, listen: SocketAddr, channel: &Channel) -> String {
        let each =
            |figure: fn(&Class) -> String| self.classes.iter().map(figure).collect::<Vec<_>>().join(",");
        let classes = each(|class| {
            format!(
                "{{\"name\":\"{}\",\"semantics\":\"{}\",\"group\":\"all\",\"window-ns\":5000000000,\
                 \"promise-ns\":{}000000,\"give-up-ns\":{}000000,\"points\":1.0,\"late-value\":0.0,\"stream\":true}}",
                class.name, class.semantics, class.promise_ms, class.give_up_ms
            )
        });
        let (ones, tops) = (each(|_| "1.0".into()), each(|_| "2".into()));
        let (floors, seats) = (each(|class| class.floor.to_string()), each(|class| class.seats.to_string()));
        let (cells, managers, grace) = (self.cells, self.managers, self.drain_grace_ms);
        let known = channel.events_after(0);
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"5f21c07be4a89d36\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"channel\":\"{}\",\"known\":{known},\
             \"settings\":{{\"classes\":[{classes}],\"az\":\"floor\",\"zones\":[\"floor\"],\"skus\":[\"box\"],\
             \"me\":0,\"peers-total\":{managers},\"tick-ns\":10000000,\"weights\":\"rough\",\
             \"registry-mode\":\"pushed\",\"report\":{{\"fields\":[\"utilization\"],\"how\":\"inline\"}},\
             \"extra\":{{\"rates-kb\":[200,500,1200],\"worth-by-rung\":[0.2,0.6,1.0],\"places\":{cells},\
             \"places-by-kind\":[200],\"racks\":4,\"rack-link-kb\":1000000,\"link-unit-kb\":400000,\
             \"lowest-rung\":[{floors}],\"top-by-class\":[{tops}],\"class-seats\":[{seats}],\
             \"scale-by-class\":[{ones}],\"join\":1.0,\"change-costs-s\":0.6,\"seen-after-ns\":800000000,\
             \"reports-every-ns\":3000000000}},\
             \"allowed\":{{\"max-attempts\":3,\"retry-after\":true,\"max-retry-after-ns\":500000000,\
             \"probes\":{},\"streams-per-conn\":32,\"conn-idle-ns\":30000000000,\
             \"connect-timeout-ns\":250000000,\"second-copies\":false,\"cancel\":true}},\
             \"safety\":{{\"cold-ns\":8000000000,\"start-capacity\":0.5,\"fall-multiple\":2.5,\
             \"fall-ns\":2000000000,\"drain-grace-ns\":{grace}000000,\"answer-slack-ns\":40000000}}}}}}",
            self.memory_mb, self.sockets, channel.address, self.probes
        )
    }
}
