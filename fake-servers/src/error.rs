//! What keeps the stand-ins from playing, or from writing down what they saw.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a fleet can't begin.
#[derive(Debug, Error)]
pub enum FleetError {
    #[error(
        "{address}: no socket that accepts calls can be had: {source}; free its port if it is taken, \
         or raise the limit on open files (ulimit -n)"
    )]
    Bind { address: SocketAddr, source: io::Error },
    #[error("thread `{name}` can't be started: {source}; raise the limit on threads (ulimit -u)")]
    Thread { name: &'static str, source: io::Error },
    /// It panicked before it could tell that its sockets are there.
    #[error(
        "thread `{name}` ended before its servers ran; its panic stands above, \
         more of it with RUST_BACKTRACE=1"
    )]
    Ended { name: &'static str },
}

/// Why what was seen on the sockets is not written down.
#[derive(Debug, Error)]
pub enum RecorderError {
    #[error(
        "{}: the record can't be begun: {source}; \
         name another file with --traffic, in a folder that is there",
        file.display()
    )]
    Begin { file: PathBuf, source: io::Error },
    #[error(
        "{}: the record can't be written out: {source}; make room on its disk, \
         or name another file with --traffic",
        file.display()
    )]
    Close { file: PathBuf, source: io::Error },
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    fn broken() -> io::Error {
        io::Error::other("out of luck")
    }

    /// Each variant has its number; without a row for it below, or without a number, this does not pass or
    /// compile.
    fn of_fleet(it: &FleetError) -> usize {
        match it {
            FleetError::Bind { .. } => 0,
            FleetError::Thread { .. } => 1,
            FleetError::Ended { .. } => 2,
        }
    }

    fn of_recorder(it: &RecorderError) -> usize {
        match it {
            RecorderError::Begin { .. } => 3,
            RecorderError::Close { .. } => 4,
        }
    }

    #[test]
    fn each_error_tells_what_where_and_what_to_try() {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let (name, file) = ("fleet", PathBuf::from("/r/traffic.jsonl"));
        let fleets = [
            (FleetError::Bind { address, source: broken() }, "127.0.0.1:9:", "out of luck", "ulimit -n"),
            (FleetError::Thread { name, source: broken() }, "thread `fleet`", "out of luck", "ulimit -u"),
            (
                FleetError::Ended { name },
                "thread `fleet`",
                "ended before its servers ran",
                "RUST_BACKTRACE=1",
            ),
        ];
        let recorders = [
            (
                RecorderError::Begin { file: file.clone(), source: broken() },
                "can't be begun: out of luck",
                "in a folder",
            ),
            (
                RecorderError::Close { file, source: broken() },
                "can't be written out: out of luck",
                "make room",
            ),
        ];
        let fleets = fleets.iter().map(|it| (of_fleet(&it.0), it.0.to_string(), it.1, it.2, it.3));
        let recorders = recorders
            .iter()
            .map(|it| (of_recorder(&it.0), it.0.to_string(), "/r/traffic.jsonl:", it.1, it.2));
        let mut seen = BTreeSet::new();
        for (number, text, place, wrong, remedy) in fleets.chain(recorders) {
            seen.insert(number);
            for part in [place, wrong, remedy] {
                assert!(text.contains(part), "{part:?} is not in {text:?}");
            }
        }
        assert_eq!(seen, (0..5).collect(), "a row for each variant");
    }

    #[test]
    fn a_taken_address_is_told() {
        let (_first, address) = crate::http::listen_at(crate::http::ANY).unwrap();
        let again = crate::http::listen_at(address).map(|it| it.1).unwrap_err().to_string();
        assert!(again.starts_with(&format!("{address}: no socket")), "{again}");
    }

    #[test]
    fn a_record_in_a_folder_that_is_not_there_is_told() {
        let file =
            std::env::temp_dir().join(format!("ottersail-no-folder-{}/traffic.jsonl", std::process::id()));
        let begun = crate::Recorder::begin(&file, ottersail_net::Clock::start(), Default::default());
        let text = begun.map(|_| ()).unwrap_err().to_string();
        assert!(text.starts_with(&format!("{}: the record can't be begun", file.display())), "{text}");
    }
}
