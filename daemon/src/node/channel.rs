//! The command channel: asked again and again from the last event that came whole.

use super::hub::Hub;
use hyper::Method;
use ottersail_net::{Client, Timer};
use ottersail_platform::events::{self, Events};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tracing::{debug, warn};

/// A short wait is asked for, so that a channel that has stopped is found out soon, and is bounded just past
/// it.
const WAIT: Duration = Duration::from_millis(1_000);
const PAST: Duration = Duration::from_millis(300);
const CONNECT: Duration = Duration::from_millis(300);
const AGAIN: Duration = Duration::from_millis(100);
const MOST_BYTES: usize = 4 << 20;

pub(crate) async fn follow(hub: Rc<Hub>) {
    loop {
        let address = hub.channel.borrow().clone();
        let client = Client::new(hub.exec, CONNECT, 1, Duration::from_secs(20));
        // At a new address all begins anew, but for the numbers.
        let moved = poll_fn(|cx| {
            if *hub.channel.borrow() != address {
                return Poll::Ready(());
            }
            *hub.moved.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        });
        futures_lite::future::or(moved, listen(&hub, &client, &address)).await;
    }
}

async fn listen(hub: &Rc<Hub>, client: &Client, address: &str) {
    loop {
        let last = hub.node.borrow().last_event();
        let path = format!("/cmd/next?resume={last}&block={}", WAIT.as_millis());
        let request = Client::request(Method::GET, address, &path);
        let asked = async { client.exchange(address, request, MOST_BYTES, || true).await.ok() };
        let late = async {
            Timer::after(WAIT + PAST).await;
            None
        };
        let answer = futures_lite::future::or(asked, late).await;
        let read = answer.filter(|it| it.status.is_success()).and_then(|it| read(&it.body));
        match read {
            Some(news) => hub.with(|node, now, sockets| node.heard(now, &news, sockets)),
            None => {
                debug!(address, "the command channel gave no answer");
                Timer::after(AGAIN).await;
            }
        }
    }
}

/// What broke off in its middle is dropped whole.
fn read(body: &[u8]) -> Option<Events> {
    let value = serde_json::from_slice(body).ok()?;
    match events::read(&value) {
        Ok(events) => Some(events),
        Err(trouble) => {
            warn!(%trouble, "events that can't be read");
            None
        }
    }
}
