//! A process that is killed while it writes: every confirmed record is stored.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use ottersail_consensus::Key;

use super::*;
use crate::Store;

const FILE: &str = "OTTERSAIL_REGISTER_KILL_FILE";

/// The process that is killed: run by the test below as a child process. Without the environment variable it does
/// nothing.
#[test]
fn writes_until_killed() {
    let Ok(path) = std::env::var(FILE) else { return };
    let (store, _) = Store::open(path.as_ref(), NEW_GENERATION).unwrap();
    for number in 1..20_000 {
        store.persist(&[record(1, number), record(2, number)]).unwrap();
        println!("\nkept {number}");
    }
}

#[test]
fn confirmed_records_survive_a_killed_process() {
    for round in 1..=5_u64 {
        let folder = folder();
        let path = folder.path().join("council");
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "tests::kill::writes_until_killed", "--nocapture"])
            .env(FILE, &path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let number = |line: String| line.strip_prefix("kept ").and_then(|rest| rest.parse().ok());
        let mut confirmed = lines.map_while(Result::ok).filter_map(number);
        let mut last: u64 = 0;
        while last < round * 20 {
            last = confirmed.next().unwrap();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        last = confirmed.last().unwrap_or(last);
        let (_store, stored) = Store::open(&path, NEW_GENERATION).unwrap();
        let revision = |slot| stored.registers[&Key::Slots(slot)].promised.number;
        assert!(revision(1) == last || revision(1) == last + 1, "{} after {last}", revision(1));
        assert_eq!(revision(1), revision(2), "one of a group without the other");
    }
}
