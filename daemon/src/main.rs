//! The `ottersail` program: a session manager, and tools that check, rehearse, replay and judge it.

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
struct CommandLine {
    /// Log level, or a filter such as info,ottersail_front=debug. The default is info for managers and warn
    /// for other commands.
    #[arg(long, global = true)]
    log: Option<String>,
    /// Log as JSON, one object per line.
    #[arg(long, global = true)]
    log_json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a manager until SIGTERM; SIGHUP reads its settings again.
    Run {
        settings: PathBuf,
        /// Record all events, for `replay`.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Seed of the random draws.
        #[arg(long)]
        seed: Option<u64>,
        /// For tests: block that core's thread for so many milliseconds on SIGUSR1, CORE:MS.
        #[arg(long, hide = true, value_parser = parse_stall)]
        stall: Option<run::Stall>,
        /// For rehearsals: end when the parent process ends, even if that is killed.
        #[arg(long, hide = true)]
        with_parent: bool,
        /// For comparison: use a baseline policy in place of the usual decisions.
        #[arg(long, hide = true, value_parser = parse_pick, default_value = "own")]
        pick: PickChoice,
    },
    /// Run a manager of the live platform until SIGTERM, with the configuration file that BALANCER_CONFIG
    /// names.
    Node,
    /// Read a manager's settings and the orders' file that they name, a day's settings, or an orders' file,
    /// and print all problems.
    Check { settings: PathBuf },
    /// Play a day on loopback with managers, servers, players and faults, and judge it. The exit code is 0 if
    /// all rules hold.
    Rehearse {
        day: PathBuf,
        /// Record the events and commands of each manager, for `replay`.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Record the traffic on all sockets, for `judge`.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// Seed, in place of the day's.
        #[arg(long)]
        seed: Option<u64>,
        /// Cores of each manager.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
        cores: u8,
        /// Keep the managers' files and logs.
        #[arg(long)]
        keep: bool,
        /// For comparison: managers use a baseline policy (random, least-loaded), in place of the day's.
        #[arg(long, value_parser = parse_pick)]
        pick: Option<PickChoice>,
        /// For comparison: number of managers, in place of the day's.
        #[arg(long)]
        managers: Option<u16>,
        /// Another version of this program, for every second manager.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// Write the figures as JSON and as a page with plots into this folder.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Replay a record with a fake clock, and compare what the library asks for with what is recorded.
    Replay {
        record: PathBuf,
        /// The keys at the time of the record. The default is RECORD.keys if that exists, else the file that
        /// the recorded settings name.
        #[arg(long)]
        keys: Option<PathBuf>,
    },
    /// Judge the rules by a record of the traffic on all sockets.
    Judge {
        traffic: PathBuf,
        /// Write the figures as JSON and as a page with plots into this folder.
        #[arg(long)]
        report: Option<PathBuf>,
    },
}

/// Exit code of a manager that used a release's permit. Its supervisor then starts the version that
/// `[releases] next` names.
const EXIT_RELEASED: u8 = 3;
/// Exit code for settings or arguments that are invalid, and for commands that fail.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let is_manager = matches!(command_line.command, Command::Run { .. } | Command::Node);
    let default_log = if is_manager { "info" } else { "warn" };
    let log = command_line.log.clone().unwrap_or_else(|| default_log.to_string());
    let filter = match EnvFilter::try_new(&log) {
        Ok(filter) => filter,
        Err(error) => return fail(&ArgumentError::Log { value: log, cause: error.to_string() }),
    };
    let subscriber =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    if command_line.log_json {
        subscriber.json().init();
    } else {
        subscriber.with_ansi(false).init();
    }
    match command_line.command {
        Command::Run { settings, record, seed, stall, with_parent, pick } => {
            let options = run::RunOptions { record, seed, stall, with_parent, pick: pick.0 };
            match run::run(settings, options) {
                Ok(run::ExitReason::Signal) => ExitCode::SUCCESS,
                Ok(run::ExitReason::Release) => ExitCode::from(EXIT_RELEASED),
                Err(error) => fail(&error),
            }
        }
        Command::Node => {
            let Some(path) = std::env::var_os("BALANCER_CONFIG").filter(|path| !path.is_empty()) else {
                return fail(&NodeError::ConfigNotSet);
            };
            match node::run(path.into()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => fail(&error),
            }
        }
        Command::Check { settings } => match check(&settings) {
            Ok(description) => {
                println!("{}: {description}", settings.display());
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error),
        },
        Command::Rehearse { day, record, traffic, seed, cores, keep, pick, managers, beside, report } => {
            let options = rehearse::RehearsalOptions {
                day,
                record,
                traffic,
                seed,
                log: command_line.log.unwrap_or_else(|| "info".to_string()),
                keep,
                cores: usize::from(cores),
                pick: pick.map(|choice| choice.0),
                managers: managers.map(usize::from),
                other_program: beside,
                report,
            };
            match rehearse::rehearse(&options) {
                Ok(verdict) => print_verdict(&verdict),
                Err(error) => fail(&error),
            }
        }
        Command::Replay { record, keys } => match replay::replay(&record, keys) {
            Ok(summary) => {
                println!("{summary}");
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error),
        },
        Command::Judge { traffic, report } => match judge::judge_traffic(&traffic, report.as_deref()) {
            Ok(verdict) => print_verdict(&verdict),
            Err(error) => fail(&error),
        },
    }
}

/// A baseline policy, or `None` for the usual decisions.
#[derive(Clone, Copy)]
struct PickChoice(Option<Pick>);

fn parse_pick(text: &str) -> Result<PickChoice, ArgumentError> {
    let found = PICKS.iter().find(|(name, _)| *name == text).map(|(_, pick)| PickChoice(*pick));
    let choices = || PICKS.iter().map(|(name, _)| *name).collect();
    found.ok_or_else(|| ArgumentError::Pick { value: text.to_string(), choices: choices() })
}

fn parse_stall(text: &str) -> Result<run::Stall, ArgumentError> {
    let stall = text
        .split_once(':')
        .and_then(|(core, ms)| Some(run::Stall { core: core.parse().ok()?, ms: ms.parse().ok()? }));
    stall.ok_or_else(|| ArgumentError::Stall { value: text.to_string() })
}

/// Prints an error, which may have several lines.
fn fail(error: &dyn Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_ERROR)
}

fn print_verdict(verdict: &Verdict) -> ExitCode {
    print!("{}", verdict.table());
    if verdict.holds() {
        println!("\nall rules hold");
        ExitCode::SUCCESS
    } else {
        println!("\nNOT all rules hold");
        ExitCode::FAILURE
    }
}

/// Checks a settings file and returns what kind of file it is. A day's file has the heading `[day]`, an orders'
/// file starts with one of its own headings; anything else is read as a manager's file.
fn check(path: &Path) -> Result<&'static str, RunError> {
    let text = settings::load(path)?;
    if text.lines().any(|line| line.trim() == "[day]") {
        settings::day::parse_day(path, &text)?;
        return Ok("a day that can be rehearsed");
    }
    if settings::orders::is_orders_file(&text) {
        settings::orders::load_orders(path)?;
        return Ok("orders that a manager can read");
    }
    let loaded = run::load_settings(path)?;
    // A manager starts without the orders' file, because the file may be written later; a check requires it.
    if let Some(orders) = loaded.manager.releases.and_then(|releases| releases.orders) {
        settings::orders::load_orders(&orders)?;
    }
    Ok("settings that a manager can run with")
}
