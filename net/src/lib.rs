//! HTTP/1.1 on smol, for one thread: a server with limits, and a client that reuses connections.

mod body;
mod client;
mod clock;
mod datagrams;
mod error;
mod executor;
mod reactor;
#[cfg(test)]
mod reactor_tests;
mod server;
mod socket;
mod task_group;
mod timer;

pub use body::{full_body, streaming_body, Body};
pub use client::{Answer, Client, Events, Failure};
pub use clock::Clock;
pub use datagrams::Datagrams;
pub use error::{NoReactor, ThreadShuttingDown};
pub use executor::{executor, Executor};
pub use reactor::{block_on, idle_time, wake_after_events};
pub use server::{accept, serve, serve_connection, Accepted, ConnectionCounts, ConnectionHandle, Limits};
pub use socket::{listen, Listener, Stream};
pub use task_group::TaskGroup;
pub use timer::Timer;
