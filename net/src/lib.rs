//! HTTP/1.1 on smol, for one thread: a bounded server and a client with kept connections.

mod body;
mod client;
mod clock;
mod exec;
mod nursery;
mod reactor;
#[cfg(test)]
mod reactor_tests;
mod server;
mod socket;
mod timer;
mod trouble;

pub use body::{full_body, streaming_body, Body};
pub use client::{Answer, Client, Events, Failure};
pub use clock::Clock;
pub use exec::{executor, Executor};
pub use nursery::TaskGroup;
pub use reactor::{block_on, idle_time};
pub use server::{accept, serve, serve_connection, Accepted, ConnectionCounts, ConnectionHandle, Limits};
pub use socket::{listen, Datagrams, Listener, Stream};
pub use timer::Timer;
pub use trouble::{NoReactor, ThreadShuttingDown};
