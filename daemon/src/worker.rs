//! A core: a thread that holds connections to players, servers and the discovery service. It reports what
//! happens on them to the placement owner and carries out the owner's commands.

mod discovery;
mod requests;
mod servers;
mod shared;

use crate::messages::{CoreCommand, CoreState, OwnerMessage};
use async_executor::Task;
pub use discovery::Catalogue;
use hyper::{Method, Request, StatusCode};
use ottersail_cores::stall;
use ottersail_front::recording::FrontInput;
use ottersail_front::PROBE_TIMEOUT;
use ottersail_net::{Body, Client, Executor, Timer};
use ottersail_wire::report::{self, Report};
use servers::SetUpRequest;
pub use shared::{Shared, WorkerSettings};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Limit for a rung change, and for each attempt to end a viewing at its server.
const END_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest body of an answer that holds no playlist.
const MAX_RESPONSE_BYTES: usize = 4096;
/// Idle connections kept open to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// How long an idle connection is kept. Servers must keep theirs longer.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(8);

/// The tasks and connections of one core.
pub struct Worker {
    pub shared: Arc<Shared>,
    exec: Executor,
    index: usize,
    core: Arc<CoreState>,
    client: Client,
    /// Number of requests passed to the owner so far, for their ids.
    last_request: Cell<u64>,
    /// The set-up in flight of each viewing. Dropping its task resets its connection.
    set_ups: RefCell<BTreeMap<String, Task<()>>>,
    /// The task that reads each server's notes.
    note_streams: RefCell<BTreeMap<String, Task<()>>>,
    ends_in_flight: Cell<usize>,
}

/// The future's output, or `None` if it takes longer than `limit`.
async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(limit).await;
        None
    })
    .await
}

impl Worker {
    /// Creates the worker of the core `index`, whose tasks run on `exec`.
    pub fn new(exec: Executor, index: usize, shared: Arc<Shared>) -> Rc<Worker> {
        let connect_timeout = Duration::from_secs_f64(shared.settings.connect.0 / 1e3);
        let client = Client::new(exec, connect_timeout, MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_TIMEOUT);
        Rc::new(Worker {
            exec,
            index,
            core: shared.cores[index].clone(),
            client: client.resetting(),
            shared,
            last_request: Cell::new(0),
            set_ups: RefCell::default(),
            note_streams: RefCell::default(),
            ends_in_flight: Cell::new(0),
        })
    }

    fn now(&self) -> f64 {
        self.shared.clock.now()
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.exec.spawn(future).detach();
    }

    async fn send_event(&self, event: FrontInput) {
        _ = self.shared.owner_queue.send(OwnerMessage::Event { event, request: None }).await;
    }

    /// Records this core's heartbeat until the process ends, so that other cores see whether it is stalled.
    pub async fn send_heartbeats(self: Rc<Worker>) {
        loop {
            self.core.record_heartbeat(self.now());
            Timer::after(Duration::from_secs_f64(stall::HEARTBEAT_INTERVAL_MS / 1e3)).await;
        }
    }

    /// Carries out the owner's commands until the process ends.
    pub async fn run_commands(self: Rc<Worker>) {
        loop {
            for command in self.core.commands.take_all().await {
                self.run_command(command);
            }
            futures_lite::future::yield_now().await;
        }
    }

    fn run_command(self: &Rc<Worker>, command: CoreCommand) {
        let worker = self.clone();
        match command {
            CoreCommand::SetUp { viewing, tune_in, address, path, traceparent, send_by_ms } => {
                let key = viewing.clone();
                let set_up = SetUpRequest { viewing, tune_in, address, path, traceparent, send_by_ms };
                let task = self.exec.spawn(worker.send_set_up(set_up));
                self.set_ups.borrow_mut().insert(key, task);
            }
            CoreCommand::CancelSetUp { viewing, tune_in, address } => {
                // Dropping the task resets its connection, so that a set-up that is still in transit
                // does not reach the server.
                drop(self.set_ups.borrow_mut().remove(&viewing));
                self.spawn_end(address, format!("/viewings/{vw}/{no}", vw = viewing, no = tune_in), None);
            }
            CoreCommand::ChangeRung { viewing, address, rung } => self.spawn(async move {
                let path = format!("/viewings/{vw}/rung/{rung}", vw = viewing);
                let request = worker.request(Method::PUT, &address, &path);
                let response =
                    worker.client.exchange(&address, request, ottersail_hls::MAX_PLAYLIST_BYTES, || true);
                let playlist = match within(END_TIMEOUT, response).await {
                    Some(Ok(answer)) if answer.status == StatusCode::OK => {
                        String::from_utf8(answer.body.to_vec()).ok()
                    }
                    _ => None,
                };
                worker.send_event(FrontInput::RungChanged { viewing, rung, playlist }).await;
            }),
            CoreCommand::EndViewing { viewing, address } => {
                let event = FrontInput::EndConfirmed { viewing: viewing.clone() };
                self.spawn_end(address, format!("/viewings/{vw}", vw = viewing), Some(event));
            }
            CoreCommand::OpenNoteStream { server, address } => {
                let task = self.exec.spawn(worker.read_notes(server.clone(), address));
                self.note_streams.borrow_mut().insert(server, task);
            }
            CoreCommand::Probe { server, address } => self.spawn(async move {
                let timeout = Duration::from_secs_f64(PROBE_TIMEOUT.0 / 1e3);
                let request = worker.request(Method::GET, &address, "/load");
                let response = worker.client.exchange(&address, request, MAX_RESPONSE_BYTES, || true);
                let answer = within(timeout, response).await.and_then(Result::ok);
                let answer = answer.filter(|answer| answer.status == StatusCode::NO_CONTENT);
                let report = answer
                    .and_then(|answer| answer.headers.get(report::HEADER)?.to_str().ok().map(Report::read));
                worker.send_event(FrontInput::ProbeEnded { server, report }).await;
            }),
            CoreCommand::Stall { ms } => std::thread::sleep(Duration::from_millis(ms)),
            CoreCommand::CloseNoteStream { server } => drop(self.note_streams.borrow_mut().remove(&server)),
        }
    }

    fn request(&self, method: Method, address: &str, path: &str) -> Request<Body> {
        let mut request = Client::request(method, address, path);
        request.headers_mut().insert("x-manager", self.shared.settings.manager.into());
        request
    }
}
