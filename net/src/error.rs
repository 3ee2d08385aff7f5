//! Errors of a thread that can't use sockets.

use std::io;
use thiserror::Error;

/// A thread that is shutting down tried to use a socket. It is wrapped in an [`io::Error`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "thread {thread:?} is shutting down and can watch no more sockets; open them on a thread that still runs"
)]
pub struct ThreadShuttingDown {
    pub thread: String,
}

impl ThreadShuttingDown {
    pub(crate) fn current() -> ThreadShuttingDown {
        ThreadShuttingDown { thread: current_thread_name() }
    }
}

/// The system refused the thread an epoll or an eventfd, without which this crate can't work.
#[derive(Debug, Error)]
#[error(
    "thread {thread:?} can't wait for sockets: {cause}; an eventfd and an epoll with timeouts in nanoseconds \
     are needed: see that Linux is 5.11 or later, and `ulimit -n`"
)]
pub struct NoReactor {
    pub thread: String,
    #[source]
    pub cause: io::Error,
}

impl NoReactor {
    pub(crate) fn current(cause: io::Error) -> NoReactor {
        NoReactor { thread: current_thread_name(), cause }
    }
}

fn current_thread_name() -> String {
    std::thread::current().name().unwrap_or("without a name").into()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::client::Failure;
    use test_case::test_case;

    fn address() -> String {
        "127.0.0.1:80".into()
    }

    #[test_case(&Failure::NoConnection { address: address() }, "127.0.0.1:80", "listens"; "no connection")]
    #[test_case(&Failure::NotSent { address: address() }, "127.0.0.1:80", "ulimit -n"; "not sent")]
    #[test_case(&Failure::Lost { address: address() }, "127.0.0.1:80", "see the log"; "lost")]
    #[test_case(&Failure::TooLarge { address: address(), most: 9 }, "127.0.0.1:80", "right service"; "too large")]
    #[test_case(&ThreadShuttingDown { thread: "core-1".into() }, "core-1", "still runs"; "a thread that shuts down")]
    #[test_case(&NoReactor { thread: "core-2".into(), cause: io::ErrorKind::Unsupported.into() },
        "core-2", "5.11"; "no reactor")]
    fn each_error_says_where_it_occurred_and_what_to_do(
        error: &dyn std::error::Error,
        place: &str,
        advice: &str,
    ) {
        let text = error.to_string();
        let (wrong, what_to_do) = text.split_once("; ").unwrap_or((&text, ""));
        assert!(wrong.contains(place) && what_to_do.contains(advice), "{text}");
    }
}
