//! `ottersail run`: runs one manager until it is told to end.

mod discard_output;
mod process;
mod releases;
mod reload;
mod start;

use crate::error::RunError;
use crate::fleet::{self, Fleet};
use crate::messages::CoreCommand;
use crate::owner::{EventRecorder, PlacementOwner};
use crate::settings::load;
use crate::settings::manager::{parse_manager, ManagerSettings};
use crate::settings::members::Members;
use async_signal::{Signal, Signals};
pub use discard_output::DiscardOutput;
use futures_lite::StreamExt;
use ottersail_front::baseline::{Baseline, Pick};
use ottersail_front::decisions::Decisions;
use ottersail_front::recording::FrontInput;
use ottersail_front::{Front, FrontSettings, Ms, PlacementActions};
use ottersail_membership::InstanceId;
use ottersail_net::{block_on, executor, Clock, Timer};
use ottersail_signed_urls::Keys;
use process::end_with_parent;
pub use process::raise_open_file_limit;
use reload::reload;
use serde_json::json;
pub use start::{start, RunningManager};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, info, warn};

/// A drain ends after this time even if a request is stuck. It is longer than any request's patience.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(130);
/// Time for the last answers to be written before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// How often a drain checks whether requests are still waiting.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A manager's settings as read from its files.
pub struct LoadedSettings {
    /// The text of the settings file.
    pub text: String,
    pub manager: ManagerSettings,
    /// The keys that sign playlist addresses.
    pub keys: Keys,
}

/// Reads a settings file and the keys that it names.
///
/// # Errors
/// If one of the files can't be read, or with all problems of the settings.
pub fn load_settings(path: &Path) -> Result<LoadedSettings, RunError> {
    let text = load(path)?;
    let manager = parse_manager(path, &text)?;
    let failed = |cause: String| RunError::Keys { file: manager.keys.clone(), cause };
    let keys = std::fs::read_to_string(&manager.keys).map_err(|error| failed(error.to_string()))?;
    let keys = Keys::read(&keys).map_err(|error| failed(error.to_string()))?;
    manager.members.as_ref().map(load_member_keys).transpose()?;
    fleet::member_terms(&manager, InstanceId(0))?;
    Ok(LoadedSettings { text, manager, keys })
}

/// Reads the keys that members sign their datagrams with.
///
/// # Errors
/// If the file can't be read or has no keys.
pub fn load_member_keys(members: &Members) -> Result<Keys, RunError> {
    let failed = |cause: String| RunError::MemberKeys { file: members.keys.clone(), cause };
    let text = std::fs::read_to_string(&members.keys).map_err(|error| failed(error.to_string()))?;
    Keys::read(&text).map_err(|error| failed(error.to_string()))
}

/// The front's part of a manager's settings.
pub fn front_settings(manager: &ManagerSettings, keys: Keys) -> FrontSettings {
    FrontSettings {
        url: manager.url.clone(),
        keys,
        ticket_lifetime_s: manager.ticket_s,
        max_waiting: manager.most_waiting,
        max_watches: manager.most_watches,
        max_send_delay: manager.links.send_within,
        end_timeout: manager.links.linger,
    }
}

/// The command line options of `ottersail run`.
#[derive(Default)]
pub struct RunOptions {
    /// File that all events are recorded to.
    pub record: Option<PathBuf>,
    /// Seed of the random draws; random if absent.
    pub seed: Option<u64>,
    /// For tests: the core to stall on SIGUSR1.
    pub stall: Option<Stall>,
    /// Whether the process is killed when its parent ends.
    pub with_parent: bool,
    /// A baseline policy in place of the usual decisions, for comparison.
    pub pick: Option<Pick>,
}

/// For tests: blocks a core's thread.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Index of the core.
    pub core: usize,
    /// How long its thread is blocked, in milliseconds.
    pub ms: u64,
}

/// Why a manager ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// It received SIGTERM or SIGINT.
    Signal,
    /// It used a permit of a release, and is to be started again with the version that the file `next` names.
    Release,
}

/// Runs a manager. Returns after SIGTERM, SIGINT or a release, once all accepted requests are answered.
///
/// # Errors
/// If the manager can't be started, or can't write the version to start next.
pub fn run(path: PathBuf, options: RunOptions) -> Result<ExitReason, RunError> {
    let RunOptions { record, seed, stall, with_parent, pick } = options;
    if with_parent {
        end_with_parent()?;
    }
    let LoadedSettings { text, manager, keys } = load_settings(&path)?;
    let clock = Clock::start();
    let seed = seed.unwrap_or_else(|| fastrand::u64(..));
    let now = Ms(clock.now());
    let (terms, settings) = (manager.terms.clone(), front_settings(&manager, keys.clone()));
    let front = match pick {
        None => Front::new(now, seed, terms, settings, &mut DiscardOutput),
        Some(pick) => {
            warn!(?pick, "using a baseline policy, for comparison: of all rules it keeps only floors");
            let baseline = move |terms, _: &mut dyn PlacementActions| -> Box<dyn Decisions> {
                Box::new(Baseline::new(terms, pick, seed))
            };
            Front::with_decisions(now, terms, settings, &mut DiscardOutput, baseline)
        }
    };
    let header =
        json!({ "begins": now.0, "seed": seed, "file": path.display().to_string(), "settings": text });
    let create_record = |file: PathBuf| {
        EventRecorder::create(&file, &header).map_err(|cause| RunError::Record { file, cause })
    };
    let recorder = record.map(create_record).transpose()?;
    raise_open_file_limit(manager.connections);
    let exec = executor();
    let running = start(exec, clock, &manager, keys, front, recorder)?;
    let owner = running.owner.clone();
    if let Some(fleet) = Fleet::start(exec, seed, &manager, &owner)? {
        _ = owner.fleet.set(fleet);
        releases::read_orders(&manager, &owner);
    }
    let (listen, cores) = (&manager.listen, manager.cores);
    info!(listen, cores, managers = manager.terms.manager_count, number = manager.terms.manager.0, "running");

    block_on(exec.run(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])
            .map_err(|cause| RunError::Signals { cause })?;
        let mut wait_for_signal = async || {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Hup) => reload(&path, &manager, &running),
                    Ok(Signal::Usr1) => stall_core(&running, stall),
                    Ok(_) => break,
                    Err(error) => warn!(%error, "cannot receive a signal"),
                }
            }
            None
        };
        let next_version =
            futures_lite::future::or(wait_for_signal(), releases::wait_for_permit(&owner)).await;
        if let (Some(_), Some(releases)) = (&next_version, &manager.releases) {
            let viewings_ended = releases::wait_for_viewings(&owner, releases.play_out);
            futures_lite::future::or(wait_for_signal(), viewings_ended).await;
        }
        drain(&owner).await;
        info!("ended");
        match (next_version, &manager.releases) {
            (Some(version), Some(releases)) => {
                releases::write_next_version(&releases.next, &version).map(|()| ExitReason::Release)
            }
            _ => Ok(ExitReason::Signal),
        }
    }))
}

/// Accepts no more requests, leaves the fleet, and waits until all waiting requests are answered.
async fn drain(owner: &Rc<PlacementOwner>) {
    owner.handle(&FrontInput::Drain);
    // Limited to the time that writing the last answers takes anyway: the drain does not wait for the council.
    let left_fleet = async {
        if let Some(fleet) = owner.fleet.get() {
            fleet.leave(FLUSH_TIME).await;
        }
    };
    let requests_answered = async {
        while owner.with_front(|front| front.waiting_requests()) > 0 {
            Timer::after(DRAIN_CHECK_INTERVAL).await;
        }
        Timer::after(FLUSH_TIME).await;
    };
    futures_lite::future::or(
        async {
            futures_lite::future::zip(left_fleet, requests_answered).await;
        },
        async {
            Timer::after(DRAIN_TIMEOUT).await;
            error!("drain timed out with unanswered requests");
        },
    )
    .await;
}

/// For tests: blocks a core's thread for the time given on the command line.
fn stall_core(running: &RunningManager, stall: Option<Stall>) {
    match stall {
        Some(Stall { core, ms }) if core < running.shared.cores.len() => {
            warn!(core, ms, "stalling a core, as asked on the command line");
            _ = running.shared.cores[core].commands.push(CoreCommand::Stall { ms });
        }
        _ => warn!("SIGUSR1 does nothing without --stall CORE:MS"),
    }
}
