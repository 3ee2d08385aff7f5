//! What keeps a thread from having sockets at all.

use std::io;
use thiserror::Error;

/// A socket was wanted by a thread that is at its end; it comes inside an [`io::Error`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("thread {thread:?} ends and can watch no more sockets; open them on a thread that still runs")]
pub struct ThreadShuttingDown {
    pub thread: String,
}

impl ThreadShuttingDown {
    pub(crate) fn here() -> ThreadShuttingDown {
        ThreadShuttingDown { thread: this_thread() }
    }
}

/// The system gives a thread nothing to wait on, without which nothing of this package works.
#[derive(Debug, Error)]
#[error(
    "thread {thread:?} can't wait for sockets: {cause}; an eventfd and an epoll with waits in nanoseconds \
     are needed: see that Linux is 5.11 or later, and `ulimit -n`"
)]
pub struct NoReactor {
    pub thread: String,
    #[source]
    pub cause: io::Error,
}

impl NoReactor {
    pub(crate) fn here(cause: io::Error) -> NoReactor {
        NoReactor { thread: this_thread(), cause }
    }
}

fn this_thread() -> String {
    std::thread::current().name().unwrap_or("without a name").into()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::client::Failure;
    use test_case::test_case;

    fn at() -> String {
        "127.0.0.1:80".into()
    }

    #[test_case(&Failure::NoConnection { address: at() }, "127.0.0.1:80", "listens"; "no connection")]
    #[test_case(&Failure::NotSent { address: at() }, "127.0.0.1:80", "ulimit -n"; "not sent")]
    #[test_case(&Failure::Lost { address: at() }, "127.0.0.1:80", "see the log"; "lost")]
    #[test_case(&Failure::TooLarge { address: at(), most: 9 }, "127.0.0.1:80", "right service"; "too large")]
    #[test_case(&ThreadShuttingDown { thread: "core-1".into() }, "core-1", "still runs"; "a thread that ends")]
    #[test_case(&NoReactor { thread: "core-2".into(), cause: io::ErrorKind::Unsupported.into() },
        "core-2", "5.11"; "no reactor")]
    fn each_says_where_and_what_to_try(trouble: &dyn std::error::Error, place: &str, advice: &str) {
        let text = trouble.to_string();
        let (wrong, what_to_try) = text.split_once("; ").unwrap_or((&text, ""));
        assert!(wrong.contains(place) && what_to_try.contains(advice), "{text}");
    }
}
