use super::*;
use std::io::ErrorKind;
use test_case::test_case;

fn cause() -> io::Error {
    ErrorKind::PermissionDenied.into()
}

fn no_figures() -> BenchError {
    BenchError::NoFigures {
        what: "one rate",
        told: "x".into(),
        said: "no room".into(),
        again: "at-rate module 400".into(),
    }
}

fn manager() -> BenchError {
    BenchError::Manager { address: "127.0.0.1:9".into(), cause: "in use".into() }
}

fn not_seen() -> BenchError {
    BenchError::NotSeen { members: 7, seconds: 9, what: "a death is known".into(), folder: "/tmp/x".into() }
}

fn broke_off() -> BenchError {
    BenchError::BrokeOff { what: "the load", address: SocketAddr::from(([127, 0, 0, 1], 9)) }
}

/// What is wrong, where, and what to try.
#[test_case(
    &BenchError::Settings("bench:3: x".into()),
    ["bench:3: x", "settings of the bench's manager", "other numbers"];
    "settings"
)]
#[test_case(&BenchError::Key("too short".into()), ["too short", "library.rs", "build anew"]; "key")]
#[test_case(
    &BenchError::OwnPath(cause()),
    ["permission denied", "this program's path", "by its whole path"];
    "path"
)]
#[test_case(
    &BenchError::Socket { what: "a server", source: cause() },
    ["permission denied", "on 127.0.0.1 for a server", "ulimit -n"];
    "socket"
)]
#[test_case(
    &BenchError::Process { what: "the manager", source: cause() },
    ["permission denied", "the manager in a process", "ulimit -u"];
    "process"
)]
#[test_case(&manager(), ["in use", "manager at 127.0.0.1:9", "end who listens there"]; "manager")]
#[test_case(
    &no_figures(), ["no figures but \"x\": no room", "one rate told", "`at-rate module 400`"];
    "figures"
)]
#[test_case(&not_seen(), ["a death", "cluster of 7", "play fewer"]; "not seen")]
#[test_case(
    &BenchError::File { file: "/tmp/m.ini".into(), source: cause() },
    ["not written", "/tmp/m.ini", "TMPDIR"]; "file"
)]
#[test_case(&broke_off(), ["broke off", "the load at 127.0.0.1:9", "a lower rate"]; "thread")]
fn a_text_says_what_where_and_what_to_try(error: &BenchError, parts: [&str; 3]) {
    let told = error.to_string();
    for part in parts {
        assert!(told.contains(part), "{told}");
    }
}
