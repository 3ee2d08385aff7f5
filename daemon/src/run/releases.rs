//! Releases: passes the orders' file on to the council, and lets the manager exit when the fleet permits it.

use crate::error::RunError;
use crate::owner::PlacementOwner;
use crate::settings::manager::ManagerSettings;
use crate::settings::orders::load_orders;
use ottersail_front::Ms;
use ottersail_net::Timer;
use ottersail_rollout::Name;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::error;

/// How often it is checked whether viewings still play.
const VIEWINGS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Reads the orders' file, if this manager has one, and proposes its release order to the council. If the file
/// is invalid, nothing changes and the manager keeps running.
pub(super) fn read_orders(manager: &ManagerSettings, owner: &Rc<PlacementOwner>) {
    let file = manager.releases.as_ref().and_then(|releases| releases.orders.as_ref());
    let (Some(file), Some(fleet)) = (file, owner.fleet.get()) else { return };
    match load_orders(file) {
        Ok(orders) => {
            if let Some(order) = orders.release {
                fleet.submit_order(order);
            }
            if orders.drain.is_some() {
                error!(target: "releases", "this version does not carry out [drain]; take it out of the file");
            }
        }
        Err(error) => {
            for problem in error.to_string().lines() {
                error!(target: "releases", problem, "the orders were not taken over");
            }
        }
    }
}

/// Waits for the permit to exit and returns the version to start next. Never returns if this manager has no
/// fleet.
pub(super) async fn wait_for_permit(owner: &Rc<PlacementOwner>) -> Option<Name> {
    match owner.fleet.get() {
        Some(fleet) => fleet.departure().await,
        None => std::future::pending().await,
    }
}

/// Waits until no viewing plays here any more, but at most `limit`.
pub(super) async fn wait_for_viewings(owner: &Rc<PlacementOwner>, limit: Ms) -> Option<Name> {
    let all_ended = async {
        while owner.with_front(|front| front.viewing_count()) > 0 {
            Timer::after(VIEWINGS_CHECK_INTERVAL).await;
        }
    };
    let timeout = Timer::after(Duration::from_secs_f64(limit.0 / 1e3));
    futures_lite::future::or(all_ended, async {
        timeout.await;
    })
    .await;
    None
}

/// Writes the version to start next. The file is replaced atomically, because the supervisor may read it at
/// any time.
pub(super) fn write_next_version(file: &Path, version: &Name) -> Result<(), RunError> {
    let failed = |cause| RunError::WriteNextVersion { file: file.to_path_buf(), cause };
    let temporary = file.with_extension("writing");
    std::fs::write(&temporary, format!("{version}\n")).map_err(failed)?;
    std::fs::rename(&temporary, file).map_err(failed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_next_version_is_written_and_a_missing_folder_is_reported() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("next");
        let version = Name::new("2.0").unwrap();
        write_next_version(&file, &version).unwrap();
        assert_eq!(std::fs::read_to_string(&file).unwrap(), "2.0\n");
        let error = write_next_version(&folder.path().join("none/next"), &version).unwrap_err().to_string();
        assert!(error.contains("none/next"), "{error}");
    }
}
