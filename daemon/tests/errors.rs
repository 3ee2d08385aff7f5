//! Each error of the program says where it is and what can be tried, in its own words and not only in those
//! of its cause.

use ottersail_daemon::error::{ArgumentError, JudgeError, NodeError, ReplayError, RunError};
use ottersail_daemon::rehearse::{RehearseError, UncleanExit};
use ottersail_daemon::settings::error::{Problem, ProblemKind, SettingsError};
use ottersail_membership::MembershipConfigError;
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

fn cause() -> io::Error {
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
    let kind = ProblemKind::MalformedHeading { text: text("[b") };
    let problem = Problem { file: FILE.into(), line: Some(7), kind };
    SettingsError::Invalid { problems: vec![problem.clone(), problem] }
}

#[test]
fn what_is_wrong_with_settings() {
    let (section, key, name) = (|| text("rules"), || text("cold-ms"), || text("rules"));
    table!(ProblemKind:
        DuplicateSection { name: name(), first_line: 3 } => ["[rules]", "line 3"], false;
        DuplicateKey { key: key(), first_line: 3 } => ["cold-ms", "line 3"], false;
        KeyOutsideSection { key: key() } => ["cold-ms"], false;
        MissingValue { text: key() } => ["cold-ms"], false;
        MalformedHeading { text: text("[b") } => ["\"[b\""], false;
        MissingSection { name: name() } => ["[rules]"], false;
        MissingKey { section: section(), key: key(), expected: name() } => ["[rules]", "cold-ms"], false;
        UnknownSection { name: text("ruels"), suggestion: Some(name()) } => ["[ruels]", "[rules]"], false;
        UnknownKey { section: section(), key: text("xyz"), suggestion: None } => ["[rules]", "xyz"], false;
        InvalidValue { section: section(), key: key(), expected: name(), value: text("x") } => ["cold-ms", "x"], false;
        RuleViolation { section: section(), key: key(), message: text("must be under 5") } => ["cold-ms"], false;
        General { message: text("no [package NAME]; write one") } => ["[package NAME]"], false;
    );
    let stray =
        |key| Problem { file: FILE.into(), line: Some(7), kind: ProblemKind::KeyOutsideSection { key } };
    table!(SettingsError:
        Unreadable { file: file(), cause: cause() } => [FILE], true;
        TooLong { file: file(), max_bytes: 900 } => [FILE, "900"], false;
        Invalid { problems: vec![stray(key())] } => [LINE, "cold-ms"], false;
    );
    assert_eq!(settings().to_string().lines().count(), 2, "a line for each problem");
    assert_eq!(Vec::from(settings()), settings().to_string().lines().collect::<Vec<_>>());
    assert_eq!(settings().join("|"), settings().to_string().replace('\n', "|"));
    let whole = Problem { file: FILE.into(), line: None, kind: ProblemKind::MissingSection { name: name() } };
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
        Keys { file: file(), cause: text(CAUSE) } => [FILE, "[manager] keys"], true;
        MemberKeys { file: file(), cause: text(CAUSE) } => [FILE, "[members] keys"], true;
        Members { 0: MembershipConfigError::Name(text("a b")) } => ["[members]", "a b"], false;
        Datagrams { address: at(), cause: cause() } => ["127.0.0.9:8123", "[members] listen"], true;
        Record { file: file(), cause: cause() } => [FILE, "--record"], true;
        ParentDeathSignal { cause: cause() } => ["--with-parent"], true;
        ParentExited {} => ["--with-parent"], false;
        Address { address: text("x"), cause: bad() } => ["[manager] listen = x"], false;
        Listen { address: at(), cause: cause() } => ["127.0.0.9:8123"], true;
        WatchListener { address: at(), cause: cause() } => ["127.0.0.9:8123"], true;
        Thread { name: text("core-3"), cause: cause() } => ["core-3"], true;
        Signals { cause: cause() } => ["signals"], true;
        WriteNextVersion { file: file(), cause: cause() } => [FILE, "[releases] next"], true;
        Settings { 0: settings() } => [LINE], false;
    );
    table!(NodeError:
        ConfigNotSet {} => ["BALANCER_CONFIG"], false;
        Unreadable { file: file(), cause: cause() } => [FILE], true;
        Config { file: file(), cause: text(CAUSE) } => [FILE], true;
        Address { file: file(), cause: bad() } => [FILE, "listen"], false;
        Listen { address: at(), cause: cause() } => ["127.0.0.9:8123"], true;
        Signals { cause: cause() } => ["signals"], true;
    );
    table!(ArgumentError:
        Log { value: text("loud"), cause: text(CAUSE) } => ["--log", "loud"], true;
        Pick { value: text("best"), choices: vec!["random", "own"] } => ["--pick", "best", "random, own"], false;
        Stall { value: text("1-2") } => ["--stall", "1-2", "CORE:MS"], false;
    );
}

#[test]
fn what_keeps_a_day_from_being_played_or_judged() {
    let status = || ExitStatus::from_raw(9);
    table!(UncleanExit:
        Failed { manager: 4, status: status() } => ["manager 4", "signal: 9"], false;
        TimedOut { manager: 4, timeout: Duration::from_secs(3) } => ["manager 4", "3s"], false;
        RestartFailed { manager: 4, cause: text(CAUSE) } => ["manager 4"], true;
    );
    table!(JudgeError:
        Unreadable { traffic: file(), cause: text(CAUSE) } => [FILE, "--traffic"], true;
        Report { folder: file(), cause: text(CAUSE) } => [FILE, "--report"], true;
    );
    let stays = |manager| UncleanExit::TimedOut { manager, timeout: Duration::from_secs(3) };
    table!(RehearseError:
        Settings { 0: settings() } => [LINE], false;
        TooManyManagers { day: file(), max: 400 } => [FILE, "400"], false;
        OpenFileLimit { day: file(), needs: 900, allowed: 300 } => [FILE, "900", "300"], false;
        RaiseOpenFileLimit { day: file(), needs: 900, cause: cause() } => [FILE, "900"], true;
        Signals { cause: cause() } => ["signals"], true;
        File { file: file(), cause: cause() } => [FILE], true;
        WriteTraffic { file: file(), cause: text(CAUSE) } => [FILE, "--traffic"], true;
        Keys { file: file(), cause: text(CAUSE) } => [FILE], true;
        StartServers { day: file(), cause: text(CAUSE) } => [FILE], true;
        Exchange { cause: text(CAUSE) } => ["exchange between members"], true;
        Address { manager: 4, cause: cause() } => ["manager 4", "127.0.0.0/8"], true;
        Start { manager: 4, program: file(), cause: text(CAUSE) } => ["manager 4", FILE, "--beside"], true;
        NotReady { address: at(), timeout: Duration::from_secs(3) } => ["127.0.0.9:8123", "3s"], false;
        Interrupted {} => ["the day"], false;
        UncleanExits { exits: vec![stays(4), stays(5)] } => ["manager 4", "manager 5"], false;
        Judge { 0: JudgeError::Unreadable { traffic: file(), cause: text(CAUSE) } } => [FILE], true;
    );
}

#[test]
fn what_is_wrong_with_a_record() {
    let no_json = || serde_json::from_str::<u8>("x").unwrap_err();
    table!(ReplayError:
        Unreadable { file: file(), cause: cause() } => [FILE, "--record"], true;
        Settings { file: file(), line: 7, cause: settings() } => [LINE], false;
        Keys { file: file(), line: 7, keys: "k9".into(), cause: text(CAUSE) } => [LINE, "k9", "--keys"], true;
        InvalidLine { file: file(), line: 7, cause: no_json() } => [LINE], false;
        MissingHeader { file: file(), line: 7 } => [LINE], false;
        Mismatch { file: file(), line: 7, actual: text("up"), recorded: text("down") } => [LINE, "up", "down"], false;
        Empty { file: file() } => [FILE], false;
    );
}
