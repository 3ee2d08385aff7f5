//! What keeps a part of the rig from being set up.

use std::io;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum FaultInjectionError {
    /// Nothing can be bound.
    #[error(
        "{what}: no address on 127.0.0.1: {cause}; see `ulimit -n` and which ports are taken (`ss -tlnu`)"
    )]
    NoAddress {
        what: &'static str,
        #[source]
        cause: io::Error,
    },
    /// A member's socket has no address.
    #[error("exchange: no address of member {member}: {cause}; name one of the members it was started with")]
    MemberAddress {
        member: usize,
        #[source]
        cause: io::Error,
    },
    /// A program can't be started.
    #[error("{program}: not started: {cause}; see that it is there and may be run, and `ulimit -u`")]
    NotStarted {
        program: String,
        #[source]
        cause: io::Error,
    },
}

impl FaultInjectionError {
    pub(crate) fn no_address(what: &'static str) -> impl Fn(io::Error) -> FaultInjectionError + Copy {
        move |cause| FaultInjectionError::NoAddress { what, cause }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Process;
    use std::process::Command;
    use test_case::test_case;

    #[test_case(FaultInjectionError::no_address("a relay")(io::ErrorKind::AddrInUse.into()), "a relay: no address",
        "ulimit -n"; "no address")]
    #[test_case(FaultInjectionError::MemberAddress { member: 3, cause: io::ErrorKind::NotFound.into() },
        "exchange: no address of member 3", "one of the members"; "no such member")]
    #[test_case(Process::start(&mut Command::new("./no-such")).err().unwrap(), "./no-such: not started",
        "may be run"; "no program")]
    fn each_says_where_and_what_to_try(trouble: FaultInjectionError, place: &str, advice: &str) {
        let text = trouble.to_string();
        assert!(text.starts_with(place), "{text}");
        assert!(text.split_once("; ").is_some_and(|it| it.1.contains(advice)), "{text}");
    }
}
