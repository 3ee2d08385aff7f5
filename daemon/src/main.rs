//! The session manager as a program.

use clap::{Parser, Subcommand};
use ottersail_daemon::{node, rehearse, replay, run, settings};
use ottersail_judge::{judge, record, Verdict};
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A session front that places video viewings on streaming servers and shapes them.
#[derive(Parser)]
#[command(version, about)]
struct Line {
    /// What is logged: a level, or a filter such as info,ottersail_front=debug. A manager's default is info, else warn.
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
    },
    /// Plays a manager on the live platform, as the file says that BALANCER_CONFIG names, until SIGTERM.
    Node,
    /// Reads a manager's or a day's settings and tells all that is wrong with them.
    Check { settings: PathBuf },
    /// Plays a day on loopback, managers, servers, players and faults, and judges it. Ends 0 if all rules hold.
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
    },
    /// Tells the library on a fake clock what a record says, and compares what it wants.
    Replay {
        record: PathBuf,
        /// The keys of that time; those beside the record, if any, else those of its settings.
        #[arg(long)]
        keys: Option<PathBuf>,
    },
    /// Judges the rules from a record of what went over the sockets.
    Judge { traffic: PathBuf },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let quiet = !matches!(line.job, Job::Run { .. } | Job::Node);
    let log = line.log.clone().unwrap_or_else(|| if quiet { "warn" } else { "info" }.to_string());
    let filter = match EnvFilter::try_new(&log) {
        Ok(filter) => filter,
        Err(trouble) => return complain(&[format!("--log {log}: {trouble}")]),
    };
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    if line.log_json {
        logs.json().init();
    } else {
        logs.with_ansi(false).init();
    }
    match line.job {
        Job::Run { settings, record, seed, stall } => match run::run(settings, record, seed, stall) {
            Ok(()) => ExitCode::SUCCESS,
            Err(complaints) => complain(&complaints),
        },
        Job::Node => {
            let Some(path) = std::env::var_os("BALANCER_CONFIG").filter(|it| !it.is_empty()) else {
                return complain(&["BALANCER_CONFIG must name the configuration file".to_string()]);
            };
            match node::run(path.into()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(complaints) => complain(&complaints),
            }
        }
        Job::Check { settings } => match check(&settings) {
            Ok(what) => {
                println!("{}: {what}", settings.display());
                ExitCode::SUCCESS
            }
            Err(complaints) => complain(&complaints),
        },
        Job::Rehearse { day, record, traffic, seed, cores, keep } => {
            let cores = usize::from(cores);
            let log = line.log.unwrap_or_else(|| "info".to_string());
            let asked = rehearse::Rehearsal { day, record, traffic, seed, log, keep, cores };
            match rehearse::rehearse(&asked) {
                Ok(verdict) => tell(&verdict),
                Err(complaints) => complain(&complaints),
            }
        }
        Job::Replay { record, keys } => match replay::replay(&record, keys) {
            Ok(done) => {
                println!("{done}");
                ExitCode::SUCCESS
            }
            Err(trouble) => complain(&[trouble]),
        },
        Job::Judge { traffic } => {
            let file = File::open(&traffic).map_err(|it| it.to_string());
            match file.and_then(|it| record::read(BufReader::new(it))) {
                Ok((terms, lines)) => tell(&judge(&terms, &lines)),
                Err(trouble) => complain(&[format!("{}: {trouble}", traffic.display())]),
            }
        }
    }
}

fn stall(text: &str) -> Result<(usize, u64), String> {
    let parts = text.split_once(':').and_then(|(core, ms)| Some((core.parse().ok()?, ms.parse().ok()?)));
    parts.ok_or_else(|| "expected CORE:MS".to_string())
}

fn complain(complaints: &[String]) -> ExitCode {
    for complaint in complaints {
        eprintln!("{complaint}");
    }
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

/// A day's file has a `[day]`; anything else is read as a manager's.
fn check(path: &Path) -> Result<&'static str, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|it| vec![format!("{}: {it}", path.display())])?;
    if text.lines().any(|it| it.trim() == "[day]") {
        return settings::day::read_day(path, &text).map(|_| "a day that can be rehearsed");
    }
    run::read(path).map(|_| "settings that a manager can run with")
}
