//! The command channel: asked again and again from the last event that came whole.

use super::backoff::Backoff;
use super::hub::Hub;
use hyper::Method;
use ottersail_net::{Client, Timer};
use ottersail_platform::events::{self, Events};
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// The channel is asked to answer within this time, so that one that has stopped is found out soon.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// An answer that is so much later than asked for does not come any more.
const LATE: Duration = Duration::from_millis(300);
const CONNECT: Duration = Duration::from_millis(300);
const KEPT_IDLE: Duration = Duration::from_secs(20);
const MOST_BYTES: usize = 4 << 20;

/// What one request to the channel came to.
enum Asked {
    Events(Events),
    /// No whole answer in time, or none that could be read.
    Nothing,
}

/// Follows the channel, from one address to the next, as long as the program runs.
pub(crate) async fn follow(hub: Rc<Hub>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        let address = hub.channel.borrow().clone();
        let client = Client::new(hub.exec, CONNECT, 1, KEPT_IDLE);
        // At a new address all begins anew, but for the numbers.
        futures_lite::future::or(moved(&hub, &address), listen(&hub, &client, &address, &mut backoff)).await;
        hub.node.borrow_mut().channel_moved();
        backoff.reset();
    }
}

/// Ends when the channel is another than this.
async fn moved(hub: &Hub, address: &str) {
    poll_fn(|cx| {
        if *hub.channel.borrow() != address {
            return Poll::Ready(());
        }
        *hub.moved.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    })
    .await;
}

async fn listen(hub: &Hub, client: &Client, address: &str, backoff: &mut Backoff) {
    let warned = Cell::new(false);
    loop {
        let asked = Instant::now();
        match ask(hub, client, address, &warned).await {
            Asked::Events(news) => {
                let last = hub.node.borrow().last_event();
                hub.with(|node, now, sockets| node.list_events(now, &news, sockets));
                // One that answers at once with nothing new would be asked in a tight loop.
                let idle = hub.node.borrow().last_event() == last && asked.elapsed() < LONG_POLL / 2;
                if idle {
                    Timer::after(backoff.next()).await;
                } else {
                    backoff.reset();
                }
            }
            Asked::Nothing => {
                debug!(address, "the command channel gave no answer");
                Timer::after(backoff.next()).await;
            }
        }
    }
}

async fn ask(hub: &Hub, client: &Client, address: &str, warned: &Cell<bool>) -> Asked {
    let resume = hub.node.borrow().resume_number();
    let path = format!("/cmd/next?resume={resume}&block={}", LONG_POLL.as_millis());
    let request = Client::request(Method::GET, address, &path);
    let answered = async { client.exchange(address, request, MOST_BYTES, || true).await.ok() };
    let late = async {
        Timer::after(LONG_POLL + LATE).await;
        None
    };
    let answer = futures_lite::future::or(answered, late).await;
    match answer.filter(|answer| answer.status.is_success()) {
        Some(answer) => read(&answer.body, address, warned),
        None => Asked::Nothing,
    }
}

/// What broke off in its middle, or can't be read, is dropped whole.
fn read(body: &[u8], address: &str, warned: &Cell<bool>) -> Asked {
    let Ok(value) = serde_json::from_slice(body) else {
        return Asked::Nothing;
    };
    match events::read(&value) {
        Ok(events) => {
            if events.dropped_count > 0 && !warned.replace(true) {
                let first = events.dropped.first().map(ToString::to_string).unwrap_or_default();
                let count = events.dropped_count;
                warn!(address, count, first, "entries of the list are dropped; told once for this channel");
            }
            Asked::Events(events)
        }
        Err(error) => {
            if !warned.replace(true) {
                warn!(address, %error, "events that can't be read; told once for this channel");
            }
            Asked::Nothing
        }
    }
}
