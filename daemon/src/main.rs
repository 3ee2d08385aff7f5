//! The session manager as a program.

use clap::{Parser, Subcommand};
use ottersail_daemon::error::{ArgumentError, NodeError, RunError};
use ottersail_daemon::{judge, node, rehearse, replay, run, settings};
use ottersail_front::baseline::{Pick, PICKS};
use ottersail_invariants::Verdict;
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A session front that places video viewings on streaming servers and shapes them.
#[derive(Parser)]
#[command(version, about)]
struct Line {
    /// What is logged: a level, or a filter such as info,ottersail_front=debug. A manager's default is info,
    /// else warn.
    #[arg(long, global = true)]
    log: Option<String>,
    /// Logs as JSON, one object a line.
    #[arg(long, global = true)]
    log_json: bool,
    #[command(subcommand)]
    job: Job,
}

#[derive(Subcommand)]
enum Job {
    /// Runs a manager until SIGTERM; SIGHUP reads its settings again.
    Run {
        settings: PathBuf,
        /// Writes down all that happens, for `replay`.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Chance from a fixed start.
        #[arg(long)]
        seed: Option<u64>,
        /// For tests: on SIGUSR1 that core stands still for so many milliseconds, CORE:MS.
        #[arg(long, hide = true, value_parser = stall)]
        stall: Option<(usize, u64)>,
        /// For days with many processes: ends when the process that started it does, however that ends.
        #[arg(long, hide = true)]
        with_parent: bool,
        /// For comparison: picks plainly, with no other decisions.
        #[arg(long, hide = true, value_parser = pick, default_value = "own")]
        pick: Picked,
    },
    /// Plays a manager on the live platform, as the file says that BALANCER_CONFIG names, until SIGTERM.
    Node,
    /// Reads a manager's settings and the orders' file that they name, a day's settings, or an orders' file,
    /// and tells all that is wrong with them.
    Check { settings: PathBuf },
    /// Plays a day on loopback, managers, servers, players and faults, and judges it. Ends 0 if all rules
    /// hold.
    Rehearse {
        day: PathBuf,
        /// Writes down what each manager was told and wanted, for `replay`.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Writes down what went over the sockets, for `judge`.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// In place of the day's own.
        #[arg(long)]
        seed: Option<u64>,
        /// Cores of each manager.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
        cores: u8,
        /// Keeps the managers' files and logs.
        #[arg(long)]
        keep: bool,
        /// For comparison: managers that pick plainly (random, least-loaded), in place of the day's own.
        #[arg(long, value_parser = pick)]
        pick: Option<Picked>,
        /// For comparison: so many managers, in place of the day's own.
        #[arg(long)]
        managers: Option<u16>,
        /// Another version of this program, for the second half of the managers.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// Writes the figures as JSON and as a page with plots into that folder.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Tells the library on a fake clock what a record says, and compares what it wants.
    Replay {
        record: PathBuf,
        /// The keys of that time; those beside the record, if any, else those of its settings.
        #[arg(long)]
        keys: Option<PathBuf>,
    },
    /// Judges the rules from a record of what went over the sockets.
    Judge {
        traffic: PathBuf,
        /// Writes the figures as JSON and as a page with plots into that folder.
        #[arg(long)]
        report: Option<PathBuf>,
    },
}

/// A manager went out by a permit: whoever supervises it starts the version that `[releases] next` names.
const RELEASED: u8 = 3;

fn main() -> ExitCode {
    let line = Line::parse();
    let quiet = !matches!(line.job, Job::Run { .. } | Job::Node);
    let log = line.log.clone().unwrap_or_else(|| if quiet { "warn" } else { "info" }.to_string());
    let filter = match EnvFilter::try_new(&log) {
        Ok(filter) => filter,
        Err(it) => return add_problem(&ArgumentError::Log { value: log, cause: it.to_string() }),
    };
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    if line.log_json {
        logs.json().init();
    } else {
        logs.with_ansi(false).init();
    }
    match line.job {
        Job::Run { settings, record, seed, stall, with_parent, pick } => {
            let asked = run::Asked { record, seed, stall, with_parent, pick: pick.0 };
            match run::run(settings, asked) {
                Ok(run::Ended::Told) => ExitCode::SUCCESS,
                Ok(run::Ended::Released) => ExitCode::from(RELEASED),
                Err(trouble) => add_problem(&trouble),
            }
        }
        Job::Node => {
            let Some(path) = std::env::var_os("BALANCER_CONFIG").filter(|it| !it.is_empty()) else {
                return add_problem(&NodeError::ConfigNotSet);
            };
            match node::run(path.into()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(trouble) => add_problem(&trouble),
            }
        }
        Job::Check { settings } => match check(&settings) {
            Ok(what) => {
                println!("{}: {what}", settings.display());
                ExitCode::SUCCESS
            }
            Err(trouble) => add_problem(&trouble),
        },
        Job::Rehearse { day, record, traffic, seed, cores, keep, pick, managers, beside, report } => {
            let asked = rehearse::Rehearsal {
                day,
                record,
                traffic,
                seed,
                log: line.log.unwrap_or_else(|| "info".to_string()),
                keep,
                cores: usize::from(cores),
                pick: pick.map(|it| it.0),
                managers: managers.map(usize::from),
                beside,
                report,
            };
            match rehearse::rehearse(&asked) {
                Ok(verdict) => tell(&verdict),
                Err(trouble) => add_problem(&trouble),
            }
        }
        Job::Replay { record, keys } => match replay::replay(&record, keys) {
            Ok(done) => {
                println!("{done}");
                ExitCode::SUCCESS
            }
            Err(trouble) => add_problem(&trouble),
        },
        Job::Judge { traffic, report } => match judge::judge_traffic(&traffic, report.as_deref()) {
            Ok(verdict) => tell(&verdict),
            Err(trouble) => add_problem(&trouble),
        },
    }
}

#[derive(Clone, Copy)]
struct Picked(Option<Pick>);

fn pick(text: &str) -> Result<Picked, ArgumentError> {
    let found = PICKS.iter().find(|it| it.0 == text).map(|it| Picked(it.1));
    let choices = || PICKS.iter().map(|it| it.0).collect();
    found.ok_or_else(|| ArgumentError::Pick { value: text.to_string(), choices: choices() })
}

fn stall(text: &str) -> Result<(usize, u64), ArgumentError> {
    let parts = text.split_once(':').and_then(|(core, ms)| Some((core.parse().ok()?, ms.parse().ok()?)));
    parts.ok_or_else(|| ArgumentError::Stall { value: text.to_string() })
}

/// What is wrong, where, and what can be tried: a line or more.
fn add_problem(trouble: &dyn Display) -> ExitCode {
    eprintln!("{trouble}");
    ExitCode::from(2)
}

fn tell(verdict: &Verdict) -> ExitCode {
    print!("{}", verdict.table());
    if verdict.holds() {
        println!("\nall rules hold");
        ExitCode::SUCCESS
    } else {
        println!("\nNOT all rules hold");
        ExitCode::FAILURE
    }
}

/// A day's file has a `[day]`, an orders' file its kinds of headings; anything else is read as a manager's.
fn check(path: &Path) -> Result<&'static str, RunError> {
    let text = settings::load(path)?;
    if text.lines().any(|it| it.trim() == "[day]") {
        settings::day::parse_day(path, &text)?;
        return Ok("a day that can be rehearsed");
    }
    if settings::orders::are_orders(&text) {
        settings::orders::load_orders(path)?;
        return Ok("orders that a manager can read");
    }
    let (_, manager, _) = run::read(path)?;
    // A manager starts without it, since it may be there later; who checks wants to know.
    if let Some(orders) = manager.releases.and_then(|it| it.orders) {
        settings::orders::load_orders(&orders)?;
    }
    Ok("settings that a manager can run with")
}
