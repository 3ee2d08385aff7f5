//! What goes between a core and the servers: set-ups, ends, and the notes that are listened to.

use super::{within, Worker, ERRAND};
use hyper::{Method, StatusCode};
use ottersail_front::recording::FrontInput;
use ottersail_front::SetUpEnd;
use ottersail_net::{Failure, Timer};
use ottersail_wire::notes::{Note, Reader};
use ottersail_wire::report::{self, Report};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Ends that are being told to servers; past that many the rest is left to the servers' own leases.
const MOST_PARTINGS: usize = 4_096;
const STREAM_PAUSE: Duration = Duration::from_millis(100);

impl Worker {
    pub(super) async fn send_set_up(
        self: Rc<Worker>,
        vw: String,
        no: usize,
        address: String,
        path: String,
        trace: String,
        send_by: f64,
    ) {
        let mut request = self.errand(Method::PUT, &address, &path);
        if let Ok(trace) = trace.parse() {
            request.headers_mut().insert("traceparent", trace);
        }
        let in_time = || self.now() <= send_by;
        let began = Instant::now();
        let answer = self.client.exchange(&address, request, ottersail_hls::MOST_BYTES, in_time).await;
        self.shared.times.set_up(began.elapsed());
        let mut load = Report::default();
        let end = match answer {
            Ok(answer) => {
                let header = answer.headers.get(report::HEADER).and_then(|it| it.to_str().ok());
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
        let done = self.set_ups.borrow_mut().remove(&vw);
        // Told by a task of its own: this one ends with its handle.
        let worker = self.clone();
        self.spawn(async move {
            worker.tell(FrontInput::SetUpEnded { viewing: vw, tune_in: no, end, report: load }).await
        });
        drop(done);
    }

    /// Tells a server that a viewing is over; true if it heard.
    async fn part(&self, address: &str, path: &str) -> bool {
        for _ in 0..2 {
            let request = self.errand(Method::DELETE, address, path);
            let sent = self.client.exchange(address, request, 4096, || true);
            match within(ERRAND, sent).await {
                Some(Ok(_)) => return true,
                Some(Err(Failure::NoConnection { .. })) | None => return false,
                Some(Err(_)) => {}
            }
        }
        false
    }

    pub(super) fn parting(self: &Rc<Worker>, address: String, path: String, told: Option<FrontInput>) {
        if self.partings.get() >= MOST_PARTINGS {
            debug!(path, "too many ends are being told; this one is left to the server's lease");
            return;
        }
        self.partings.set(self.partings.get() + 1);
        let worker = self.clone();
        self.spawn(async move {
            let heard = worker.part(&address, &path).await;
            worker.partings.set(worker.partings.get() - 1);
            if let Some(told) = told.filter(|_| heard) {
                worker.tell(told).await;
            }
        });
    }

    /// Listens to a server's notes until it is lost.
    pub(super) async fn hear(self: Rc<Worker>, server: String, address: String) {
        let silence = Duration::from_secs_f64(self.shared.reach.silence.0 / 1e3);
        // Until it has been heard once, it is tried again for as long as it may be silent.
        let until = self.now() + self.shared.reach.silence.0;
        let mut opened = None;
        while opened.is_none() && self.now() < until {
            let request = self.errand(Method::GET, &address, "/notes");
            opened = within(silence, self.client.events(&address, request)).await.and_then(Result::ok);
            if opened.is_none() {
                Timer::after(STREAM_PAUSE).await;
            }
        }
        let mut reader = Reader::default();
        if let Some(mut events) = opened {
            while let Some(Some(bytes)) = within(silence, events.next()).await {
                let mut notes = Vec::new();
                let whole = reader.take(&bytes, |it| notes.push(it));
                for note in notes.into_iter().filter(|it| *it != Note::Alive) {
                    self.tell(FrontInput::NoteReceived { server: server.clone(), note }).await;
                }
                if whole.is_err() {
                    warn!(server, "its notes can't be read; its stream is given up");
                    break;
                }
            }
        }
        self.tell(FrontInput::ServerLost { server }).await;
    }
}
