//! Each error of the program says where it is and what can be tried, in its own words and not only in those
//! of its cause.

use ottersail_daemon::error::{JudgeError, LineError, NodeError, ReplayError, RunError};
use ottersail_daemon::rehearse::{RehearseError, Unclean};
use ottersail_daemon::settings::error::{Complaint, SettingsError, Wrong};
use ottersail_membership::TermsError;
use ottersail_rollout::{Name, OrderError, OrderNotPut, Serial};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

const CAUSE: &str = "the-cause";

/// What tells an operator what to do.
const TO_TRY: [&str; 17] = [
    "write ",
    "keep one",
    "did you mean",
    "it belongs in",
    "take ",
    "expected ",
    "must ",
    "names the file",
    "give ",
    "try ",
    "start it",
    "is another one",
    "raise the limit",
    "name ",
    "play it",
    "its log tells",
    "end what",
];

fn file() -> PathBuf {
    "folder/the-file".into()
}

fn why() -> io::Error {
    io::Error::other(CAUSE)
}

fn at() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 8123))
}

fn text(of: &str) -> String {
    of.to_string()
}

/// The error, the place that it must name, and whether a cause is part of it.
fn told(error: &impl std::error::Error, places: &[&str], has_cause: bool) {
    let text = error.to_string();
    for place in places {
        assert!(text.contains(place), "{error:?} does not name {place}: {text}");
    }
    assert_eq!(text.contains(CAUSE), has_cause, "{text}");
    let own = text.replace(CAUSE, "");
    assert!(TO_TRY.iter().any(|it| own.contains(it)), "nothing to try in: {text}");
}

/// A table of an enum's variants; with one that is not in it this does not compile.
macro_rules! table {
    ($of:ident: $($name:ident { $($field:tt: $value:expr),* } => $places:expr, $cause:expr;)*) => {{
        $(told(&$of::$name { $($field: $value),* }, &$places, $cause);)*
        // A variant that the table lacks is told by the compiler.
        _ = |it: $of| match it { $($of::$name { .. } => (),)* };
    }};
}

const FILE: &str = "folder/the-file";
const LINE: &str = "folder/the-file:7";

fn settings() -> SettingsError {
    let wrong = Wrong::NoHeading { text: text("[b") };
    let complaint = Complaint { file: FILE.into(), line: Some(7), wrong };
    SettingsError::Wrong { complaints: vec![complaint.clone(), complaint] }
}

#[test]
fn what_is_wrong_with_settings() {
    let (section, key, name) = (|| text("rules"), || text("cold-ms"), || text("rules"));
    table!(Wrong:
        SectionTwice { name: name(), before: 3 } => ["[rules]", "line 3"], false;
        KeyTwice { key: key(), before: 3 } => ["cold-ms", "line 3"], false;
        Stray { key: key() } => ["cold-ms"], false;
        NoValue { text: key() } => ["cold-ms"], false;
        NoHeading { text: text("[b") } => ["\"[b\""], false;
        SectionMissing { name: name() } => ["[rules]"], false;
        KeyMissing { section: section(), key: key(), what: name() } => ["[rules]", "cold-ms"], false;
        UnknownSection { name: text("ruels"), near: Some(name()) } => ["[ruels]", "[rules]"], false;
        UnknownKey { section: section(), key: text("xyz"), near: None } => ["[rules]", "xyz"], false;
        Misread { section: section(), key: key(), what: name(), value: text("x") } => ["cold-ms", "x"], false;
        Broken { section: section(), key: key(), rule: text("must be under 5") } => ["cold-ms"], false;
        Whole { rule: text("no [package NAME]; write one") } => ["[package NAME]"], false;
    );
    let stray = |key| Complaint { file: FILE.into(), line: Some(7), wrong: Wrong::Stray { key } };
    table!(SettingsError:
        Unread { file: file(), why: why() } => [FILE], true;
        Long { file: file(), most: 900 } => [FILE, "900"], false;
        Wrong { complaints: vec![stray(key())] } => [LINE, "cold-ms"], false;
    );
    assert_eq!(settings().to_string().lines().count(), 2, "a line for each complaint");
    assert_eq!(Vec::from(settings()), settings().to_string().lines().collect::<Vec<_>>());
    assert_eq!(settings().join("|"), settings().to_string().replace('\n', "|"));
    let whole = Complaint { file: FILE.into(), line: None, wrong: Wrong::SectionMissing { name: name() } };
    told(&whole, &["folder/the-file: [rules]"], false);
}

#[test]
fn what_is_wrong_with_an_order() {
    let east = || Name::new("east").unwrap();
    table!(OrderError:
        NoSteps {} => ["steps ="], false;
        TooManySteps { 0: 9 } => ["9 steps", "8"], false;
        TooManyZones { 0: 13 } => ["13 zones", "12"], false;
        TooManyStruck { 0: 9 } => ["9 names", "8"], false;
        MostOutZero {} => ["most-out of 0"], false;
        MostOutNotBelowFleet { most: 41, fleet: 40 } => ["most-out of 41", "fleet of 40"], false;
        ZoneBound { zone: east(), has: 20, most: 21 } => ["zone east", "20", "most-out 21"], false;
        ZoneSum { zones: 39, fleet: 40 } => ["zones hold 39", "fleet 40"], false;
        UseTime { 0: 5 } => ["use-ms of 5"], false;
        SettleTime { 0: 5 } => ["settle-ms of 5"], false;
        PerMille { 0: 1_500 } => ["1500 in a thousand"], false;
        TooLong { 0: 700 } => ["700 bytes", "600"], false;
    );
    table!(OrderNotPut:
        Older { agreed: Serial(41), file: Serial(40) } => ["serial 40", "than 41", "serial = 42"], false;
        Differs { serial: Serial(41), keys: vec!["steps", "who"] } => ["serial 41", "steps, who"], false;
        Superseded { to: Serial(41) } => ["serial 41", "serial = 42"], false;
        HaltedMeanwhile { halted: Serial(40), file: Serial(41) } => ["serial 40", "serial 41", "serial = 42"], false;
    );
}

#[test]
fn what_keeps_a_manager_from_starting() {
    let bad = || "x".parse::<SocketAddr>().unwrap_err();
    table!(RunError:
        Keys { file: file(), why: text(CAUSE) } => [FILE, "[manager] keys"], true;
        MemberKeys { file: file(), why: text(CAUSE) } => [FILE, "[members] keys"], true;
        Members { 0: TermsError::Name(text("a b")) } => ["[members]", "a b"], false;
        Datagrams { address: at(), why: why() } => ["127.0.0.9:8123", "[members] listen"], true;
        Record { file: file(), why: why() } => [FILE, "--record"], true;
        ParentUnheard { why: why() } => ["--with-parent"], true;
        ParentGone {} => ["--with-parent"], false;
        Address { address: text("x"), why: bad() } => ["[manager] listen = x"], false;
        Listen { address: at(), why: why() } => ["127.0.0.9:8123"], true;
        Watch { address: at(), why: why() } => ["127.0.0.9:8123"], true;
        Thread { name: text("core-3"), why: why() } => ["core-3"], true;
        Signals { why: why() } => ["signals"], true;
        Next { file: file(), why: why() } => [FILE, "[releases] next"], true;
        Settings { 0: settings() } => [LINE], false;
    );
    table!(NodeError:
        Unnamed {} => ["BALANCER_CONFIG"], false;
        Unread { file: file(), why: why() } => [FILE], true;
        Config { file: file(), why: text(CAUSE) } => [FILE], true;
        Address { file: file(), why: bad() } => [FILE, "listen"], false;
        Listen { address: at(), why: why() } => ["127.0.0.9:8123"], true;
        Signals { why: why() } => ["signals"], true;
    );
    table!(LineError:
        Log { read: text("loud"), why: text(CAUSE) } => ["--log", "loud"], true;
        Pick { read: text("best"), words: vec!["random", "own"] } => ["--pick", "best", "random, own"], false;
        Stall { read: text("1-2") } => ["--stall", "1-2", "CORE:MS"], false;
    );
}

#[test]
fn what_keeps_a_day_from_being_played_or_judged() {
    let status = || ExitStatus::from_raw(9);
    table!(Unclean:
        Ended { manager: 4, status: status() } => ["manager 4", "signal: 9"], false;
        Stays { manager: 4, patience: Duration::from_secs(3) } => ["manager 4", "3s"], false;
        NotAgain { manager: 4, why: text(CAUSE) } => ["manager 4"], true;
    );
    table!(JudgeError:
        Unread { traffic: file(), why: text(CAUSE) } => [FILE, "--traffic"], true;
        Report { folder: file(), why: text(CAUSE) } => [FILE, "--report"], true;
    );
    let stays = |manager| Unclean::Stays { manager, patience: Duration::from_secs(3) };
    table!(RehearseError:
        Settings { 0: settings() } => [LINE], false;
        TooMany { day: file(), most: 400 } => [FILE, "400"], false;
        Files { day: file(), needs: 900, allowed: 300 } => [FILE, "900", "300"], false;
        FilesRefused { day: file(), needs: 900, why: why() } => [FILE, "900"], true;
        Signals { why: why() } => ["signals"], true;
        File { file: file(), why: why() } => [FILE], true;
        Recorder { file: file(), why: text(CAUSE) } => [FILE, "--traffic"], true;
        Keys { file: file(), why: text(CAUSE) } => [FILE], true;
        Fleet { day: file(), why: text(CAUSE) } => [FILE], true;
        Exchange { why: text(CAUSE) } => ["exchange between members"], true;
        Address { manager: 4, why: why() } => ["manager 4", "127.0.0.0/8"], true;
        Start { manager: 4, program: file(), why: text(CAUSE) } => ["manager 4", FILE, "--beside"], true;
        NotReady { address: at(), patience: Duration::from_secs(3) } => ["127.0.0.9:8123", "3s"], false;
        Interrupted {} => ["the day"], false;
        Unclean { which: vec![stays(4), stays(5)] } => ["manager 4", "manager 5"], false;
        Judge { 0: JudgeError::Unread { traffic: file(), why: text(CAUSE) } } => [FILE], true;
    );
}

#[test]
fn what_is_wrong_with_a_record() {
    let no_json = || serde_json::from_str::<u8>("x").unwrap_err();
    table!(ReplayError:
        Unread { file: file(), why: why() } => [FILE, "--record"], true;
        Settings { file: file(), line: 7, why: settings() } => [LINE], false;
        Keys { file: file(), line: 7, keys: "k9".into(), why: text(CAUSE) } => [LINE, "k9", "--keys"], true;
        Line { file: file(), line: 7, why: no_json() } => [LINE], false;
        Headless { file: file(), line: 7 } => [LINE], false;
        Differs { file: file(), line: 7, now: text("up"), then: text("down") } => [LINE, "up", "down"], false;
        Nothing { file: file() } => [FILE], false;
    );
}
