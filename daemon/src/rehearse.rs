//! `ottersail rehearse`: a day on loopback. The managers are processes of their own, so that they can be
//! killed and stopped as such; servers, list and players run in here.

mod asked;
mod beliefs;
mod costs;
mod error;
mod files;
mod gossip;
mod play;
mod stage;
mod steps;

use crate::settings::day::load_day;
pub use asked::Rehearsal;
use async_signal::Signals;
use error::at;
pub use error::{RehearseError, UncleanExit};
use files::bears;
use futures_lite::StreamExt;
use ottersail_invariants::Verdict;
use ottersail_net::block_on;
use play::play;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Managers that a rehearsal starts as processes.
const MOST_MANAGERS: usize = 400;

/// Plays a day and judges it.
///
/// # Errors
/// What kept it from being played; a broken rule is no error but a verdict.
pub fn rehearse(asked: &Rehearsal) -> Result<Verdict, RehearseError> {
    let mut plan = load_day(&asked.day)?;
    if let Some(seed) = asked.seed {
        plan.day.seed = seed;
    }
    if let Some(managers) = asked.managers.filter(|it| *it > 0) {
        (plan.day.managers, plan.terms.manager_count) = (managers, managers as f64);
    }
    plan.pick = asked.pick.unwrap_or(plan.pick);
    plan.one_seed &= asked.pick.is_none();
    if plan.day.managers > MOST_MANAGERS {
        return Err(RehearseError::TooManyManagers { day: asked.day.clone(), max: MOST_MANAGERS });
    }
    bears(&asked.day, &plan)?;
    sweep();
    let folder = std::env::temp_dir().join(format!("{RUNNING}{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(at(&folder))?;
    let interrupted = watch_signals()?;
    let played = play(&plan, asked, &folder, &interrupted);
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
fn watch_signals() -> Result<Arc<AtomicBool>, RehearseError> {
    let signals = Signals::new([async_signal::Signal::Term, async_signal::Signal::Int]);
    let mut signals = signals.map_err(|cause| RehearseError::Signals { cause })?;
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
