//! Errors while setting up relays and processes.

use std::io;
use thiserror::Error;

/// Why a relay or a process could not be set up.
#[derive(Debug, Error)]
pub enum FaultInjectionError {
    /// No socket could be bound on loopback.
    #[error(
        "{component}: cannot bind a socket on 127.0.0.1: {cause}; check `ulimit -n` and the ports in use (`ss -tlnu`)"
    )]
    NoAddress {
        /// The component that needed the socket.
        component: &'static str,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// The datagram relay has no address for a member.
    #[error(
        "datagram relay: no address for member {member}: {cause}; use the index of a member it was started with"
    )]
    MemberAddress {
        /// The index that was asked for.
        member: usize,
        /// `NotFound` if there is no such member, otherwise the error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// A program could not be started.
    #[error(
        "{program}: cannot start: {cause}; check that the file exists and is executable, and `ulimit -u`"
    )]
    NotStarted {
        /// The path or name of the program.
        program: String,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
}

impl FaultInjectionError {
    /// Returns a function that wraps the error of a failed bind of `component`.
    pub(crate) fn no_address(component: &'static str) -> impl Fn(io::Error) -> FaultInjectionError + Copy {
        move |cause| FaultInjectionError::NoAddress { component, cause }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Process;
    use std::process::Command;
    use test_case::test_case;

    #[test_case(FaultInjectionError::no_address("TCP relay")(io::ErrorKind::AddrInUse.into()),
        "TCP relay: cannot bind a socket", "ulimit -n"; "no address")]
    #[test_case(FaultInjectionError::MemberAddress { member: 3, cause: io::ErrorKind::NotFound.into() },
        "datagram relay: no address for member 3", "index of a member"; "no such member")]
    #[test_case(Process::start(&mut Command::new("./no-such")).err().unwrap(), "./no-such: cannot start",
        "is executable"; "no program")]
    fn messages_name_the_component_and_a_remedy(error: FaultInjectionError, component: &str, remedy: &str) {
        let text = error.to_string();
        assert!(text.starts_with(component), "{text}");
        assert!(text.split_once("; ").is_some_and(|(_, advice)| advice.contains(remedy)), "{text}");
    }
}
