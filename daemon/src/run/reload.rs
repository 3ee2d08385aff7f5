//! Applies changed settings while the manager runs, on SIGHUP.

use super::{front_settings, load_member_keys, load_settings, releases, LoadedSettings, RunningManager};
use crate::settings::manager::ManagerSettings;
use std::path::Path;
use std::sync::Arc;
use tracing::{error, info, warn};

/// Reads the settings again and applies what can change while the manager runs. If the file is invalid,
/// nothing changes.
pub(super) fn reload(path: &Path, manager: &ManagerSettings, running: &RunningManager) {
    match load_settings(path) {
        Err(error) => {
            for problem in error.to_string().lines() {
                error!(problem, "the settings were not taken over");
            }
        }
        Ok(LoadedSettings { manager: next, keys, .. }) => {
            let same_terms = format!("{:?}", next.terms) == format!("{:?}", manager.terms);
            let same_sections =
                next.members.is_some() == manager.members.is_some() && next.releases == manager.releases;
            if !same_terms || !same_sections || next.listen != manager.listen || next.cores != manager.cores {
                warn!(
                    "cores, ladder, rules, packages, tenants, list, members, releases and addresses change \
                     with a restart only"
                );
            }
            reload_member_keys(&next, running);
            releases::read_orders(&next, &running.owner);
            // The record has signed addresses but no keys, so it could not be replayed with new keys.
            running.owner.end_record();
            running.owner.with_front(|front| front.update_settings(front_settings(&next, keys.clone())));
            running.shared.keys.store(Arc::new(keys));
            info!("settings taken over");
        }
    }
}

/// Replaces the members' keys. All other settings of members change with a restart only.
fn reload_member_keys(next: &ManagerSettings, running: &RunningManager) {
    let (Some(fleet), Some(members)) = (running.owner.fleet.get(), &next.members) else {
        return;
    };
    match load_member_keys(members) {
        Ok(keys) => fleet.rekey(&keys),
        Err(error) => error!(%error, "cannot read the members' keys; keeping the old ones"),
    }
}
