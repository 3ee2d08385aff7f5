//! `ottersail rehearse`: a day on loopback. The managers are processes of their own, so that they can be killed and
//! stopped as such; servers, list and players run in here.

use crate::settings::day::{read_day, Plan};
use crate::settings::write::{write_manager, Post};
use async_signal::Signals;
use futures_lite::StreamExt;
use ottersail::ids::ManagerIx;
use ottersail::time::Ms;
use ottersail_front::baseline::{Pick, PICKS};
use ottersail_judge::{judge, record, write_report, Event, Verdict};
use ottersail_net::{block_on, Clock};
use ottersail_rig::{cost, Cost, Process};
use ottersail_standins::{run_fleet, run_players, Crowd, Fault, FaultKind, Recorder};
use ottersail_tickets::Keys;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit, Signal};
use std::fs::{self, File};
use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Managers that a rehearsal starts as processes.
const MOST_MANAGERS: usize = 400;
/// Descriptors of this process that a manager may take (its own connections to servers and list end here, and players'
/// to it begin here), that a server takes, and that all else does.
const FILES_A_MANAGER: u64 = 48;
const FILES_A_SERVER: u64 = 2;
const FILES_BESIDE: u64 = 512;

/// What is asked of a rehearsal.
pub struct Rehearsal {
    pub day: PathBuf,
    pub record: Option<PathBuf>,
    pub traffic: Option<PathBuf>,
    pub seed: Option<u64>,
    /// How loud the managers are.
    pub log: String,
    pub keep: bool,
    /// Cores of each manager.
    pub cores: usize,
    /// Managers that pick plainly, and so many of them, in place of the day's own.
    pub pick: Option<Option<Pick>>,
    pub managers: Option<usize>,
    /// Another version of the program, for every second manager.
    pub beside: Option<PathBuf>,
    /// Where figures and plots go.
    pub report: Option<PathBuf>,
}

/// After the last viewer has come, those who watch have so long to end.
const PLAY_OUT: Duration = Duration::from_secs(12);
const START: Duration = Duration::from_secs(10);
/// A manager that is told to end has so long.
const ENDS: Duration = Duration::from_secs(10);

struct Manager {
    number: usize,
    address: SocketAddr,
    child: Process,
    lives: usize,
    /// What was wrong with the end of an earlier life, or the start of a later one.
    unclean: Option<String>,
}

struct Stage {
    folder: PathBuf,
    program: PathBuf,
    recording: bool,
    log: String,
    seed: u64,
    beside: Option<PathBuf>,
    pick: Option<Pick>,
    one_seed: bool,
    /// The core that is to stand still, and for how many milliseconds.
    stall: Option<(usize, u64)>,
}

/// Plays a day and judges it.
///
/// # Errors
/// What kept it from being played; a broken rule is no error but a verdict.
pub fn rehearse(asked: &Rehearsal) -> Result<Verdict, Vec<String>> {
    let text = fs::read_to_string(&asked.day).map_err(|it| vec![format!("{}: {it}", asked.day.display())])?;
    let mut plan = read_day(&asked.day, &text)?;
    if let Some(seed) = asked.seed {
        plan.day.seed = seed;
    }
    if let Some(managers) = asked.managers.filter(|it| *it > 0) {
        (plan.day.managers, plan.terms.managers) = (managers, managers as f64);
    }
    plan.pick = asked.pick.unwrap_or(plan.pick);
    plan.one_seed &= asked.pick.is_none();
    if plan.day.managers > MOST_MANAGERS {
        let line = format!(
            "{}: more than {MOST_MANAGERS} managers: play it with ottersail-lab",
            asked.day.display()
        );
        return Err(vec![line]);
    }
    bears(&plan).map_err(|it| vec![format!("{}: {it}", asked.day.display())])?;
    sweep();
    let folder = std::env::temp_dir().join(format!("{RUNNING}{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(|it| vec![format!("{}: {it}", folder.display())])?;
    let interrupted = watch_signals().map_err(|it| vec![it])?;
    let played = play(&plan, asked, &folder, &interrupted).map_err(|it| vec![it]);
    let holds = played.as_ref().is_ok_and(Verdict::holds);
    let kept = std::env::temp_dir().join(format!("ottersail-kept-{}", std::process::id()));
    if interrupted.load(Ordering::Acquire) || (!asked.keep && holds) {
        _ = fs::remove_dir_all(&folder);
    } else if fs::rename(&folder, &kept).is_ok() {
        eprintln!("the managers' files and logs are in {}", kept.display());
    }
    played
}

/// Folders of rehearsals that run, by process; those that are to be kept are named otherwise.
const RUNNING: &str = "ottersail-rehearsal-";

/// Takes away what rehearsals have left that were killed outright; their managers ended with them.
fn sweep() {
    for it in fs::read_dir(std::env::temp_dir()).into_iter().flatten().flatten() {
        let name = it.file_name().into_string().unwrap_or_default();
        let left = name.strip_prefix(RUNNING).and_then(|it| it.parse::<u32>().ok());
        if left.is_some_and(|pid| !Path::new(&format!("/proc/{pid}")).exists()) {
            _ = fs::remove_dir_all(it.path());
        }
    }
}

/// Set once this process is told to end: then nothing of the day may be left behind.
fn watch_signals() -> Result<Arc<AtomicBool>, String> {
    let signals = Signals::new([async_signal::Signal::Term, async_signal::Signal::Int]);
    let mut signals = signals.map_err(|it| format!("signals can't be taken: {it}"))?;
    let told = Arc::new(AtomicBool::new(false));
    let tells = told.clone();
    std::thread::spawn(move || {
        block_on(async {
            if signals.next().await.is_some() {
                tells.store(true, Ordering::Release);
            }
        });
    });
    Ok(told)
}

/// What is missing on this machine for that day, in one line.
fn bears(plan: &Plan) -> Result<(), String> {
    let (managers, servers) = (plan.day.managers as u64, plan.day.servers as u64);
    let files = managers * FILES_A_MANAGER + servers * FILES_A_SERVER + FILES_BESIDE;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_none_or(|it| it >= files) {
        return Ok(());
    }
    if maximum.is_some_and(|it| it < files) {
        let most = maximum.unwrap_or(0);
        return Err(format!(
            "needs {files} open files, and this machine allows {most}: raise the limit (ulimit -Hn)"
        ));
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(files), maximum })
        .map_err(|it| format!("needs {files} open files: {it}"))
}

fn play(plan: &Plan, asked: &Rehearsal, folder: &Path, interrupted: &AtomicBool) -> Result<Verdict, String> {
    let tell = |it: std::io::Error| it.to_string();
    let clock = Clock::start();
    let traffic = asked.traffic.clone().unwrap_or_else(|| folder.join("traffic.jsonl"));
    let recorder = Recorder::begin(&traffic, clock, plan.judged()).map_err(tell)?;
    let secret = |_| format!("{:032x}", fastrand::u128(..));
    let keys_text = format!("b {}{}\na {}{}\n", secret(0), "AA", secret(1), "AA");
    let keys = Keys::read(&keys_text)?;
    fs::write(folder.join("keys"), &keys_text).map_err(tell)?;
    let (go, going) = async_channel::bounded(1);
    let fleet = run_fleet(&plan.day, &recorder, &keys, going)?;

    let stall = plan.day.faults.iter().find(|it| it.kind == FaultKind::CoreStall);
    let stage = Stage {
        folder: folder.to_path_buf(),
        program: std::env::current_exe().map_err(tell)?,
        recording: asked.record.is_some(),
        log: asked.log.clone(),
        seed: plan.day.seed,
        beside: asked.beside.clone(),
        pick: plan.pick,
        one_seed: plan.one_seed,
        stall: stall.map(|it| (asked.cores - 1, (it.size * 1e3) as u64)),
    };
    let zones: Vec<String> =
        (0..plan.day.managers).map(|it| plan.day.zones[it % plan.day.zones.len()].clone()).collect();
    let mut managers = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let address = own_address(number).map_err(tell)?;
        let mut terms = plan.terms.clone();
        terms.me = ManagerIx(number as u64);
        terms.zone = zone.as_str().into();
        if plan.day.probes(number) {
            (terms.reports_on_probe, terms.reports_every) = (true, Ms(0.0));
        }
        let post = Post {
            listen: &address.to_string(),
            list: &fleet.lists[number].to_string(),
            keys: "keys",
            grace: plan.grace,
            list_wait: Ms(2_000.0),
            silence: Ms(3_000.0),
            cores: asked.cores,
        };
        fs::write(folder.join(format!("manager-{number}.ini")), write_manager(&terms, &post))
            .map_err(tell)?;
        let child = stage.start(number, 0).map_err(tell)?;
        managers.push(Manager { number, address, child, lives: 1, unclean: None });
    }
    let played = managers.iter().try_for_each(|it| wait_ready(it.address, START, interrupted)).map(|()| {
        managers.iter().for_each(|it| recorder.note(Event::ManagerReady { manager: it.number }));
        rest(plan, &managers, &recorder, interrupted);
        let costs = managers.iter().map(|it| cost(it.child.id())).collect::<Vec<_>>();
        let began = clock.now() + 200.0;
        _ = go.send_blocking(began);
        let crowd = Crowd {
            day: plan.day.clone(),
            recorder: recorder.clone(),
            managers: managers.iter().map(|it| it.address).collect(),
            zones,
            sockets: [vec![fleet.list], fleet.servers.clone()].concat(),
            behind: fleet.behind.clone(),
            began,
        };
        let over = Arc::new(AtomicBool::new(false));
        let players = std::thread::spawn({
            let over = over.clone();
            move || {
                run_players(crowd, PLAY_OUT);
                over.store(true, Ordering::Release);
            }
        });
        trouble(plan, &stage, &recorder, clock.instant(began), &mut managers, (&over, interrupted));
        if !interrupted.load(Ordering::Acquire) {
            _ = players.join();
            spent(&managers, &costs, &recorder);
        }
    });
    if interrupted.load(Ordering::Acquire) {
        // Those that are dropped are killed.
        drop(managers);
        return Err("told to end: the day was not played to its end, and its managers are gone".into());
    }
    for it in &mut managers {
        it.child.signal(Signal::CONT);
        it.child.signal(Signal::TERM);
    }
    let unclean =
        managers.iter_mut().filter_map(|it| wait_end(it, ENDS).or(it.unclean.take())).collect::<Vec<_>>();
    fleet.stop();
    recorder.close().map_err(tell)?;
    played?;
    if !unclean.is_empty() {
        return Err(unclean.join("\n"));
    }
    if let Some(record) = &asked.record {
        gather(&stage, &managers, record).map_err(tell)?;
        fs::write(format!("{}.keys", record.display()), &keys_text).map_err(tell)?;
    }
    let (terms, lines) = record::read(BufReader::new(File::open(&traffic).map_err(tell)?))?;
    let verdict = judge(&terms, &lines);
    if let Some(folder) = &asked.report {
        write_report(folder, &terms, &lines, &verdict)?;
    }
    Ok(verdict)
}

/// Nobody comes for a while, and what the managers take meanwhile is written down.
fn rest(plan: &Plan, managers: &[Manager], recorder: &Recorder, interrupted: &AtomicBool) {
    if plan.rest.0 <= 0.0 {
        return;
    }
    // What starting took is not rest.
    pause(Duration::from_secs(1), interrupted);
    let all = || managers.iter().filter_map(|it| cost(it.child.id())).collect::<Vec<Cost>>();
    let (before, began) = (all(), Instant::now());
    pause(Duration::from_secs_f64(plan.rest.0 / 1e3), interrupted);
    let (after, seconds) = (all(), began.elapsed().as_secs_f64());
    let mean = |of: &dyn Fn(&Cost) -> f64, all: &[Cost]| all.iter().map(of).sum::<f64>() / all.len() as f64;
    let more = |of: &dyn Fn(&Cost) -> f64| (mean(of, &after) - mean(of, &before)) / seconds;
    recorder.note(Event::Rested {
        managers: after.len(),
        memory_kb: mean(&|it| it.memory_kb, &after),
        wakes: more(&|it| it.wakes),
        cpu: more(&|it| it.cpu),
    });
}

/// Processor time that the managers have taken over the day; of those that were started again, the last life only.
fn spent(managers: &[Manager], before: &[Option<Cost>], recorder: &Recorder) {
    let mut cpu = 0.0;
    for (it, before) in managers.iter().zip(before) {
        let now = cost(it.child.id()).map_or(0.0, |it| it.cpu);
        cpu += now - before.filter(|_| it.lives == 1).map_or(0.0, |it| it.cpu);
    }
    recorder.note(Event::Spent { cpu });
}

fn pause(span: Duration, interrupted: &AtomicBool) {
    let until = Instant::now() + span;
    while Instant::now() < until && !interrupted.load(Ordering::Acquire) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl Stage {
    fn start(&self, number: usize, life: usize) -> std::io::Result<Process> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("manager-{number}.log")))?;
        let other = self.beside.as_ref().filter(|_| number % 2 == 1);
        let mut command = Command::new(other.unwrap_or(&self.program));
        command.arg("run").arg(self.folder.join(format!("manager-{number}.ini")));
        command.args(["--log", &self.log]);
        // Not the same chance for each manager and life.
        let own = if self.one_seed { 0 } else { (number * 1_009 + life * 7_919) as u64 };
        let seed = self.seed.wrapping_mul(1_000_003) + own;
        command.arg("--seed").arg(seed.to_string());
        if let Some((core, ms)) = self.stall {
            command.arg("--stall").arg(format!("{core}:{ms}"));
        }
        if self.recording {
            command.arg("--record").arg(self.tape(number, life));
        }
        if other.is_none() {
            command.arg("--with-parent");
        }
        if let Some((name, _)) = PICKS.iter().find(|it| it.1.is_some() && it.1 == self.pick) {
            command.args(["--pick", name]);
        }
        Process::start(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log))
    }

    fn start_again(&self, it: &mut Manager) {
        match self.start(it.number, it.lives) {
            Ok(child) => (it.child, it.lives) = (child, it.lives + 1),
            Err(trouble) => {
                it.unclean = Some(format!("manager {} did not start again: {trouble}", it.number))
            }
        }
    }

    fn tape(&self, number: usize, life: usize) -> PathBuf {
        self.folder.join(format!("manager-{number}-{life}.tape"))
    }
}

/// Kills and stops managers as the day says, until the players are done.
fn trouble(
    plan: &Plan,
    stage: &Stage,
    recorder: &Recorder,
    began: Instant,
    managers: &mut [Manager],
    (over, interrupted): (&AtomicBool, &AtomicBool),
) {
    let mut steps = steps_of(plan, managers.len());
    let mut returning: Vec<usize> = Vec::new();
    let mut ending: Vec<(usize, Instant)> = Vec::new();
    while !over.load(Ordering::Acquire) && !interrupted.load(Ordering::Acquire) {
        std::thread::sleep(Duration::from_millis(10));
        returning.retain(|it| {
            let ready = is_ready(managers[*it].address);
            if ready {
                recorder.note(Event::ManagerReady { manager: *it });
            }
            !ready
        });
        ending.retain(|(manager, told)| {
            let it = &mut managers[*manager];
            match it.child.ended() {
                Some(status) if !status.success() => {
                    it.unclean = Some(format!("manager {manager} ended with {status} when told to"));
                }
                Some(_) => {}
                None if told.elapsed() < ENDS => return true,
                None => {
                    it.unclean = Some(format!("manager {manager} did not end within {ENDS:?} of SIGTERM"));
                    it.child.kill();
                }
            }
            recorder.note(Event::ManagerEnded { manager: *manager });
            stage.start_again(it);
            returning.push(*manager);
            false
        });
        let second = began.elapsed().as_secs_f64();
        if Instant::now() < began || steps.last().is_none_or(|it| it.second > second) {
            continue;
        }
        let Some(Step { act, manager, name, .. }) = steps.pop() else {
            continue;
        };
        let it = &mut managers[manager];
        match act {
            Act::Kill => {
                recorder.note(Event::ManagerKilled { manager });
                it.child.kill();
            }
            Act::Start => {
                stage.start_again(it);
                returning.push(manager);
            }
            Act::Tell => {
                recorder.note(Event::ManagerTold { manager });
                it.child.signal(Signal::TERM);
                ending.push((manager, Instant::now()));
            }
            Act::Stop => {
                recorder.note(Event::ManagerStopped { manager });
                it.child.signal(Signal::STOP);
            }
            Act::StallCore => {
                recorder.note(Event::CoreStopped { manager });
                it.child.signal(Signal::USR1);
            }
            Act::CoreMoves => recorder.note(Event::CoreContinued { manager }),
            Act::GoOn => {
                it.child.signal(Signal::CONT);
                recorder.note(Event::ManagerContinued { manager });
            }
        }
        let on = matches!(act, Act::Kill | Act::Stop | Act::StallCore);
        recorder.note(Event::Fault { name, on, what: format!("manager {manager}") });
    }
}

enum Act {
    Kill,
    Start,
    Tell,
    Stop,
    GoOn,
    StallCore,
    CoreMoves,
}

struct Step {
    second: f64,
    act: Act,
    manager: usize,
    name: String,
}

/// What is done to managers, the last first.
fn steps_of(plan: &Plan, managers: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    for fault in &plan.day.faults {
        if fault.kind == FaultKind::ManagerRestart {
            let together = ((managers as f64 * fault.part).round() as usize).clamp(1, managers);
            let gap = (fault.end - fault.start) / managers.div_ceil(together) as f64;
            for manager in 0..managers {
                let second = fault.start + gap * (manager / together) as f64;
                steps.push(Step { second, act: Act::Tell, manager, name: fault.name.clone() });
            }
            continue;
        }
        let count = ((managers as f64 * fault.part).round() as usize).clamp(1, managers);
        let gap = (fault.end - fault.start) / count as f64;
        for (ix, manager) in (0..managers).rev().take(count).enumerate() {
            let Fault { start, end, size, .. } = *fault;
            let late = start + gap * ix as f64;
            let (from, to, first, then) = match fault.kind {
                FaultKind::ManagerKill => (start, end, Act::Kill, Act::Start),
                FaultKind::ManagerRoll => (late, late + size, Act::Kill, Act::Start),
                FaultKind::ManagerStall => (start, end, Act::Stop, Act::GoOn),
                FaultKind::CoreStall => {
                    let name = fault.name.clone();
                    steps.push(Step { second: start, act: Act::StallCore, manager, name: name.clone() });
                    steps.push(Step { second: start + size, act: Act::CoreMoves, manager, name });
                    continue;
                }
                _ => continue,
            };
            let name = &fault.name;
            steps.push(Step { second: from, act: first, manager, name: name.clone() });
            steps.push(Step { second: to, act: then, manager, name: name.clone() });
        }
    }
    steps.sort_by(|a, b| b.second.total_cmp(&a.second));
    steps
}

/// Waits for a manager to end by itself; what is wrong if it does not, or not well.
fn wait_end(it: &mut Manager, patience: Duration) -> Option<String> {
    match it.child.wait(patience) {
        Some(status) if status.success() => None,
        Some(status) => Some(format!("manager {} ended with {status}", it.number)),
        None => {
            it.child.kill();
            Some(format!("manager {} did not end within {patience:?} of SIGTERM", it.number))
        }
    }
}

/// Each manager has an address of its own in 127.0.0.0/8, and a port there that nobody holds just now; rehearsals at the
/// same time mostly lie in other networks.
fn own_address(number: usize) -> std::io::Result<SocketAddr> {
    let [network, high, low] = [std::process::id() % 200 + 16, number as u32 / 250, number as u32 % 250 + 1];
    let address = Ipv4Addr::new(127, network as u8, high as u8, low as u8);
    TcpListener::bind((address, 0))?.local_addr()
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(100))?;
        stream.set_read_timeout(Some(Duration::from_millis(200)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: manager\r\nconnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b"200"))
    };
    ask().unwrap_or(false)
}

fn wait_ready(address: SocketAddr, patience: Duration, interrupted: &AtomicBool) -> Result<(), String> {
    let began = Instant::now();
    while began.elapsed() < patience && !interrupted.load(Ordering::Acquire) {
        if is_ready(address) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!("the manager at {address} was not ready within {patience:?}; its log tells why"))
}

/// Puts the records of all managers and lives into one file, one after the other.
fn gather(stage: &Stage, managers: &[Manager], to: &Path) -> std::io::Result<()> {
    let mut out = File::create(to)?;
    for it in managers {
        for life in 0..it.lives {
            let mut text = fs::read(stage.tape(it.number, life))?;
            if text.last().is_some_and(|it| *it != b'\n') {
                text.push(b'\n');
            }
            out.write_all(&text)?;
        }
    }
    out.flush()
}
