//! Polls the discovery service for the list of servers and the titles.

use super::{within, Worker};
use hyper::{Method, StatusCode};
use ottersail_front::recording::FrontInput;
use ottersail_net::Timer;
use ottersail_wire::catalogue::{self, read_servers, read_titles, INDEX_HEADER};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tracing::warn;

/// A request for the list may take its wait times this factor, plus `WAIT_EXTRA_MS`.
const WAIT_FACTOR: f64 = 1.25;
/// Milliseconds that a request for the list may take on top of its wait.
const WAIT_EXTRA_MS: f64 = 500.0;

/// What to poll the discovery service for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Catalogue {
    Servers,
    Titles,
}

impl Worker {
    /// Polls for the list of servers or the titles until the process ends.
    pub async fn poll(self: Rc<Worker>, kind: Catalogue) {
        let settings = &self.shared.settings;
        let servers = kind == Catalogue::Servers;
        let mut known_index: Option<u64> = None;
        loop {
            let wait = settings.list_wait.0;
            let from = known_index.map_or(String::new(), |index| format!("&index={index}"));
            let path = if servers {
                format!("/v1/health/service/{}?wait={wait}ms{from}", settings.service)
            } else {
                format!("/v1/kv/titles/?recurse&wait={wait}ms{from}")
            };
            let request = self.request(Method::GET, &settings.list, &path);
            let response =
                self.client.exchange(&settings.list, request, catalogue::MAX_ANSWER_BYTES, || true);
            let timeout = Duration::from_secs_f64((wait * WAIT_FACTOR + WAIT_EXTRA_MS) / 1e3);
            let cause = match within(timeout, response).await {
                Some(Ok(answer)) if answer.status == StatusCode::OK => {
                    let header = answer.headers.get(INDEX_HEADER);
                    let index = header.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
                    // An unchanged list is not parsed again: with hundreds of managers, parsing would be most
                    // of their work at rest.
                    if index.is_some() && index == known_index {
                        futures_lite::future::yield_now().await;
                        continue;
                    }
                    let event = if servers {
                        read_servers(&answer.body)
                            .map(|list| FrontInput::ServersListed { index: index.unwrap_or(0), list })
                    } else {
                        read_titles(&answer.body).map(|titles| FrontInput::TitlesListed { titles })
                    };
                    match (event, index) {
                        (Ok(event), Some(index)) => {
                            self.send_event(event).await;
                            let received =
                                if servers { &self.shared.has_servers } else { &self.shared.has_titles };
                            received.store(true, Ordering::Release);
                            known_index = Some(index);
                            futures_lite::future::yield_now().await;
                            continue;
                        }
                        (Err(error), _) => error.to_string(),
                        (_, None) => format!("the answer has no {INDEX_HEADER}"),
                    }
                }
                Some(Ok(answer)) => format!("answered {}", answer.status),
                Some(Err(failure)) => failure.to_string(),
                None => "no answer in time".into(),
            };
            let list = &settings.list;
            warn!(%list, servers, cause, "cannot get the list; keeping the last one");
            if servers {
                self.send_event(FrontInput::ListFailed).await;
            }
            Timer::after(Duration::from_secs_f64(settings.list_retry.0 / 1e3)).await;
        }
    }
}
