//! One manager in a process of its own, servers and list on a thread here, an open-loop load on two more:
//! arrivals do not wait for answers, and a time to the answer counts from when the request was due.

use crate::errors::BenchError;
use crate::fleet::fleet;
use crate::load::{histogram, load, load_once};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const BOUND_MS: f64 = 50.0;

/// What a run at one rate showed: milliseconds, counts, and microseconds a set-up of the manager's thread in
/// all, in its front, in the decisions.
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

pub fn measure(seconds: f64, servers: usize, from: f64, cores: usize) -> Result<(), BenchError> {
    println!(
        "one manager on {cores} cores, {servers} servers, load and servers on the same machine, {seconds} s \
         a rate"
    );
    println!(
        "pick     rate/s   p50 ms   p99 ms  p99.9 ms  refused  failed   held   us a set-up: all   \
         front  decisions"
    );
    for pick in ["module", "random"] {
        let mut rate = from;
        let mut best: Option<f64> = None;
        loop {
            let shown = match (apart(pick, rate, seconds, (servers, cores)), best) {
                (Ok(shown), _) => shown,
                // A rate that is too much for a run to end with figures is the last one, too.
                (Err(trouble), Some(_)) => {
                    eprintln!("{trouble}");
                    break;
                }
                (Err(trouble), None) => return Err(trouble),
            };
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
                print(pick, &apart(pick, best / 2.0, seconds, (servers, cores))?);
            }
        }
    }
    Ok(())
}

/// What a process of this program told.
fn figures(text: &[u8]) -> Vec<f64> {
    String::from_utf8_lossy(text).split_whitespace().filter_map(|it| it.parse().ok()).collect()
}

fn no_figures(what: &'static str, arguments: &[String], output: &Output) -> BenchError {
    let text = |it: &[u8]| String::from_utf8_lossy(it).trim().to_string();
    let (told, said) = (text(&output.stdout), text(&output.stderr));
    BenchError::NoFigures { what, told, said, again: arguments.join(" ") }
}

/// Each rate in a process of its own, so that none inherits another's sockets or memory.
fn apart(pick: &str, rate: f64, seconds: f64, (servers, cores): (usize, usize)) -> Result<Shown, BenchError> {
    const WHAT: &str = "one rate";
    let program = std::env::current_exe().map_err(BenchError::OwnPath)?;
    let numbers = [rate.to_string(), seconds.to_string(), servers.to_string(), cores.to_string()];
    let arguments = [vec!["at-rate".to_string(), pick.to_string()], numbers.to_vec()].concat();
    let output = Command::new(program).args(&arguments).output();
    let output = output.map_err(|source| BenchError::Process { what: WHAT, source })?;
    Shown::of(&figures(&output.stdout)).ok_or_else(|| no_figures(WHAT, &arguments, &output))
}

/// One rate, its figures on standard output.
pub fn at_rate(pick: &str, rate: f64, seconds: f64, servers: usize, cores: usize) -> Result<(), BenchError> {
    ottersail_daemon::run::raise_open_file_limit(0);
    let shown = run(pick, rate, seconds, (servers, cores))?;
    println!("{}", shown.figures().map(|it| it.to_string()).join(" "));
    Ok(())
}

fn print(pick: &str, it: &Shown) {
    println!(
        "{pick:<7} {:>7.0} {:>8.2} {:>8.2} {:>9.2} {:>8} {:>7} {:>6} {:>18.0} {:>7.0} {:>10.0}",
        it.rate, it.p50, it.p99, it.p999, it.refused, it.failed, it.held, it.cpu, it.front, it.decisions
    );
}

fn run(pick: &str, rate: f64, seconds: f64, (servers, cores): (usize, usize)) -> Result<Shown, BenchError> {
    const WHAT: &str = "the manager";
    let (ready, is_ready) = mpsc::channel();
    let (stop_servers, stopped) = mpsc::channel();
    let fleet = std::thread::spawn(move || fleet(servers, ready, stopped));
    let Ok(list) = is_ready.recv() else {
        // It ended before it told where its list is: for want of sockets, or in a panic.
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let ended = fleet.join().ok().and_then(Result::err);
        return Err(ended.unwrap_or(BenchError::BrokeOff { what: "the servers", address: none }));
    };
    let address = TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr());
    let address = address.map_err(|source| BenchError::Socket { what: WHAT, source })?;
    let program = std::env::current_exe().map_err(BenchError::OwnPath)?;
    let numbers = [servers.to_string(), cores.to_string(), address.to_string(), list.to_string()];
    let arguments = [vec!["manage".to_string(), pick.to_string()], numbers.to_vec()].concat();
    let process = |source| BenchError::Process { what: WHAT, source };
    let mut managing = Command::new(program)
        .args(&arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(process)?;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(10) && !load_once(address) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let load: Vec<_> =
        (0..2).map(|it| std::thread::spawn(move || load(address, rate / 2.0, seconds, it))).collect();
    let (mut times, mut refused, mut failed) = (histogram(), 0, 0);
    for thread in load {
        let ended = thread.join();
        let (part, r, f) = ended.map_err(|_| BenchError::BrokeOff { what: "the load", address })?;
        times.add(&part).expect("equal bounds");
        (refused, failed) = (refused + r, failed + f);
    }
    // It ends when its input does, and tells its figures.
    drop(managing.stdin.take());
    let output = managing.wait_with_output().map_err(process)?;
    let &[cpu, front, decisions, held] = &figures(&output.stdout)[..] else {
        return Err(no_figures(WHAT, &arguments, &output));
    };
    drop(stop_servers);
    _ = fleet.join();
    let ms = |part: f64| times.value_at_quantile(part) as f64 / 1e3;
    Ok(Shown {
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
    })
}
