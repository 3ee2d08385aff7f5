//! The manager as a process.

use crate::channel::Channel;
use crate::peer::Viewer;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub conf: Value,
}

impl Node {
    pub fn start(name: &str, hosts: &[Value], channel: &Channel, sockets: u32) -> Node {
        let folder = std::env::temp_dir().join(format!("ottersail-node-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let nodes = json!({ "seq": 1, "whole": true, "hosts": hosts });
        let conf = json!({
            "name": name, "listen": address.to_string(), "seed": "1f", "limits": { "sockets": sockets },
            "channel": channel.address.to_string(),
            "known": { "cursor": 1, "cmds": [{ "cursor": 1, "nodes": nodes }] },
            "settings": {
                "classes": [{ "name": "clips", "promise-ns": 800_000_000u64, "give-up-ns": 1_000_000_000u64,
                    "semantics": "idempotent", "points": 1 }],
                "extra": { "rates-kb": [100, 200], "places": 1, "racks": 1, "link-unit-kb": 1e6,
                    "rack-link-kb": 1e7, "places-by-kind": [1000], "seen-after-ns": 500_000_000u64,
                    "reports-every-ns": 2_000_000_000u64,
                    "change-costs-s": 0.3, "lowest-rung": [0], "top-by-class": [1], "scale-by-class": [1] },
                "skus": ["k"], "az": "z", "peers-total": 1, "me": 0, "tick-ns": 10_000_000,
                "allowed": { "max-attempts": 3, "retry-after": true, "max-retry-after-ns": 500_000_000u64,
                    "connect-timeout-ns": 250_000_000u64 },
                "safety": { "cold-ns": 0, "drain-grace-ns": 1_000_000_000u64 }
            }
        });
        std::fs::write(folder.join("config.json"), conf.to_string()).unwrap();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {sockets}; exec \"$0\" --log debug node"))
            .arg(env!("CARGO_BIN_EXE_ottersail"))
            .env("BALANCER_CONFIG", folder.join("config.json"))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let node = Node { child, address, folder, conf };
        assert!(
            within(10, || Viewer::try_new(node.address).is_some_and(|mut it| it.tests())),
            "{}",
            node.log()
        );
        node
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    pub fn ends(&mut self) -> ExitStatus {
        let mut status = None;
        assert!(within(8, || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        }));
        status.unwrap()
    }

    /// Open descriptors, and memory held in kB.
    pub fn holds(&self) -> (usize, usize) {
        let pid = self.child.id();
        let files = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status.lines().find(|it| it.starts_with("VmRSS")).unwrap();
        (files, line.split_whitespace().nth(1).unwrap().parse().unwrap())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn within(seconds: u64, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(seconds) {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}
