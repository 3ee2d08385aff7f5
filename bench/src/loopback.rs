//! One manager in a process of its own, servers and list on a thread here, an open-loop load on two more: arrivals do
//! not wait for answers, and a time to the answer counts from when the request was due.

use crate::library::{keys, listed, manager, titles, PLAYLIST, TITLES};
use crate::timed::Timed;
use hdrhistogram::Histogram;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use ottersail_daemon::run::{house, start};
use ottersail_front::baseline::{Baseline, Pick};
use ottersail_front::decisions::Decisions;
use ottersail_front::{Brain, Front, Ms};
use ottersail_net::{
    block_on, executor, flowing, serve, whole, Body, Client, Clock, Limits, Listener, Nursery, Server, Timer,
};
use ottersail_wire::catalogue::{write_servers, write_titles, INDEX_HEADER};
use rustix::time::{clock_gettime, ClockId};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits { connections: 60_000, head: Duration::from_secs(60) };
const BOUND_MS: f64 = 50.0;

/// What a run at one rate showed: milliseconds, counts, and microseconds a set-up of the manager's thread in all, in
/// its front, in the decisions.
#[derive(Clone, Copy, Debug, Default)]
struct Shown {
    rate: f64,
    p50: f64,
    p99: f64,
    p999: f64,
    refused: f64,
    failed: f64,
    answered: f64,
    held: f64,
    cpu: f64,
    front: f64,
    decisions: f64,
}

impl Shown {
    fn figures(&self) -> [f64; 11] {
        let Shown { rate, p50, p99, p999, refused, failed, answered, held, cpu, front, decisions } = *self;
        [rate, p50, p99, p999, refused, failed, answered, held, cpu, front, decisions]
    }

    fn of(figures: &[f64]) -> Option<Shown> {
        let &[rate, p50, p99, p999, refused, failed, answered, held, cpu, front, decisions] = figures else {
            return None;
        };
        Some(Shown { rate, p50, p99, p999, refused, failed, answered, held, cpu, front, decisions })
    }
}

pub fn measure(seconds: f64, servers: usize, from: f64, cores: usize) {
    println!("one manager on {cores} cores, {servers} servers, load and servers on the same machine, {seconds} s a rate");
    println!("pick     rate/s   p50 ms   p99 ms  p99.9 ms  refused  failed   held   us a set-up: all   front  decisions");
    for pick in ["module", "random"] {
        let mut rate = from;
        let mut best: Option<f64> = None;
        while let Some(shown) = apart(pick, rate, seconds, (servers, cores)) {
            print(pick, &shown);
            if shown.p99 > BOUND_MS || shown.failed * 100.0 > shown.answered {
                break;
            }
            best = Some(rate);
            rate *= 1.25;
        }
        match best {
            None => println!("the first rate is already too much"),
            Some(best) => {
                println!("p99 stays within {BOUND_MS} ms up to {best:.0} a second; at half of that:");
                if let Some(shown) = apart(pick, best / 2.0, seconds, (servers, cores)) {
                    print(pick, &shown);
                }
            }
        }
    }
}

/// Each rate in a process of its own, so that none inherits another's sockets or memory.
fn apart(pick: &str, rate: f64, seconds: f64, (servers, cores): (usize, usize)) -> Option<Shown> {
    let program = std::env::current_exe().ok()?;
    let arguments =
        [pick.to_string(), rate.to_string(), seconds.to_string(), servers.to_string(), cores.to_string()];
    let output = std::process::Command::new(program).arg("at-rate").args(arguments).output().ok()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let figures: Vec<f64> = text.split_whitespace().filter_map(|it| it.parse().ok()).collect();
    let shown = Shown::of(&figures);
    if shown.is_none() {
        eprintln!("{}", String::from_utf8_lossy(&output.stderr));
    }
    shown
}

/// One rate, its figures on standard output.
pub fn at_rate(pick: &str, rate: f64, seconds: f64, servers: usize, cores: usize) {
    ottersail_daemon::run::raise_files(0);
    let shown = run(pick, rate, seconds, (servers, cores));
    println!("{}", shown.figures().map(|it| it.to_string()).join(" "));
}

fn print(pick: &str, it: &Shown) {
    println!(
        "{pick:<7} {:>7.0} {:>8.2} {:>8.2} {:>9.2} {:>8} {:>7} {:>6} {:>18.0} {:>7.0} {:>10.0}",
        it.rate, it.p50, it.p99, it.p999, it.refused, it.failed, it.held, it.cpu, it.front, it.decisions
    );
}

/// Of all threads of this process.
fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn run(pick: &str, rate: f64, seconds: f64, (servers, cores): (usize, usize)) -> Shown {
    let (ready, is_ready) = mpsc::channel();
    let (stop_servers, stopped) = mpsc::channel();
    let fleet = std::thread::spawn(move || fleet(servers, ready, stopped));
    let list = is_ready.recv().expect("the servers start");
    let address = TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr()).expect("a port");
    let program = std::env::current_exe().expect("this program");
    let arguments =
        [pick.to_string(), servers.to_string(), cores.to_string(), address.to_string(), list.to_string()];
    let mut managing = Command::new(program)
        .arg("manage")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the manager starts");
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(10) && !load_once(address) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let load: Vec<_> =
        (0..2).map(|it| std::thread::spawn(move || load(address, rate / 2.0, seconds, it))).collect();
    let (mut times, mut refused, mut failed) = (histogram(), 0, 0);
    for thread in load {
        let (part, r, f) = thread.join().expect("the load ends");
        times.add(&part).expect("equal bounds");
        (refused, failed) = (refused + r, failed + f);
    }
    // It ends when its input does, and tells its figures.
    drop(managing.stdin.take());
    let output = managing.wait_with_output().expect("the manager ends");
    let text = String::from_utf8_lossy(&output.stdout);
    let figures: Vec<f64> = text.split_whitespace().filter_map(|it| it.parse().ok()).collect();
    let &[cpu, front, decisions, held] = &figures[..] else {
        panic!("the manager's figures: {text:?}");
    };
    drop(stop_servers);
    _ = fleet.join();
    let ms = |part: f64| times.value_at_quantile(part) as f64 / 1e3;
    Shown {
        rate,
        p50: ms(0.5),
        p99: ms(0.99),
        p999: ms(0.999),
        refused: refused as f64,
        failed: failed as f64,
        answered: times.len() as f64,
        held,
        cpu,
        front,
        decisions,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("good bounds")
}

/// Until the sending half is dropped.
async fn until(stopped: mpsc::Receiver<()>) {
    while stopped.try_recv() != Err(mpsc::TryRecvError::Disconnected) {
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// A manager until its input ends; then microseconds of CPU a set-up, in all, in its front, in the decisions, and how
/// many viewings it holds, on standard output.
pub fn manage(pick: &str, servers: usize, cores: usize, address: &str, list: &str) {
    ottersail_daemon::run::raise_files(0);
    let mut manager = manager(servers, address, list, 2_000_000.0);
    manager.cores = cores;
    let clock = Clock::start();
    let exec = executor();
    let spent: Rc<Cell<Duration>> = Rc::default();
    let (timed, random) = (spent.clone(), pick == "random");
    let front = Front::with(
        Ms(clock.now()),
        manager.terms.clone(),
        house(&manager, keys()),
        &mut ottersail_daemon::run::NoOrders,
        move |terms, out| {
            let of: Box<dyn Decisions> = if random {
                Box::new(Baseline::new(terms, Pick::LowestRung, 1))
            } else {
                Box::new(Brain::born(Ms(clock.now()), 1, terms, out))
            };
            Box::new(Timed { of, spent: timed })
        },
    );
    let running = start(exec, clock, &manager, keys(), front, None).expect("the manager starts");
    let (stop, stopped) = mpsc::channel::<()>();
    std::thread::spawn(move || {
        _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        drop(stop);
    });
    let before = cpu();
    block_on(exec.run(until(stopped)));
    let owner = &running.owner;
    let (held, count) = owner.front(|it| (it.viewings(), it.counts().asked.max(1)));
    let each = |it: Duration| it.as_secs_f64() * 1e6 / count as f64;
    println!("{} {} {} {held}", each(cpu() - before), each(owner.spent.get()), each(spent.get()));
}

type Sender = async_channel::Sender<bytes::Bytes>;

/// All servers on one thread, each on a socket of its own; and their list.
fn fleet(servers: usize, ready: mpsc::Sender<SocketAddr>, stopped: mpsc::Receiver<()>) {
    let exec = executor();
    let nursery = Nursery::new(exec);
    let open = || Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a socket");
    let mut rows = Vec::new();
    for ix in 0..servers {
        let listener = open();
        rows.push(listed(ix, listener.get_ref().local_addr().expect("an address").to_string()));
        let streams: Rc<RefCell<Vec<_>>> = Rc::default();
        let alive = streams.clone();
        nursery.spawn(async move {
            loop {
                Timer::after(Duration::from_secs(1)).await;
                let sign = |it: &Sender| it.try_send(":\n\n".into()).is_ok();
                alive.borrow_mut().retain(sign);
            }
        });
        let handler = move |request: Request<Incoming>, _| {
            let streams = streams.clone();
            async move {
                if request.uri().path() == "/notes" {
                    let (sender, body) = flowing(4);
                    _ = sender.try_send(":\n\n".into());
                    streams.borrow_mut().push(sender);
                    return Response::new(body);
                }
                let mut response: Response<Body> = Response::new(whole(PLAYLIST));
                if request.method() == Method::PUT {
                    *response.status_mut() = StatusCode::CREATED;
                }
                response
            }
        };
        nursery.spawn(serve(nursery.clone(), listener, LIMITS, Server::new(), handler));
    }
    let listener = open();
    let address = listener.get_ref().local_addr().expect("an address");
    let (list, titles) = (write_servers(&rows), write_titles(&titles(servers)));
    let handler = move |request: Request<Incoming>, _| {
        let text = if request.uri().path().contains("health") { list.clone() } else { titles.clone() };
        async move {
            if request.uri().query().is_some_and(|it| it.contains("index=")) {
                Timer::after(Duration::from_secs(50)).await;
            }
            let mut response = Response::new(whole(text));
            response.headers_mut().insert(INDEX_HEADER, 1.into());
            response
        }
    };
    nursery.spawn(serve(nursery.clone(), listener, LIMITS, Server::new(), handler));
    _ = ready.send(address);
    block_on(exec.run(until(stopped)));
    nursery.end();
}

fn load_once(address: SocketAddr) -> bool {
    let exec = executor();
    let client = Client::new(exec, Duration::from_millis(200), 0, Duration::ZERO);
    let to = address.to_string();
    let ask = client.exchange(&to, Client::request(Method::GET, &to, "/ready"), 1 << 16, || true);
    block_on(exec.run(ask)).is_ok_and(|it| it.status == StatusCode::OK)
}

/// Arrivals by chance at that rate; times from when each was due.
fn load(address: SocketAddr, rate: f64, seconds: f64, seed: u64) -> (Histogram<u64>, u64, u64) {
    let exec = executor();
    let client = Rc::new(Client::new(exec, Duration::from_secs(2), 4096, Duration::from_secs(30)));
    let shared = Rc::new(RefCell::new((histogram(), 0u64, 0u64)));
    let out = Rc::new(Cell::new(0usize));
    let mut rng = fastrand::Rng::with_seed(seed);
    block_on(exec.run(async {
        let began = Instant::now();
        let mut at = began;
        while at < began + Duration::from_secs_f64(seconds) {
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if at > Instant::now() {
                Timer::at(at).await;
            }
            let (client, shared, out, due) = (client.clone(), shared.clone(), out.clone(), at);
            let path = format!("/watch/t-{}?package=clips&best=3&patience-ms=4000", rng.usize(..TITLES));
            out.set(out.get() + 1);
            exec.spawn(async move {
                let to = address.to_string();
                let answer =
                    client.exchange(&to, Client::request(Method::GET, &to, &path), 1 << 16, || true).await;
                let mut it = shared.borrow_mut();
                match answer {
                    Ok(answer) => {
                        it.0.saturating_record(due.elapsed().as_micros() as u64);
                        it.1 += u64::from(answer.status != StatusCode::OK);
                    }
                    Err(_) => it.2 += 1,
                }
                out.set(out.get() - 1);
            })
            .detach();
        }
        let end = Instant::now() + Duration::from_secs(6);
        while out.get() > 0 && Instant::now() < end {
            Timer::after(Duration::from_millis(10)).await;
        }
    }));
    let lost = out.get() as u64;
    let it = shared.borrow();
    (it.0.clone(), it.1, it.2 + lost)
}
