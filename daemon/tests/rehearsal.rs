//! A short day, rehearsed, played back and judged; and with a guard taken out.

use std::path::Path;
use std::process::{Command, Output};
use tempfile::tempdir;

const DAY: &str = include_str!("day.ini");

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_ottersail"))
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn rehearse(folder: &Path) -> Output {
    let day = folder.join("day.ini");
    std::fs::write(&day, DAY).unwrap();
    let mut command = program();
    command.arg("rehearse").arg(&day).arg("--record").arg(folder.join("tape"));
    command.arg("--traffic").arg(folder.join("traffic")).output().unwrap()
}

#[cfg(not(feature = "sabotage"))]
#[test]
fn a_day_is_played_judged_and_played_back() {
    let folder = tempdir().unwrap();
    let output = rehearse(folder.path());
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    assert!(text(&output).contains("all rules hold"));
    let tape = folder.path().join("tape");
    let output = program().arg("replay").arg(&tape).output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    // A wish that is changed by one letter is found.
    let lines = std::fs::read_to_string(&tape).unwrap();
    let at = lines.find("set_up ").unwrap();
    std::fs::write(&tape, format!("{}sat_up {}", &lines[..at], &lines[at + 7..])).unwrap();
    let output = program().arg("replay").arg(&tape).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
    assert!(text(&output).contains("wanted now"));
    // And the record of the sockets says the same when it is judged again, and otherwise once an answer is
    // missing.
    let traffic = folder.path().join("traffic");
    let output = program().arg("judge").arg(&traffic).output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let lines = std::fs::read_to_string(&traffic).unwrap();
    let answer = lines.lines().find(|it| it.contains("\"answered\"")).unwrap();
    std::fs::write(&traffic, lines.replacen(&format!("{answer}\n"), "", 1)).unwrap();
    let output = program().arg("judge").arg(&traffic).output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
}

#[cfg(feature = "sabotage")]
#[test]
fn the_judge_catches_a_manager_that_does_not_hear_of_drains() {
    let folder = tempdir().unwrap();
    let output = rehearse(folder.path());
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("ms after manager"), "{}", text(&output));
}
