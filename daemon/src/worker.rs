//! A core that holds connections: to players, to servers, to the list. What it sees it tells the owner.

use crate::metrics::Times;
use crate::post::{Core, Errand, News, Slot};
use crate::settings::manager::Manager;
use arc_swap::ArcSwap;
use async_channel::Sender;
use async_executor::Task;
use hyper::{Method, Request, StatusCode};
use ottersail_cores::{vigil, Claim, Stage};
use ottersail_front::tape::Told;
use ottersail_front::{AskId, Ms, Reply, SetUpEnd, PROBE_PATIENCE};
use ottersail_net::{Body, Client, Clock, Exec, Failure, Line, Timer};
use ottersail_tickets::Keys;
use ottersail_wire::catalogue::{self, read_servers, read_titles, INDEX_HEADER};
use ottersail_wire::notes::{Note, Reader};
use ottersail_wire::report::{self, Report};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
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

/// What all cores read and few write.
pub struct Shared {
    pub clock: Clock,
    pub reach: Reach,
    pub keys: ArcSwap<Keys>,
    pub listed: AtomicBool,
    pub titled: AtomicBool,
    pub times: Times,
    pub cores: Vec<Arc<Core>>,
    pub news: Sender<News>,
}

/// What a core reads of the settings.
pub struct Reach {
    pub me: u64,
    pub list: String,
    pub service: String,
    pub list_wait: Ms,
    pub list_retry: Ms,
    pub connect: Ms,
    pub silence: Ms,
    pub stay_away: Option<f64>,
}

impl From<&Manager> for Reach {
    fn from(it: &Manager) -> Reach {
        Reach {
            me: it.terms.me.0,
            list: it.list.clone(),
            service: it.service.clone(),
            list_wait: it.list_wait,
            list_retry: it.list_retry,
            connect: it.connect,
            silence: it.silence,
            stay_away: it.terms.max_stay_away.map(|it| it.0),
        }
    }
}

pub struct Worker {
    pub shared: Arc<Shared>,
    exec: Exec,
    index: usize,
    core: Arc<Core>,
    client: Client,
    asks: Cell<u64>,
    set_ups: RefCell<BTreeMap<String, Task<()>>>,
    streams: RefCell<BTreeMap<String, Task<()>>>,
    partings: Cell<usize>,
}

async fn within<T>(span: Duration, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(span).await;
        None
    })
    .await
}

impl Worker {
    pub fn new(exec: Exec, index: usize, shared: Arc<Shared>) -> Rc<Worker> {
        let connect = Duration::from_secs_f64(shared.reach.connect.0 / 1e3);
        Rc::new(Worker {
            exec,
            index,
            core: shared.cores[index].clone(),
            client: Client::new(exec, connect, KEEP, KEEP_FOR).resetting(),
            shared,
            asks: Cell::new(0),
            set_ups: RefCell::default(),
            streams: RefCell::default(),
            partings: Cell::new(0),
        })
    }

    fn now(&self) -> f64 {
        self.shared.clock.now()
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.exec.spawn(future).detach();
    }

    async fn tell(&self, told: Told) {
        _ = self.shared.news.send(News::Happened { told, slot: None }).await;
    }

    /// Shows that this core moves, and which tasks it has.
    pub async fn pulse(self: Rc<Worker>) {
        loop {
            self.core.moves(self.now());
            Timer::after(Duration::from_secs_f64(vigil::PULSE / 1e3)).await;
        }
    }

    // Players.

    /// Puts a request to the owner and waits for its answer; if the waiting is given up, the viewer has left. `None`
    /// if another core has answered in this one's place.
    pub async fn ask(
        self: &Rc<Worker>,
        line: Line,
        trace: String,
        patience: f64,
        told: impl FnOnce(AskId) -> Told,
    ) -> Option<Reply> {
        self.asks.set(self.asks.get() + 1);
        let ask = AskId(self.asks.get() * self.shared.cores.len() as u64 + self.index as u64);
        let (ready, is_ready) = async_channel::bounded(1);
        let began = self.now();
        let due = vigil::last_call(began, patience);
        let (claim, reply) = (Claim::new(), Mutex::new(None));
        let slot = Arc::new(Slot { claim, reply, ready, line, began, due });
        self.core.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(ask, slot.clone());
        let guard = Waiting { worker: self, ask, slot: slot.clone() };
        let news = News::Happened { told: told(ask), slot: Some((slot.clone(), trace)) };
        let answered = async {
            _ = self.shared.news.send(news).await;
            _ = is_ready.recv().await;
        };
        let last_call = async {
            Timer::at(self.shared.clock.instant(due)).await;
        };
        futures_lite::future::or(answered, last_call).await;
        let won = slot.claim.answer();
        self.core.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&ask);
        let reply = slot.reply.lock().unwrap_or_else(PoisonError::into_inner).take();
        drop(guard);
        let stage = won?;
        self.core.answered.fetch_add(1, Ordering::Relaxed);
        Some(reply.unwrap_or_else(|| {
            let stay_away = self.shared.reach.stay_away;
            warn!(ask = ask.0, ?stage, "the owner of placement said nothing in time");
            if stage == Stage::Taken {
                // It owes nothing for it any more.
                let worker = self.clone();
                self.spawn(async move { worker.tell(Told::Left { ask }).await });
            }
            match stage {
                Stage::Put => Reply::Blocked { stay_away },
                Stage::Taken => Reply::Aborted { late: true },
            }
        }))
    }

    pub async fn page(&self) -> String {
        let (sender, receiver) = async_channel::bounded(1);
        _ = self.shared.news.send(News::Page(sender)).await;
        receiver.recv().await.unwrap_or_default()
    }

    // The list.

    /// Keeps asking for the list, or for the titles, for ever.
    pub async fn follow(self: Rc<Worker>, servers: bool) {
        let reach = &self.shared.reach;
        let mut index: Option<u64> = None;
        loop {
            let wait = reach.list_wait.0;
            let from = index.map_or(String::new(), |it| format!("&index={it}"));
            let path = if servers {
                format!("/v1/health/service/{}?wait={wait}ms{from}", reach.service)
            } else {
                format!("/v1/kv/titles/?recurse&wait={wait}ms{from}")
            };
            let request = self.errand(Method::GET, &reach.list, &path);
            let asked = self.client.exchange(&reach.list, request, catalogue::MOST_BYTES, || true);
            let patience = Duration::from_secs_f64((wait * 1.25 + 500.0) / 1e3);
            let trouble = match within(patience, asked).await {
                Some(Ok(answer)) if answer.status == StatusCode::OK => {
                    let at =
                        answer.headers.get(INDEX_HEADER).and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
                    // What was told already is not read again: at hundreds of managers that is most of their work at rest.
                    if at.is_some() && at == index {
                        futures_lite::future::yield_now().await;
                        continue;
                    }
                    let told = if servers {
                        read_servers(&answer.body).map(|list| Told::Listed { index: at.unwrap_or(0), list })
                    } else {
                        read_titles(&answer.body).map(|titles| Told::Titled { titles })
                    };
                    match (told, at) {
                        (Ok(told), Some(at)) => {
                            self.tell(told).await;
                            let known = if servers { &self.shared.listed } else { &self.shared.titled };
                            known.store(true, Ordering::Release);
                            index = Some(at);
                            futures_lite::future::yield_now().await;
                            continue;
                        }
                        (Err(trouble), _) => trouble.to_string(),
                        (_, None) => format!("the answer has no {INDEX_HEADER}"),
                    }
                }
                Some(Ok(answer)) => format!("answered {}", answer.status),
                Some(Err(failure)) => failure.to_string(),
                None => "no answer in time".into(),
            };
            warn!(list = %reach.list, servers, cause = trouble, "the list could not be had; the last one holds");
            if servers {
                self.tell(Told::ListFailed).await;
            }
            Timer::after(Duration::from_secs_f64(reach.list_retry.0 / 1e3)).await;
        }
    }

    // Servers.

    /// Carries out errands for ever.
    pub async fn run_errands(self: Rc<Worker>) {
        loop {
            for errand in self.core.errands.take().await {
                self.run(errand);
            }
            futures_lite::future::yield_now().await;
        }
    }

    fn run(self: &Rc<Worker>, errand: Errand) {
        let worker = self.clone();
        match errand {
            Errand::SetUp { vw, no, address, path, trace, send_by } => {
                let name = vw.clone();
                let task = self.exec.spawn(worker.send_set_up(vw, no, address, path, trace, send_by));
                self.set_ups.borrow_mut().insert(name, task);
            }
            Errand::CallOff { vw, no, address } => {
                // Dropping the task resets its connection, so that a set-up that is still on its way stays there.
                drop(self.set_ups.borrow_mut().remove(&vw));
                self.parting(address, format!("/viewings/{vw}/{no}"), None);
            }
            Errand::ChangeRung { vw, address, rung } => self.spawn(async move {
                let request = worker.errand(Method::PUT, &address, &format!("/viewings/{vw}/rung/{rung}"));
                let sent = worker.client.exchange(&address, request, ottersail_hls::MOST_BYTES, || true);
                let playlist = match within(ERRAND, sent).await {
                    Some(Ok(answer)) if answer.status == StatusCode::OK => {
                        String::from_utf8(answer.body.to_vec()).ok()
                    }
                    _ => None,
                };
                worker.tell(Told::RungChanged { vw, rung, playlist }).await;
            }),
            Errand::LetGo { vw, address } => {
                let told = Told::LetGo { vw: vw.clone() };
                self.parting(address, format!("/viewings/{vw}"), Some(told));
            }
            Errand::Listen { server, address } => {
                let task = self.exec.spawn(worker.hear(server.clone(), address));
                self.streams.borrow_mut().insert(server, task);
            }
            Errand::Probe { server, address } => self.spawn(async move {
                let patience = Duration::from_secs_f64(PROBE_PATIENCE.0 / 1e3);
                let sent = worker.client.exchange(
                    &address,
                    worker.errand(Method::GET, &address, "/load"),
                    4096,
                    || true,
                );
                let answer = within(patience, sent).await.and_then(Result::ok);
                let answer = answer.filter(|it| it.status == StatusCode::NO_CONTENT);
                let told =
                    answer.and_then(|it| it.headers.get(report::HEADER)?.to_str().ok().map(Report::read));
                worker.tell(Told::Probed { server, report: told }).await;
            }),
            Errand::StandStill { ms } => std::thread::sleep(Duration::from_millis(ms)),
            Errand::HangUp { server } => drop(self.streams.borrow_mut().remove(&server)),
        }
    }

    fn errand(&self, method: Method, address: &str, path: &str) -> Request<Body> {
        let mut request = Client::request(method, address, path);
        request.headers_mut().insert("x-manager", self.shared.reach.me.into());
        request
    }

    async fn send_set_up(
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
        self.spawn(async move { worker.tell(Told::SetUpEnded { vw, no, end, report: load }).await });
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

    fn parting(self: &Rc<Worker>, address: String, path: String, told: Option<Told>) {
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
    async fn hear(self: Rc<Worker>, server: String, address: String) {
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
                    self.tell(Told::Noted { server: server.clone(), note }).await;
                }
                if whole.is_err() {
                    warn!(server, "its notes can't be read; its stream is given up");
                    break;
                }
            }
        }
        self.tell(Told::ServerLost { server }).await;
    }
}

struct Waiting<'a> {
    worker: &'a Rc<Worker>,
    ask: AskId,
    slot: Arc<Slot>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let core = &self.worker.core;
        if core.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.ask).is_none() {
            return;
        }
        // The viewer closed its connection. If the owner has taken the request, it must know; if not, it never will.
        if self.slot.claim.answer() == Some(Stage::Taken) {
            let (worker, ask) = (self.worker.clone(), self.ask);
            self.worker.spawn(async move { worker.tell(Told::Left { ask }).await });
        }
    }
}
