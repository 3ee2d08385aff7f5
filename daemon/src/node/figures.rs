//! What the manager counts, in its log.

use super::hub::Hub;
use ottersail_net::Timer;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

const EVERY: Duration = Duration::from_secs(10);

/// Logs the figures as long as the program runs.
pub(crate) async fn log_regularly(hub: Rc<Hub>) {
    loop {
        Timer::after(EVERY).await;
        log(&hub);
    }
}

/// One line with counts since the start, what is held now, and the longest turn and lateness since the last
/// line, in milliseconds.
pub(crate) fn log(hub: &Hub) {
    let node = hub.node.borrow();
    let (connections, unwatched) = node.server_connections();
    let (longest_turn_ms, latest_timer_ms) = (hub.turns.longest.take(), hub.turns.latest.take());
    let (open, playing) = (node.open_set_ups(), node.playing_sessions());
    info!(open, playing, connections, unwatched, longest_turn_ms, latest_timer_ms, counters = %node.counters(), "figures");
}
