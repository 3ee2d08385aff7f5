//! Graceful shutdown, from SIGTERM to the end of the program.

use super::figures;
use super::hub::Hub;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use ottersail::time::Ms;
use ottersail_net::Timer;
use std::time::Duration;
use tracing::{info, warn};

/// Minimum time for which new requests are still accepted: clients learn late that this manager shuts down.
const MIN_ACCEPT_TIME: Ms = Ms(800.0);
/// Upper limit of the longest patience when the shutdown time is computed.
const MAX_PATIENCE: Ms = Ms(3_000.0);
/// Open requests are answered this long after the longest patience; SIGKILL may come 0.7 s after it.
const TIME_PAST_PATIENCE: Ms = Ms(500.0);
/// Time in which clients that read slowly can take the last answers and releases. SIGKILL may come earlier;
/// an earlier end would lose the same.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(1_000);
/// Sessions at servers without a connection are released from this time before the end on.
const RELEASE_PERIOD: Ms = Ms(1_000.0);
/// Time for a last try of servers that could not be reached: some may be back.
const SILENT_SERVER_TIME: Ms = Ms(150.0);
/// Interval of the checks while open requests are still served.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the checks while the remaining output is written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Keeps serving until all open requests have their answers or the time is over, then answers and releases
/// the rest and waits until that is written. Reloads still take effect, since a new channel may report a
/// drain. A second SIGTERM has no effect.
pub(super) async fn shut_down(hub: &Hub, signals: &mut Signals, longest_patience: Ms, reload: impl Fn()) {
    info!("received a signal: told to end");
    let reloads = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(),
                Ok(_) => info!("already shutting down"),
                Err(error) => warn!(%error, "cannot receive signals"),
            }
        }
        std::future::pending().await
    };
    let shutdown = async {
        serve_open_requests(hub, longest_patience).await;
        hub.with_node(|node, now, sockets| node.shut_down(now, sockets));
        flush(hub).await;
    };
    futures_lite::future::or(shutdown, reloads).await;
    figures::log(hub);
    info!("shutdown is complete");
}

/// Waits until nothing is open and the minimum time has passed, or the time is over.
async fn serve_open_requests(hub: &Hub, longest_patience: Ms) {
    let started_at = hub.now();
    let max_time = (longest_patience.min(MAX_PATIENCE) + TIME_PAST_PATIENCE).max(MIN_ACCEPT_TIME);
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let elapsed = hub.now() - started_at;
        let idle = hub.node.borrow().open_set_ups() == 0 && hub.node.borrow().playing_sessions() == 0;
        if elapsed >= max_time || (elapsed >= MIN_ACCEPT_TIME && idle) {
            return;
        }
        release_unwatched(hub, max_time - elapsed);
    }
}

/// During the last second, releases sessions at servers to which a connection has to be opened first, spread
/// over the remaining checks.
fn release_unwatched(hub: &Hub, time_left: Ms) {
    let unwatched = hub.node.borrow().server_connections().unwatched_servers;
    if time_left > RELEASE_PERIOD || unwatched == 0 {
        return;
    }
    let checks_left = (time_left.0 / CHECK_INTERVAL.as_secs_f64() / 1e3).floor() as usize;
    let servers = unwatched.div_ceil(checks_left.max(1));
    hub.with_node(|node, now, sockets| node.release_unwatched(now, servers, sockets));
}

/// Waits until all output is written or slow readers have had their time. Releases may wait for connections
/// to their servers.
async fn flush(hub: &Hub) {
    let started_at = hub.now();
    let is_pending = || {
        let tries_silent = hub.now() - started_at < SILENT_SERVER_TIME;
        let node = hub.node.borrow();
        node.has_pending_releases() || (tries_silent && node.has_releases_connecting())
    };
    let written = async {
        while !hub.sockets.borrow().all_written() || is_pending() {
            Timer::after(FLUSH_CHECK_INTERVAL).await;
            hub.with_node(|node, now, sockets| node.send_pending_releases(now, sockets));
        }
    };
    // The tasks write in their own turns: an immediate check would come before they have started to write.
    Timer::after(FLUSH_CHECK_INTERVAL).await;
    let timeout = async {
        Timer::after(MAX_FLUSH_TIME).await;
    };
    futures_lite::future::or(written, timeout).await;
}
