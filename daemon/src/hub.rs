//! Ties the front to sockets: what happens is told to it, what it wants is started as tasks. Nothing here decides.

use crate::metrics::Times;
use crate::settings::manager::Manager;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use hyper::{Method, Request, StatusCode};
use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::tape::{Scribe, Told};
use ottersail_front::{AskId, Front, Ms, Orders, Reply, SetUp, SetUpEnd};
use ottersail_net::{Body, Client, Clock, Exec, Failure};
use ottersail_wire::catalogue::{self, read_servers, read_titles, INDEX_HEADER};
use ottersail_wire::notes::{Note, Reader};
use ottersail_wire::report::{self, Report};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::future::Future;
use std::io::{BufWriter, Write};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Ends that are being told to servers; past that many the rest is left to the servers' own leases.
const MOST_PARTINGS: usize = 4_096;
/// A change of rung or an end may take so long.
const ERRAND: Duration = Duration::from_secs(2);
const STREAM_PAUSE: Duration = Duration::from_millis(100);
/// Connections kept to one server, and for how long; servers are to keep theirs longer.
const KEEP: usize = 16;
const KEEP_FOR: Duration = Duration::from_secs(8);

pub struct Hub {
    exec: Exec,
    pub clock: Clock,
    manager: Manager,
    client: Client,
    front: RefCell<Front>,
    last: Cell<f64>,
    tape: RefCell<Option<Tape>>,
    waiting: RefCell<BTreeMap<AskId, (Sender<Reply>, f64)>>,
    asks: Cell<u64>,
    traces: RefCell<BTreeMap<AskId, String>>,
    set_ups: RefCell<BTreeMap<ViewingId, Task<()>>>,
    streams: RefCell<BTreeMap<ServerId, Task<()>>>,
    partings: Cell<usize>,
    armed: Cell<f64>,
    rearm: (Sender<()>, Receiver<()>),
    pub listed: Cell<bool>,
    pub titled: Cell<bool>,
    pub times: RefCell<Times>,
    /// Time spent in the front so far.
    pub spent: Cell<Duration>,
}

/// Where all that is told and wanted is written down.
pub struct Tape(BufWriter<File>);

impl Tape {
    /// # Errors
    /// If the file can't be made.
    pub fn begin(path: &std::path::Path, header: &serde_json::Value) -> std::io::Result<Tape> {
        let mut tape = Tape(BufWriter::new(File::create(path)?));
        writeln!(tape.0, "{header}")?;
        tape.0.flush()?;
        Ok(tape)
    }

    fn line(&mut self, at: f64, told: &Told, wanted: &[String]) -> std::io::Result<()> {
        let line = serde_json::json!({ "at": at, "told": told, "wanted": wanted });
        writeln!(self.0, "{line}")?;
        self.0.flush()
    }
}

/// Starts a task for each wish.
struct Hands<'a>(&'a Rc<Hub>);

impl Hub {
    pub fn new(exec: Exec, clock: Clock, manager: Manager, front: Front, tape: Option<Tape>) -> Rc<Hub> {
        let connect = Duration::from_secs_f64(manager.connect.0 / 1e3);
        Rc::new(Hub {
            exec,
            clock,
            client: Client::new(exec, connect, KEEP, KEEP_FOR),
            manager,
            front: RefCell::new(front),
            last: Cell::new(0.0),
            tape: RefCell::new(tape),
            waiting: RefCell::default(),
            asks: Cell::new(0),
            traces: RefCell::default(),
            set_ups: RefCell::default(),
            streams: RefCell::default(),
            partings: Cell::new(0),
            armed: Cell::new(f64::INFINITY),
            rearm: async_channel::bounded(1),
            listed: Cell::new(false),
            titled: Cell::new(false),
            times: RefCell::default(),
            spent: Cell::default(),
        })
    }

    /// Tells the front that something happened, and sees to what it wants.
    pub fn tell(self: &Rc<Hub>, told: &Told) {
        let now = self.clock.now().max(self.last.get());
        self.last.set(now);
        let began = Instant::now();
        let mut front = self.front.borrow_mut();
        let mut tape = self.tape.borrow_mut();
        match tape.as_mut() {
            None => told.tell(&mut front, Ms(now), &mut Hands(self)),
            Some(open) => {
                let mut lines = Vec::new();
                let mut hands = Hands(self);
                told.tell(&mut front, Ms(now), &mut Scribe { lines: &mut lines, out: Some(&mut hands) });
                if let Err(trouble) = open.line(now, told, &lines) {
                    warn!(%trouble, "the record can't be written any more; it ends here");
                    *tape = None;
                }
            }
        }
        self.spent.set(self.spent.get() + began.elapsed());
        let due = front.next_due().map_or(f64::INFINITY, |it| it.0);
        if due < self.armed.get() {
            _ = self.rearm.0.try_send(());
        }
    }

    /// Ends the record, since what follows could not be played back.
    pub fn end_tape(&self) {
        *self.tape.borrow_mut() = None;
    }

    pub fn front<T>(&self, look: impl FnOnce(&mut Front) -> T) -> T {
        look(&mut self.front.borrow_mut())
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.exec.spawn(future).detach();
    }

    /// Rings when the front wants to be rung.
    pub async fn ring(self: Rc<Hub>) {
        loop {
            let due = self.front(|it| it.next_due()).map_or(f64::INFINITY, |it| it.0);
            self.armed.set(due);
            let wait = async {
                if due.is_finite() {
                    // A little late, so that the time has come when it is looked at.
                    Timer::at(self.clock.instant(due + 0.05)).await;
                } else {
                    futures_lite::future::pending::<()>().await;
                }
            };
            futures_lite::future::or(wait, async {
                _ = self.rearm.1.recv().await;
            })
            .await;
            if self.front(|it| it.next_due()).is_some_and(|it| it.0 <= self.clock.now()) {
                self.tell(&Told::TimeHasCome);
            }
            // Other tasks have their turn between two rings, however many are due.
            futures_lite::future::yield_now().await;
        }
    }

    /// Puts a request to the front and waits for its answer; if the waiting is given up, the viewer has left.
    pub async fn ask(self: &Rc<Hub>, trace: String, told: impl FnOnce(AskId) -> Told) -> Reply {
        self.asks.set(self.asks.get() + 1);
        let ask = AskId(self.asks.get());
        let (sender, receiver) = async_channel::bounded(1);
        let began = self.clock.now();
        self.waiting.borrow_mut().insert(ask, (sender, began));
        if !trace.is_empty() {
            self.traces.borrow_mut().insert(ask, trace);
        }
        let guard = Waiting { hub: self, ask };
        self.tell(&told(ask));
        let reply = receiver.recv().await;
        drop(guard);
        // The sender is dropped only after it has sent.
        reply.unwrap_or(Reply::Aborted { late: false })
    }

    fn errand(&self, method: Method, address: &str, path: &str) -> Request<Body> {
        let mut request = Client::request(method, address, path);
        request.headers_mut().insert("x-manager", self.manager.terms.me.0.into());
        request
    }

    async fn within<T>(span: Duration, future: impl Future<Output = T>) -> Option<T> {
        futures_lite::future::or(async { Some(future.await) }, async {
            Timer::after(span).await;
            None
        })
        .await
    }

    // The list.

    /// Keeps asking for the list, or for the titles, for ever.
    pub async fn follow(self: Rc<Hub>, servers: bool) {
        let mut index: Option<u64> = None;
        loop {
            let wait = self.manager.list_wait.0;
            let from = index.map_or(String::new(), |it| format!("&index={it}"));
            let path = if servers {
                format!("/v1/health/service/{}?wait={wait}ms{from}", self.manager.service)
            } else {
                format!("/v1/kv/titles/?recurse&wait={wait}ms{from}")
            };
            let request = self.errand(Method::GET, &self.manager.list, &path);
            let most = catalogue::MOST_BYTES;
            let asked = self.client.exchange(&self.manager.list, request, most, || true);
            let patience = Duration::from_secs_f64((wait * 1.25 + 500.0) / 1e3);
            let trouble = match Hub::within(patience, asked).await {
                Some(Ok(answer)) if answer.status == StatusCode::OK => {
                    let at =
                        answer.headers.get(INDEX_HEADER).and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
                    let told = if servers {
                        read_servers(&answer.body).map(|list| Told::Listed { index: at.unwrap_or(0), list })
                    } else {
                        read_titles(&answer.body).map(|titles| Told::Titled { titles })
                    };
                    match (told, at) {
                        (Ok(told), Some(at)) => {
                            if index != Some(at) {
                                self.tell(&told);
                            }
                            if servers {
                                self.listed.set(true);
                            } else {
                                self.titled.set(true);
                            }
                            index = Some(at);
                            futures_lite::future::yield_now().await;
                            continue;
                        }
                        (Err(trouble), _) => trouble.to_string(),
                        (_, None) => format!("the answer has no {INDEX_HEADER}"),
                    }
                }
                Some(Ok(answer)) => format!("answered {}", answer.status),
                Some(Err(failure)) => format!("{failure:?}"),
                None => "no answer in time".into(),
            };
            warn!(list = %self.manager.list, servers, cause = trouble, "the list could not be had; the last one holds");
            if servers {
                self.tell(&Told::ListFailed);
            }
            Timer::after(Duration::from_secs_f64(self.manager.list_retry.0 / 1e3)).await;
        }
    }

    // Towards servers.

    async fn send_set_up(self: Rc<Hub>, it: SetUp, trace: String) {
        let path = format!(
            "/viewings/{}/{}?title={}&package={}&rung={}",
            it.vw, it.no, it.title, it.package, it.rung.0
        );
        let mut request = self.errand(Method::PUT, &it.address, &path);
        if let Ok(trace) = trace.parse() {
            request.headers_mut().insert("traceparent", trace);
        }
        let in_time = || self.clock.now() <= it.send_by.0;
        let began = Instant::now();
        let answer = self.client.exchange(&it.address, request, ottersail_hls::MOST_BYTES, in_time).await;
        self.times.borrow_mut().set_up(began.elapsed());
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
            Err(Failure::NoConnection) => SetUpEnd::NoConnection,
            Err(Failure::NotSent) => SetUpEnd::NotSent,
            Err(Failure::Lost) => SetUpEnd::ConnectionLost,
            Err(Failure::TooLarge) => SetUpEnd::ServerError,
        };
        let done = self.set_ups.borrow_mut().remove(&it.vw);
        self.tell(&Told::SetUpEnded { vw: it.vw.to_string(), no: it.no, end, report: load });
        drop(done);
    }

    /// Tells a server that a viewing is over; true if it heard.
    async fn part(&self, address: &str, path: &str) -> bool {
        for _ in 0..2 {
            let request = self.errand(Method::DELETE, address, path);
            let sent = self.client.exchange(address, request, 4096, || true);
            match Hub::within(ERRAND, sent).await {
                Some(Ok(_)) => return true,
                Some(Err(Failure::NoConnection)) | None => return false,
                Some(Err(_)) => {}
            }
        }
        false
    }

    fn parting(self: &Rc<Hub>, address: &str, path: String, told: Option<Told>) {
        if self.partings.get() >= MOST_PARTINGS {
            debug!(path, "too many ends are being told; this one is left to the server's lease");
            return;
        }
        self.partings.set(self.partings.get() + 1);
        let (hub, address) = (self.clone(), address.to_string());
        self.spawn(async move {
            let heard = hub.part(&address, &path).await;
            hub.partings.set(hub.partings.get() - 1);
            if let Some(told) = told.filter(|_| heard) {
                hub.tell(&told);
            }
        });
    }

    /// Listens to a server's notes until it is lost.
    async fn hear(self: Rc<Hub>, server: ServerId, address: String) {
        let silence = Duration::from_secs_f64(self.manager.silence.0 / 1e3);
        // Until it has been heard once, it is tried again for as long as it may be silent.
        let until = self.clock.now() + self.manager.silence.0;
        let mut opened = None;
        while opened.is_none() && self.clock.now() < until {
            let request = self.errand(Method::GET, &address, "/notes");
            opened = Hub::within(silence, self.client.events(&address, request)).await.and_then(Result::ok);
            if opened.is_none() {
                Timer::after(STREAM_PAUSE).await;
            }
        }
        let mut reader = Reader::default();
        if let Some(mut events) = opened {
            while let Some(Some(bytes)) = Hub::within(silence, events.next()).await {
                let mut notes = Vec::new();
                let whole = reader.take(&bytes, |it| notes.push(it));
                for note in notes.into_iter().filter(|it| *it != Note::Alive) {
                    self.tell(&Told::Noted { server: server.to_string(), note });
                }
                if whole.is_err() {
                    warn!(%server, "its notes can't be read; its stream is given up");
                    break;
                }
            }
        }
        self.tell(&Told::ServerLost { server: server.to_string() });
    }
}

struct Waiting<'a> {
    hub: &'a Rc<Hub>,
    ask: AskId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.hub.traces.borrow_mut().remove(&self.ask);
        if self.hub.waiting.borrow_mut().remove(&self.ask).is_some() {
            let (hub, ask) = (self.hub.clone(), self.ask);
            // Not told from here: the front may be at work.
            self.hub.spawn(async move { hub.tell(&Told::Left { ask }) });
        }
    }
}

impl Orders for Hands<'_> {
    fn set_up(&mut self, it: &SetUp) {
        let hub = self.0;
        let trace = it.ask.and_then(|ask| hub.traces.borrow().get(&ask).cloned()).unwrap_or_default();
        let task = hub.exec.spawn(hub.clone().send_set_up(it.clone(), trace));
        hub.set_ups.borrow_mut().insert(it.vw.clone(), task);
    }

    fn call_off(&mut self, vw: &ViewingId, no: usize, _: &ServerId, address: &str) {
        // Dropping the task closes its connection.
        drop(self.0.set_ups.borrow_mut().remove(vw));
        self.0.parting(address, format!("/viewings/{vw}/{no}"), None);
    }

    fn change_rung(&mut self, vw: &ViewingId, _: &ServerId, address: &str, rung: Rung) {
        let (hub, vw, address) = (self.0.clone(), vw.to_string(), address.to_string());
        self.0.spawn(async move {
            let request = hub.errand(Method::PUT, &address, &format!("/viewings/{vw}/rung/{}", rung.0));
            let sent = hub.client.exchange(&address, request, ottersail_hls::MOST_BYTES, || true);
            let answer = Hub::within(ERRAND, sent).await;
            let playlist = match answer {
                Some(Ok(answer)) if answer.status == StatusCode::OK => {
                    String::from_utf8(answer.body.to_vec()).ok()
                }
                _ => None,
            };
            hub.tell(&Told::RungChanged { vw, rung: rung.0, playlist });
        });
    }

    fn let_go(&mut self, vw: &ViewingId, _: &ServerId, address: &str) {
        let told = Told::LetGo { vw: vw.to_string() };
        self.0.parting(address, format!("/viewings/{vw}"), Some(told));
    }

    fn reply(&mut self, ask: AskId, reply: Reply) {
        if let Some((sender, began)) = self.0.waiting.borrow_mut().remove(&ask) {
            self.0.times.borrow_mut().answered(&reply, self.0.clock.now() - began);
            _ = sender.try_send(reply);
        }
    }

    fn listen(&mut self, server: &ServerId, address: &str) {
        let hub = self.0;
        let task = hub.exec.spawn(hub.clone().hear(server.clone(), address.to_string()));
        hub.streams.borrow_mut().insert(server.clone(), task);
    }

    fn hang_up(&mut self, server: &ServerId) {
        drop(self.0.streams.borrow_mut().remove(server));
    }
}
