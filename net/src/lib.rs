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

pub use body::{flowing, whole, Body};
pub use client::{Answer, Client, Events, Failure};
pub use clock::Clock;
pub use exec::{executor, Exec};
pub use nursery::Nursery;
pub use reactor::{block_on, slept};
pub use server::{accept, serve, serve_one, Accepted, Limits, Line, Server};
pub use socket::{listen, Datagrams, Listener, Stream};
pub use timer::Timer;
pub use trouble::{NoReactor, ThreadEnds};
