//! `ottersail run`: one manager, until it is told to end.

mod discard_output;
mod process;
mod release;
mod start;

use crate::error::RunError;
use crate::fleet::{self, Fleet};
use crate::owner::Tape;
use crate::post::Errand;
use crate::settings::load;
use crate::settings::manager::{parse_manager, ManagerSettings};
use crate::settings::members::Members;
use async_signal::{Signal as Heard, Signals};
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
use serde_json::json;
pub use start::{start, Running};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, info, warn};

/// A drain ends by then, should a request be stuck: no patience is longer.
const LONGEST_DRAIN: Duration = Duration::from_secs(130);
/// What was answered last goes out in that time.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Reads a settings file and its keys.
///
/// # Errors
/// If one of them can't be read, or all that is wrong with the settings.
pub fn read(path: &Path) -> Result<(String, ManagerSettings, Keys), RunError> {
    let text = load(path)?;
    let manager = parse_manager(path, &text)?;
    let wrong = |cause: String| RunError::Keys { file: manager.keys.clone(), cause };
    let keys = std::fs::read_to_string(&manager.keys).map_err(|it| wrong(it.to_string()))?;
    let keys = Keys::read(&keys).map_err(|it| wrong(it.to_string()))?;
    manager.members.as_ref().map(load_member_keys).transpose()?;
    fleet::member_terms(&manager, InstanceId(0))?;
    Ok((text, manager, keys))
}

/// The keys that members sign with.
///
/// # Errors
/// If the file can't be read, or holds no keys.
pub fn load_member_keys(members: &Members) -> Result<Keys, RunError> {
    let wrong = |cause: String| RunError::MemberKeys { file: members.keys.clone(), cause };
    let text = std::fs::read_to_string(&members.keys).map_err(|it| wrong(it.to_string()))?;
    Keys::read(&text).map_err(|it| wrong(it.to_string()))
}

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

/// What is asked of a manager on the command line.
#[derive(Default)]
pub struct Asked {
    pub record: Option<PathBuf>,
    pub seed: Option<u64>,
    pub stall: Option<(usize, u64)>,
    pub with_parent: bool,
    pub pick: Option<Pick>,
}

/// Why a manager ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// By a signal.
    Told,
    /// By a permit: to be started again with the version that the file `next` names.
    Released,
}

/// Runs a manager; comes back after SIGTERM or SIGINT, once all that was taken has its answer.
///
/// # Errors
/// What keeps it from starting.
pub fn run(path: PathBuf, asked: Asked) -> Result<Ended, RunError> {
    let Asked { record, seed, stall, with_parent, pick } = asked;
    if with_parent {
        end_with_parent()?;
    }
    let (text, manager, keys) = read(&path)?;
    let clock = Clock::start();
    let seed = seed.unwrap_or_else(|| fastrand::u64(..));
    let now = Ms(clock.now());
    let (terms, home) = (manager.terms.clone(), front_settings(&manager, keys.clone()));
    let front = match pick {
        None => Front::new(now, seed, terms, home, &mut DiscardOutput),
        Some(pick) => {
            warn!(?pick, "picks plainly, for comparison: it keeps no rules but floors");
            let plain = move |terms, _: &mut dyn PlacementActions| -> Box<dyn Decisions> {
                Box::new(Baseline::new(terms, pick, seed))
            };
            Front::with_decisions(now, terms, home, &mut DiscardOutput, plain)
        }
    };
    let header =
        json!({ "begins": now.0, "seed": seed, "file": path.display().to_string(), "settings": text });
    let begin = |file: PathBuf| Tape::begin(&file, &header).map_err(|cause| RunError::Record { file, cause });
    let tape = record.map(begin).transpose()?;
    raise_open_file_limit(manager.connections);
    let exec = executor();
    let running = start(exec, clock, &manager, keys, front, tape)?;
    let owner = running.owner.clone();
    if let Some(fleet) = Fleet::start(exec, seed, &manager, &owner)? {
        _ = owner.fleet.set(fleet);
        release::read_orders(&manager, &owner);
    }
    let (listen, cores) = (&manager.listen, manager.cores);
    info!(listen, cores, managers = manager.terms.manager_count, number = manager.terms.manager.0, "running");

    block_on(exec.run(async {
        let mut signals = Signals::new([Heard::Term, Heard::Int, Heard::Hup, Heard::Usr1])
            .map_err(|cause| RunError::Signals { cause })?;
        let mut told = async || {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Heard::Hup) => reload(&path, &manager, &running),
                    Ok(Heard::Usr1) => stand_still(&running, stall),
                    Ok(_) => break,
                    Err(trouble) => warn!(%trouble, "signal"),
                }
            }
            None
        };
        let released = futures_lite::future::or(told(), release::goes_out(&owner)).await;
        if let (Some(_), Some(it)) = (&released, &manager.releases) {
            futures_lite::future::or(told(), release::play_out(&owner, it.play_out)).await;
        }
        owner.handle(&FrontInput::Drain);
        // Takes no longer than what was answered last takes anyway: nobody waits for the council.
        let left = async {
            if let Some(fleet) = owner.fleet.get() {
                fleet.leave(LAST_WORDS).await;
            }
        };
        let done = async {
            while owner.with_front(|it| it.waiting_requests()) > 0 {
                Timer::after(Duration::from_millis(10)).await;
            }
            // What was answered last still has to go out.
            Timer::after(LAST_WORDS).await;
        };
        futures_lite::future::or(
            async {
                futures_lite::future::zip(left, done).await;
            },
            async {
                Timer::after(LONGEST_DRAIN).await;
                error!("requests were left unanswered at the end of the drain");
            },
        )
        .await;
        info!("ended");
        match (released, &manager.releases) {
            (Some(version), Some(it)) => release::write_next(&it.next, &version).map(|()| Ended::Released),
            _ => Ok(Ended::Told),
        }
    }))
}

/// For tests: a core really stands still.
fn stand_still(running: &Running, stall: Option<(usize, u64)>) {
    match stall {
        Some((core, ms)) if core < running.shared.cores.len() => {
            warn!(core, ms, "standing still, as asked on the command line");
            _ = running.shared.cores[core].errands.put(Errand::StandStill { ms });
        }
        _ => warn!("SIGUSR1 does nothing without --stall CORE:MS"),
    }
}

/// Members' keys follow one another as players' do; all else of them changes with a restart.
fn rekey(next: &ManagerSettings, running: &Running) {
    let (Some(fleet), Some(told)) = (running.owner.fleet.get(), &next.members) else {
        return;
    };
    match load_member_keys(told) {
        Ok(keys) => fleet.rekey(&keys),
        Err(trouble) => error!(%trouble, "the members' keys were not taken over"),
    }
}

/// Takes over what can change while it runs; a file with a mistake changes nothing.
fn reload(path: &Path, manager: &ManagerSettings, running: &Running) {
    match read(path) {
        Err(trouble) => {
            for problem in trouble.to_string().lines() {
                error!(problem, "the settings were not taken over");
            }
        }
        Ok((_, next, keys)) => {
            let same = format!("{:?}", next.terms) == format!("{:?}", manager.terms);
            let others =
                next.members.is_some() == manager.members.is_some() && next.releases == manager.releases;
            if !same || !others || next.listen != manager.listen || next.cores != manager.cores {
                warn!(
                    "cores, ladder, rules, packages, tenants, list, members, releases and addresses change \
                     with a restart only"
                );
            }
            rekey(&next, running);
            // Its keys are not in the record, and what they sign is.
            release::read_orders(&next, &running.owner);
            running.owner.end_tape();
            running.owner.with_front(|it| it.update_settings(front_settings(&next, keys.clone())));
            running.shared.keys.store(Arc::new(keys));
            info!("settings taken over");
        }
    }
}
