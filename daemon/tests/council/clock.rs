//! Wall clocks that jump. A small library put before the system's shifts what one process reads as wall time,
//! while it runs; the processes themselves are as they always are.

use crate::cluster::Node;
use crate::peer::{get, within};
use crate::table::{seconds, Page, Table, ASK, LEASE, LONG};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const HOUR: f64 = 3_600.0;
const DAY: f64 = 86_400.0;
/// A councillor, and one that is none.
const JUMPING: [usize; 2] = [1, 4];

/// Built with the compiler that builds the tests.
fn shim(folder: &Path) -> PathBuf {
    let (source, built) =
        (Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/council/shim/wall.rs"), folder.join("wall.so"));
    let compiler = Path::new(env!("CARGO")).with_file_name("rustc");
    let mut command = Command::new(compiler);
    command.args(["--edition", "2021", "--crate-type", "cdylib", "-o"]).arg(&built).arg(source);
    let done = command.output().unwrap();
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    built
}

struct Jumps {
    all: Table,
    folder: TempDir,
}

impl Jumps {
    /// As always, and two of them can be told another wall time.
    fn full() -> Jumps {
        let folder = crate::peer::folder("wall");
        let built = shim(folder.path());
        let prepare = |ix: usize, node: &mut Node| {
            if JUMPING.contains(&ix) {
                node.envs = vec![("LD_PRELOAD", built.clone()), ("WALL_OFF", folder.path().join("off"))];
            }
        };
        let all = Table::full_with(prepare);
        Jumps { all, folder }
    }

    /// From now on those two read wall time so many seconds off, and it is seen in what they log.
    fn jump(&mut self, off: f64) {
        std::fs::write(self.folder.path().join("off"), format!("{off:.0}\n")).unwrap();
        for ix in JUMPING {
            let node = &mut self.all.0.nodes[ix];
            let keys = std::fs::read_to_string(node.path("keys")).unwrap();
            node.rekey(&keys);
            let log = node.log();
            let last = log.lines().rfind(|it| it.contains("settings taken over")).unwrap();
            // By days a jump over midnight is none; what is not the jump is the time since the line was written.
            let beside = (of_day(last) - seconds() - off + DAY / 2.0).rem_euclid(DAY) - DAY / 2.0;
            assert!(beside.abs() < 120.0, "{beside} s beside a jump of {off}: {last}");
        }
    }

    /// For so long: nobody changes its mind, no slot of two, all hold some, no lease runs out.
    fn nothing_changes(&self, span: Duration) {
        let nodes = &self.all.0.nodes;
        let logs: Vec<usize> = nodes.iter().map(|it| it.log().len()).collect();
        let began = Instant::now();
        while began.elapsed() < span {
            let held = self.all.look();
            assert!(held.iter().all(|it| !it.is_empty()), "{held:?}{}", self.all.0.told());
        }
        for (node, from) in nodes.iter().zip(logs) {
            let log = node.log().split_off(from);
            let told = ["is=\"dead\"", "is=\"left\"", "the lease ran out", "abstains", "ERROR"];
            assert!(told.iter().all(|it| !log.contains(it)), "{}: {log}", node.name);
            // A machine with much else to do lets a process wait, but not for an hour.
            let late =
                log.split("late_ms=").skip(1).filter_map(|it| it.split_whitespace().next()?.parse().ok());
            assert!(late.into_iter().all(|it: f64| it < 60_000.0), "{}: {log}", node.name);
        }
    }
}

/// Forward, back behind where it was, and right again: members, slots, leases and a viewing's ticket stay.
#[test]
fn a_wall_clock_that_jumps_an_hour_changes_nothing() {
    let mut all = Jumps::full();
    let watch = |all: &Jumps, ix: usize| get(all.all.0.nodes[ix].http, ASK);
    let begun: Vec<String> = JUMPING.iter().map(|ix| address(&watch(&all, *ix))).collect();
    for off in [HOUR, -HOUR, 0.0] {
        all.jump(off);
        all.nothing_changes(LEASE * 2);
        for (ix, path) in JUMPING.iter().zip(&begun) {
            let answer = get(all.all.0.nodes[*ix].http, path);
            assert!(answer.starts_with("HTTP/1.1 200"), "{off}: {answer}");
        }
    }
}

/// Both start anew with the jumped clock, as after a machine's restart: they come in, hold slots, nobody else
/// notices more than that.
#[test]
fn who_starts_an_hour_ahead_is_one_as_all_others() {
    let mut all = Jumps::full();
    all.jump(HOUR);
    for ix in JUMPING {
        let node = &mut all.all.0.nodes[ix];
        node.stop();
        node.start();
        assert!(within(LONG, || node.log().matches("came in").count() == 2), "{}", node.log());
        all.all.fills(5);
    }
    let ahead = JUMPING.map(|ix| Page::of(&all.all.0.nodes[ix]).figure("ottersail_part_until") - seconds());
    assert!(ahead.iter().all(|it| *it > HOUR / 2.0), "they did start an hour ahead: {ahead:?}");
    all.nothing_changes(LEASE * 2);
    for ix in JUMPING {
        let node = &all.all.0.nodes[ix];
        let answer = get(node.http, ASK);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}{}", node.log());
        let again = get(node.http, &address(&answer));
        assert!(again.starts_with("HTTP/1.1 200"), "its own ticket holds: {again}");
    }
}

/// Seconds of the day in a line's `2026-01-31T23:59:59.123Z`.
fn of_day(line: &str) -> f64 {
    let time = line.split('T').nth(1).unwrap().split('Z').next().unwrap();
    time.split(':').fold(0.0, |sum, it| sum * 60.0 + it.parse::<f64>().unwrap())
}

/// The address of a viewing's playlist, with its ticket.
fn address(playlist: &str) -> String {
    let (_, rest) = playlist.split_once("/viewing/").unwrap_or_else(|| panic!("{playlist}"));
    format!("/viewing/{}", rest.split_whitespace().next().unwrap())
}
