//! Requests from a core to streaming servers: set-ups, ends of viewings, and the streams of notes.

use super::{within, Worker, END_TIMEOUT, MAX_RESPONSE_BYTES};
use hyper::{Method, StatusCode};
use ottersail_front::recording::FrontInput;
use ottersail_front::SetUpEnd;
use ottersail_net::{Failure, Timer};
use ottersail_wire::notes::{Note, NoteReader};
use ottersail_wire::report::{self, Report};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Ends that may be in flight to servers at once. Further ends are left to the servers' leases.
const MAX_ENDS_IN_FLIGHT: usize = 4_096;
/// How often an end is sent before it counts as failed.
const END_ATTEMPTS: usize = 2;
/// Pause between two attempts to open a stream of notes.
const NOTE_STREAM_RETRY: Duration = Duration::from_millis(100);

/// A set-up to be sent to a server.
pub(super) struct SetUpRequest {
    pub viewing: String,
    /// Number of the tune-in within its viewing.
    pub tune_in: usize,
    pub address: String,
    pub path: String,
    pub traceparent: String,
    /// The set-up is not sent after this time, in milliseconds since 1970.
    pub send_by_ms: f64,
}

impl Worker {
    /// Sends a set-up and reports its result to the owner.
    pub(super) async fn send_set_up(self: Rc<Worker>, set_up: SetUpRequest) {
        let SetUpRequest { viewing, tune_in, address, path, traceparent, send_by_ms } = set_up;
        let mut request = self.request(Method::PUT, &address, &path);
        if let Ok(traceparent) = traceparent.parse() {
            request.headers_mut().insert("traceparent", traceparent);
        }
        let may_send = || self.now() <= send_by_ms;
        let began = Instant::now();
        let answer =
            self.client.exchange(&address, request, ottersail_hls::MAX_PLAYLIST_BYTES, may_send).await;
        self.shared.latencies.record_set_up(began.elapsed());
        let mut load = Report::default();
        let end = match answer {
            Ok(answer) => {
                let header = answer.headers.get(report::HEADER).and_then(|value| value.to_str().ok());
                load = header.map(Report::read).unwrap_or_default();
                match answer.status {
                    StatusCode::CREATED => match String::from_utf8(answer.body.to_vec()) {
                        Ok(playlist) => SetUpEnd::Playing { playlist },
                        Err(_) => SetUpEnd::ServerError,
                    },
                    StatusCode::SERVICE_UNAVAILABLE => SetUpEnd::TurnedAway,
                    _ => SetUpEnd::ServerError,
                }
            }
            Err(Failure::NoConnection { .. }) => SetUpEnd::NoConnection,
            Err(Failure::NotSent { .. }) => SetUpEnd::NotSent,
            Err(Failure::Lost { .. }) => SetUpEnd::ConnectionLost,
            Err(Failure::TooLarge { .. }) => SetUpEnd::ServerError,
        };
        let own_task = self.set_ups.borrow_mut().remove(&viewing);
        // The event is sent by another task, because dropping `own_task` cancels this one.
        let worker = self.clone();
        let event = FrontInput::SetUpEnded { viewing, tune_in, end, report: load };
        self.spawn(async move { worker.send_event(event).await });
        drop(own_task);
    }

    /// Tells a server that a viewing has ended; returns whether the server has answered.
    async fn send_end(&self, address: &str, path: &str) -> bool {
        for _ in 0..END_ATTEMPTS {
            let request = self.request(Method::DELETE, address, path);
            let response = self.client.exchange(address, request, MAX_RESPONSE_BYTES, || true);
            match within(END_TIMEOUT, response).await {
                Some(Ok(_)) => return true,
                Some(Err(Failure::NoConnection { .. })) | None => return false,
                Some(Err(_)) => {}
            }
        }
        false
    }

    /// Starts a task that tells a server that a viewing has ended, and sends `event` to the owner once the
    /// server has answered.
    pub(super) fn spawn_end(self: &Rc<Worker>, address: String, path: String, event: Option<FrontInput>) {
        if self.ends_in_flight.get() >= MAX_ENDS_IN_FLIGHT {
            debug!(path, "too many ends in flight; leaving this one to the server's lease");
            return;
        }
        self.ends_in_flight.set(self.ends_in_flight.get() + 1);
        let worker = self.clone();
        self.spawn(async move {
            let answered = worker.send_end(&address, &path).await;
            worker.ends_in_flight.set(worker.ends_in_flight.get() - 1);
            if let Some(event) = event.filter(|_| answered) {
                worker.send_event(event).await;
            }
        });
    }

    /// Reads a server's stream of notes until the server is lost.
    pub(super) async fn read_notes(self: Rc<Worker>, server: String, address: String) {
        let silence = Duration::from_secs_f64(self.shared.settings.silence.0 / 1e3);
        // Until the stream is open for the first time, it is retried for as long as a server may be silent.
        let retry_until = self.now() + self.shared.settings.silence.0;
        let mut stream = None;
        while stream.is_none() && self.now() < retry_until {
            let request = self.request(Method::GET, &address, "/notes");
            stream = within(silence, self.client.events(&address, request)).await.and_then(Result::ok);
            if stream.is_none() {
                Timer::after(NOTE_STREAM_RETRY).await;
            }
        }
        let mut reader = NoteReader::default();
        if let Some(mut stream) = stream {
            while let Some(Some(bytes)) = within(silence, stream.next()).await {
                let mut notes = Vec::new();
                let parsed = reader.feed(&bytes, |note| notes.push(note));
                for note in notes.into_iter().filter(|note| *note != Note::Alive) {
                    self.send_event(FrontInput::NoteReceived { server: server.clone(), note }).await;
                }
                if parsed.is_err() {
                    warn!(server, "cannot parse the server's notes; closing its stream");
                    break;
                }
            }
        }
        self.send_event(FrontInput::ServerLost { server }).await;
    }
}
