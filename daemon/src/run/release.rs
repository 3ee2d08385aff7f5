//! A manager that goes out by a permit of the fleet: lets play what it holds, and names what to come back with.

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

const LOOK: Duration = Duration::from_millis(20);

/// Reads the orders' file, if this manager is given one, and puts its order before the council. One with a mistake
/// changes nothing, and this manager goes on.
pub(super) fn read_orders(manager: &ManagerSettings, owner: &Rc<PlacementOwner>) {
    let file = manager.releases.as_ref().and_then(|it| it.orders.as_ref());
    let (Some(file), Some(fleet)) = (file, owner.fleet.get()) else { return };
    match load_orders(file) {
        Ok(orders) => {
            if let Some(order) = orders.release {
                fleet.submit_order(order);
            }
            if orders.drain.is_some() {
                error!(target: "releases", "[drain] is not carried out by this version; take it out of the file");
            }
        }
        Err(trouble) => {
            for problem in trouble.to_string().lines() {
                error!(target: "releases", problem, "the orders were not taken over");
            }
        }
    }
}

/// Comes back with the version once a permit is used; never without releases.
pub(super) async fn goes_out(owner: &Rc<PlacementOwner>) -> Option<Name> {
    match owner.fleet.get() {
        Some(fleet) => fleet.departure().await,
        None => std::future::pending().await,
    }
}

/// Waits until nothing plays here any more, but no longer than told.
pub(super) async fn play_out(owner: &Rc<PlacementOwner>, most: Ms) -> Option<Name> {
    let over = async {
        while owner.with_front(|it| it.viewing_count()) > 0 {
            Timer::after(LOOK).await;
        }
    };
    let most = Timer::after(Duration::from_secs_f64(most.0 / 1e3));
    futures_lite::future::or(over, async {
        most.await;
    })
    .await;
    None
}

/// Whole or not at all: whoever starts this manager again may look at any time.
pub(super) fn write_next(file: &Path, version: &Name) -> Result<(), RunError> {
    let wrong = |cause| RunError::WriteNextVersion { file: file.to_path_buf(), cause };
    let beside = file.with_extension("writing");
    std::fs::write(&beside, format!("{version}\n")).map_err(wrong)?;
    std::fs::rename(&beside, file).map_err(wrong)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_next_version_is_written_and_a_folder_that_is_not_there_is_told() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("next");
        let version = Name::new("2.0").unwrap();
        write_next(&file, &version).unwrap();
        assert_eq!(std::fs::read_to_string(&file).unwrap(), "2.0\n");
        let told = write_next(&folder.path().join("none/next"), &version).unwrap_err().to_string();
        assert!(told.contains("none/next"), "{told}");
    }
}
