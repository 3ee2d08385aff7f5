//! A core that holds connections: to players, to servers, to the list. What it sees it tells the owner.

mod ask;
mod list;
mod servers;
mod shared;

use crate::post::{Core, Errand, News};
use async_executor::Task;
use hyper::{Method, Request, StatusCode};
use ottersail_cores::stall;
use ottersail_front::recording::FrontInput;
use ottersail_front::PROBE_TIMEOUT;
use ottersail_net::{Body, Client, Executor, Timer};
use ottersail_wire::report::{self, Report};
pub use shared::{Reach, Shared};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A change of rung or an end may take so long.
const ERRAND: Duration = Duration::from_secs(2);
/// Connections kept to one server, and for how long; servers are to keep theirs longer.
const KEEP: usize = 16;
const KEEP_FOR: Duration = Duration::from_secs(8);

pub struct Worker {
    pub shared: Arc<Shared>,
    exec: Executor,
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
    pub fn new(exec: Executor, index: usize, shared: Arc<Shared>) -> Rc<Worker> {
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

    async fn tell(&self, told: FrontInput) {
        _ = self.shared.news.send(News::Happened { told, slot: None }).await;
    }

    /// Shows that this core moves, and which tasks it has.
    pub async fn pulse(self: Rc<Worker>) {
        loop {
            self.core.moves(self.now());
            Timer::after(Duration::from_secs_f64(stall::HEARTBEAT_INTERVAL_MS / 1e3)).await;
        }
    }

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
                // Dropping the task resets its connection, so that a set-up that is still on its way stays
                // there.
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
                worker.tell(FrontInput::RungChanged { viewing: vw, rung, playlist }).await;
            }),
            Errand::LetGo { vw, address } => {
                let told = FrontInput::EndConfirmed { viewing: vw.clone() };
                self.parting(address, format!("/viewings/{vw}"), Some(told));
            }
            Errand::Listen { server, address } => {
                let task = self.exec.spawn(worker.hear(server.clone(), address));
                self.streams.borrow_mut().insert(server, task);
            }
            Errand::Probe { server, address } => self.spawn(async move {
                let patience = Duration::from_secs_f64(PROBE_TIMEOUT.0 / 1e3);
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
                worker.tell(FrontInput::ProbeEnded { server, report: told }).await;
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
}
