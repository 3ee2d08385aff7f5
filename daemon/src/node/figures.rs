//! Regular log lines with the manager's counters.

use super::hub::Hub;
use ottersail_net::Timer;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the counters as long as the program runs.
pub(crate) async fn log_regularly(hub: Rc<Hub>) {
    loop {
        Timer::after(LOG_INTERVAL).await;
        log(&hub);
    }
}

/// Logs one line: counts since the start, current state, and the longest turn and the largest timer delay
/// since the last line, in milliseconds.
pub(crate) fn log(hub: &Hub) {
    let node = hub.node.borrow();
    let connections = node.server_connections();
    let (connections, unwatched) = (connections.open, connections.unwatched_servers);
    let (longest_turn_ms, latest_timer_ms) =
        (hub.turn_times.longest_ms.take(), hub.turn_times.max_timer_delay_ms.take());
    let (open, playing) = (node.open_set_ups(), node.playing_sessions());
    info!(open, playing, connections, unwatched, longest_turn_ms, latest_timer_ms, counters = %node.counters(), "figures");
}
