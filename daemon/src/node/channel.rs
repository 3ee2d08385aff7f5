//! Client of the command channel: requests events again and again, from the last one that was received
//! completely.

use super::backoff::Backoff;
use super::hub::Hub;
use super::late_requests::{LateRequests, PendingRequest};
use hyper::Method;
use ottersail_net::{Client, Timer};
use ottersail_platform::events::{self, Events};
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Time within which the channel is asked to answer, so that one that has stopped is noticed soon.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// Extra time to wait for an answer; where one is later than this, the channel is asked again beside it.
const ANSWER_GRACE: Duration = Duration::from_millis(300);
/// Time within which a connection to the channel has to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an idle connection to the channel is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Result of one request to the channel.
enum PollResult {
    /// The events of a valid answer.
    Events(Events),
    /// There was no complete answer, or none that could be read.
    NoAnswer,
}

/// Follows the channel as long as the program runs, also across changes of its address.
pub(crate) async fn follow(hub: Rc<Hub>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        let address = hub.channel.borrow().clone();
        let client = Client::new(hub.executor, CONNECT_TIMEOUT, 1, IDLE_TIMEOUT);
        // At a new address everything starts again, except for the event numbers.
        futures_lite::future::or(
            address_changed(&hub, &address),
            poll_channel(&hub, &client, &address, &mut backoff),
        )
        .await;
        hub.node.borrow_mut().channel_moved();
        backoff.reset();
    }
}

/// Completes when the configured channel has another address than this.
async fn address_changed(hub: &Hub, address: &str) {
    poll_fn(|context| {
        if *hub.channel.borrow() != address {
            return Poll::Ready(());
        }
        *hub.channel_changed.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    })
    .await;
}

/// What came first while the channel was asked.
enum Turn {
    /// The answer to the request.
    Answer(PollResult),
    /// The answer to an earlier request.
    Late(PollResult),
    /// The request was not answered in time.
    TimedOut,
}

async fn poll_channel(hub: &Hub, client: &Client, address: &str, backoff: &mut Backoff) {
    let warned = Cell::new(false);
    let mut late = LateRequests::new();
    loop {
        let requested_at = Instant::now();
        let mut request: PendingRequest<PollResult> = Box::pin(request_events(hub, client, address, &warned));
        let mut timeout = Timer::after(LONG_POLL + ANSWER_GRACE);
        let answer = loop {
            match next_turn(&mut request, &mut late, &mut timeout).await {
                Turn::Answer(answer) => break Some(answer),
                Turn::Late(PollResult::Events(events)) => apply_late(hub, &events),
                Turn::Late(PollResult::NoAnswer) => {}
                Turn::TimedOut => break None,
            }
        };
        match answer {
            Some(PollResult::Events(events)) => {
                late.clear();
                let last = hub.node.borrow().last_event();
                hub.with_node(|node, now, sockets| node.list_events(now, &events, sockets));
                // A channel that answers at once with nothing new must not be asked in a tight loop.
                let idle = hub.node.borrow().last_event() == last && requested_at.elapsed() < LONG_POLL / 2;
                if idle {
                    Timer::after(backoff.next()).await;
                } else {
                    backoff.reset();
                }
            }
            Some(PollResult::NoAnswer) => {
                debug!(address, "the command channel gave no answer");
                Timer::after(backoff.next()).await;
            }
            None => {
                debug!(address, "the command channel gave no answer in time");
                late.push(requested_at, request);
                Timer::after(backoff.next()).await;
            }
        }
    }
}

async fn next_turn(
    request: &mut PendingRequest<'_, PollResult>,
    late: &mut LateRequests<'_, PollResult>,
    timeout: &mut Timer,
) -> Turn {
    let answer = async { Turn::Answer(request.await) };
    let late_answer = async { Turn::Late(late.next_answer().await) };
    let timed_out = async {
        timeout.await;
        Turn::TimedOut
    };
    futures_lite::future::or(answer, futures_lite::future::or(late_answer, timed_out)).await
}

/// Applies a late answer if it has news. One without is no sign that the channel has restarted its numbers.
fn apply_late(hub: &Hub, events: &Events) {
    let (last, resume) = (hub.node.borrow().last_event(), hub.node.borrow().resume_number());
    if events.last_number > last && resume == last {
        hub.with_node(|node, now, sockets| node.list_events(now, events, sockets));
    }
}

async fn request_events(hub: &Hub, client: &Client, address: &str, warned: &Cell<bool>) -> PollResult {
    let resume = hub.node.borrow().resume_number();
    let path = format!("/cmd/next?resume={resume}&block={}", LONG_POLL.as_millis());
    let request = Client::request(Method::GET, address, &path);
    let answer = client.exchange(address, request, MAX_ANSWER_BYTES, || true).await.ok();
    match answer.filter(|answer| answer.status.is_success()) {
        Some(answer) => read_answer(&answer.body, address, warned),
        None => PollResult::NoAnswer,
    }
}

/// Reads an answer. One that is incomplete or invalid is dropped as a whole.
fn read_answer(body: &[u8], address: &str, warned: &Cell<bool>) -> PollResult {
    let Ok(value) = serde_json::from_slice(body) else {
        return PollResult::NoAnswer;
    };
    match events::read(&value) {
        Ok(events) => {
            if events.dropped_count > 0 && !warned.replace(true) {
                let first = events.dropped.first().map(ToString::to_string).unwrap_or_default();
                let count = events.dropped_count;
                warn!(
                    address,
                    count, first, "entries of the server list are dropped; this is logged once per channel"
                );
            }
            PollResult::Events(events)
        }
        Err(error) => {
            if !warned.replace(true) {
                warn!(address, %error, "the events cannot be read; this is logged once per channel");
            }
            PollResult::NoAnswer
        }
    }
}
