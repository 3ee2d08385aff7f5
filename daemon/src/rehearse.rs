//! `ottersail rehearse`: plays a day on loopback. The managers are separate processes, so that they can be
//! killed and stopped; the servers, the discovery service and the players run in this process.

mod error;
mod file_limit;
mod manager_faults;
mod manager_process;
mod member_network;
mod membership_views;
mod options;
mod play;
mod resource_usage;

use crate::settings::day::load_day;
use async_signal::Signals;
use error::file_error;
pub use error::{RehearseError, UncleanExit};
use file_limit::raise_file_limit;
use futures_lite::StreamExt;
pub use options::RehearsalOptions;
use ottersail_invariants::Verdict;
use ottersail_net::block_on;
use play::play;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Most managers that a rehearsal starts as processes.
const MAX_MANAGERS: usize = 400;

/// Plays a day and judges it.
///
/// # Errors
/// If the day can't be played. A broken rule is not an error; it is part of the verdict.
pub fn rehearse(options: &RehearsalOptions) -> Result<Verdict, RehearseError> {
    let mut plan = load_day(&options.day)?;
    if let Some(seed) = options.seed {
        plan.day.seed = seed;
    }
    if let Some(managers) = options.managers.filter(|managers| *managers > 0) {
        (plan.day.managers, plan.terms.manager_count) = (managers, managers as f64);
    }
    plan.pick = options.pick.unwrap_or(plan.pick);
    plan.one_seed &= options.pick.is_none();
    if plan.day.managers > MAX_MANAGERS {
        return Err(RehearseError::TooManyManagers { day: options.day.clone(), max: MAX_MANAGERS });
    }
    raise_file_limit(&options.day, &plan)?;
    remove_stale_folders();
    let folder = std::env::temp_dir().join(format!("{FOLDER_PREFIX}{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(file_error(&folder))?;
    let interrupted = watch_signals()?;
    let result = play(&plan, options, &folder, &interrupted);
    let holds = result.as_ref().is_ok_and(Verdict::holds);
    let kept = std::env::temp_dir().join(format!("ottersail-kept-{}", std::process::id()));
    if interrupted.load(Ordering::Acquire) || (!options.keep && holds) {
        _ = fs::remove_dir_all(&folder);
    } else if fs::rename(&folder, &kept).is_ok() {
        eprintln!("the managers' files and logs are in {}", kept.display());
    }
    result
}

/// Prefix of the folders of running rehearsals; the process id follows. Folders that are kept get another name.
const FOLDER_PREFIX: &str = "ottersail-rehearsal-";

/// Removes the folders of rehearsals that were killed. Their managers have ended with them.
fn remove_stale_folders() {
    for entry in fs::read_dir(std::env::temp_dir()).into_iter().flatten().flatten() {
        let name = entry.file_name().into_string().unwrap_or_default();
        let owner = name.strip_prefix(FOLDER_PREFIX).and_then(|pid| pid.parse::<u32>().ok());
        if owner.is_some_and(|pid| !Path::new(&format!("/proc/{pid}")).exists()) {
            _ = fs::remove_dir_all(entry.path());
        }
    }
}

/// A flag that is set once this process receives SIGTERM or SIGINT. The rehearsal then ends and removes all of
/// its files.
fn watch_signals() -> Result<Arc<AtomicBool>, RehearseError> {
    let signals = Signals::new([async_signal::Signal::Term, async_signal::Signal::Int]);
    let mut signals = signals.map_err(|cause| RehearseError::Signals { cause })?;
    let interrupted = Arc::new(AtomicBool::new(false));
    let flag = interrupted.clone();
    std::thread::spawn(move || {
        block_on(async {
            if signals.next().await.is_some() {
                flag.store(true, Ordering::Release);
            }
        });
    });
    Ok(interrupted)
}
