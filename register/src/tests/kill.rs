//! A process killed while it writes: all that it had confirmed is there.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use ottersail_consensus::Key;

use super::*;
use crate::Store;

const FILE: &str = "OTTERSAIL_REGISTER_KILL_FILE";

/// The killed one: run by the test below in a process of its own; without its file it does nothing.
#[test]
fn writes_until_killed() {
    let Ok(path) = std::env::var(FILE) else { return };
    let (store, _) = Store::open(path.as_ref(), FRESH).unwrap();
    for number in 1..20_000 {
        store.persist(&[record(1, number), record(2, number)]).unwrap();
        println!("\nkept {number}");
    }
}

#[test]
fn what_a_killed_process_confirmed_is_there() {
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
        let mut told = lines.map_while(Result::ok).filter_map(number);
        let mut last: u64 = 0;
        while last < round * 20 {
            last = told.next().unwrap();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        last = told.last().unwrap_or(last);
        let (_store, stored) = Store::open(&path, FRESH).unwrap();
        let revision = |slot| stored.registers[&Key::Slots(slot)].promised.number;
        assert!(revision(1) == last || revision(1) == last + 1, "{} after {last}", revision(1));
        assert_eq!(revision(1), revision(2), "one of a group without the other");
    }
}
