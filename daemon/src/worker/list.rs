//! The list of servers and the titles, asked for again and again.

use super::{within, Worker};
use hyper::{Method, StatusCode};
use ottersail_front::recording::FrontInput;
use ottersail_net::Timer;
use ottersail_wire::catalogue::{self, read_servers, read_titles, INDEX_HEADER};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tracing::warn;

impl Worker {
    /// Keeps asking for the list, or for the titles, for ever.
    pub async fn follow(self: Rc<Worker>, servers: bool) {
        let reach = &self.shared.reach;
        let mut index: Option<u64> = None;
        loop {
            let wait = reach.list_wait.0;
            let from = index.map_or(String::new(), |it| format!("&index={it}"));
            let path = if servers {
                format!("/v1/health/service/{}?wait={wait}ms{from}", reach.service)
            } else {
                format!("/v1/kv/titles/?recurse&wait={wait}ms{from}")
            };
            let request = self.errand(Method::GET, &reach.list, &path);
            let asked = self.client.exchange(&reach.list, request, catalogue::MOST_BYTES, || true);
            let patience = Duration::from_secs_f64((wait * 1.25 + 500.0) / 1e3);
            let trouble = match within(patience, asked).await {
                Some(Ok(answer)) if answer.status == StatusCode::OK => {
                    let at =
                        answer.headers.get(INDEX_HEADER).and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
                    // What was told already is not read again: at hundreds of managers that is most of their
                    // work at rest.
                    if at.is_some() && at == index {
                        futures_lite::future::yield_now().await;
                        continue;
                    }
                    let told = if servers {
                        read_servers(&answer.body)
                            .map(|list| FrontInput::ServersListed { index: at.unwrap_or(0), list })
                    } else {
                        read_titles(&answer.body).map(|titles| FrontInput::TitlesListed { titles })
                    };
                    match (told, at) {
                        (Ok(told), Some(at)) => {
                            self.tell(told).await;
                            let known = if servers { &self.shared.listed } else { &self.shared.titled };
                            known.store(true, Ordering::Release);
                            index = Some(at);
                            futures_lite::future::yield_now().await;
                            continue;
                        }
                        (Err(trouble), _) => trouble.to_string(),
                        (_, None) => format!("the answer has no {INDEX_HEADER}"),
                    }
                }
                Some(Ok(answer)) => format!("answered {}", answer.status),
                Some(Err(failure)) => failure.to_string(),
                None => "no answer in time".into(),
            };
            let list = &reach.list;
            warn!(%list, servers, cause = trouble, "the list could not be had; the last one holds");
            if servers {
                self.tell(FrontInput::ListFailed).await;
            }
            Timer::after(Duration::from_secs_f64(reach.list_retry.0 / 1e3)).await;
        }
    }
}
