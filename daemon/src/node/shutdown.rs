//! Graceful shutdown, from SIGTERM to the end of the program.

use super::figures;
use super::hub::Hub;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use ottersail::time::Ms;
use ottersail_net::Timer;
use std::time::Duration;
use tracing::{info, warn};

/// New requests are still taken for so long at least: clients learn late that this manager ends.
const ACCEPTING: Ms = Ms(800.0);
/// The longest deadline counts as no more than this towards the time that is left.
const LONGEST_DEADLINE: Ms = Ms(3_000.0);
/// SIGKILL may come 0.7 s past the longest deadline; open requests are answered so long past it.
const PAST_DEADLINE: Ms = Ms(500.0);
/// Clients that read slowly have so long for the last answers and releases. SIGKILL may come before that; an
/// earlier end would lose the same.
const FLUSHING: Duration = Duration::from_millis(1_000);
/// So long before the end what stands at servers without a connection begins to be released.
const RELEASING: Ms = Ms(1_000.0);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const FLUSH_LOOK_EVERY: Duration = Duration::from_millis(5);

/// Serves on until what is open has its answer or its time is over, then answers and releases the rest and
/// waits until that is written. Reloads still count: a new channel may tell of a drain. A second SIGTERM
/// changes nothing.
pub(super) async fn shut_down(hub: &Hub, signals: &mut Signals, longest: Ms, reload: impl Fn()) {
    info!("told to end");
    let reloads = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(),
                Ok(_) => info!("already ending"),
                Err(error) => warn!(%error, "signal"),
            }
        }
        std::future::pending().await
    };
    let end = async {
        serve_out(hub, longest).await;
        hub.with(|node, now, sockets| node.shut_down(now, sockets));
        flush(hub).await;
    };
    futures_lite::future::or(end, reloads).await;
    figures::log(hub);
    info!("ended");
}

/// Until nothing is open and nobody new comes, or the time that is left is over.
async fn serve_out(hub: &Hub, longest: Ms) {
    let began = hub.now();
    let most = (longest.min(LONGEST_DEADLINE) + PAST_DEADLINE).max(ACCEPTING);
    loop {
        Timer::after(LOOK_EVERY).await;
        let since = hub.now() - began;
        let idle = hub.node.borrow().open_set_ups() == 0 && hub.node.borrow().playing_sessions() == 0;
        if since >= most || (since >= ACCEPTING && idle) {
            return;
        }
        release_unwatched(hub, most - since);
    }
}

/// Releases, over the last second, what stands at servers that a connection has to be opened to for that.
fn release_unwatched(hub: &Hub, left: Ms) {
    let (_, unwatched) = hub.node.borrow().server_connections();
    if left > RELEASING || unwatched == 0 {
        return;
    }
    let looks = (left.0 / LOOK_EVERY.as_secs_f64() / 1e3).floor() as usize;
    let now = unwatched.div_ceil(looks.max(1));
    hub.with(|node, at, sockets| node.release_unwatched(at, now, sockets));
}

/// Until all that was said last is written, or a slow reader has had its time. Releases may wait for
/// connections to their servers.
async fn flush(hub: &Hub) {
    let written = async {
        while !hub.sockets.borrow().all_out() || hub.node.borrow().has_pending_releases() {
            Timer::after(FLUSH_LOOK_EVERY).await;
            hub.with(|node, now, sockets| node.send_pending_releases(now, sockets));
        }
    };
    // Tasks write in their own turns: one look at once would find nothing said yet.
    Timer::after(FLUSH_LOOK_EVERY).await;
    let late = async {
        Timer::after(FLUSHING).await;
    };
    futures_lite::future::or(written, late).await;
}
