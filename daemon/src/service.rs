//! What players and operators may ask over HTTP.

use crate::fleet::MEMBER_HEADER;
use crate::worker::Worker;
use form_urlencoded::parse;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, TitleRequest, WatchId};
use ottersail_net::{full_body, Body, ConnectionHandle};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::Ordering;

/// A title's or watch's name may be so long.
const MOST_NAME: usize = 100;

/// Until it must be given up, a reload waits for its answer; patience was told with the first request, to the
/// owner.
const LONGEST: f64 = 120_000.0;

pub struct Service {
    pub worker: Rc<Worker>,
}

fn said(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(full_body(text.into() + "\n"));
    *response.status_mut() = status;
    response
}

impl Service {
    pub async fn answer(
        self: Rc<Service>,
        request: Request<Incoming>,
        line: ConnectionHandle,
    ) -> Response<Body> {
        if request.method() != Method::GET && request.method() != Method::HEAD {
            return said(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here");
        }
        let path = request.uri().path().to_string();
        let query: BTreeMap<String, String> =
            parse(request.uri().query().unwrap_or("").as_bytes()).into_owned().collect();
        let trace = request.headers().get("traceparent").and_then(|it| it.to_str().ok());
        let trace = trace.filter(|it| it.len() <= 64).unwrap_or("").to_string();
        if let Some(title) = path.strip_prefix("/watch/") {
            return self.watch(title, &query, trace, line).await;
        }
        if let Some(id) = path.strip_prefix("/viewing/").and_then(|it| it.strip_suffix(".m3u8")) {
            return self.reload(&path, id, &query, trace, line).await;
        }
        match path.as_str() {
            "/metrics" => said(StatusCode::OK, self.worker.page().await),
            "/ready" => self.ready(),
            _ => said(StatusCode::NOT_FOUND, "there is /watch/TITLE, /ready and /metrics"),
        }
    }

    /// Also for other members, who knock here when datagrams are lost: they are told who it is.
    fn ready(&self) -> Response<Body> {
        let shared = &self.worker.shared;
        let ready = shared.listed.load(Ordering::Acquire) && shared.titled.load(Ordering::Acquire);
        let mut response = match ready {
            true => said(StatusCode::OK, "ready"),
            false => said(StatusCode::SERVICE_UNAVAILABLE, "no list yet"),
        };
        let member = shared.reach.member.and_then(|it| HeaderValue::from_str(&it.to_string()).ok());
        if let Some(member) = member {
            response.headers_mut().insert(MEMBER_HEADER, member);
        }
        response
    }

    async fn watch(
        &self,
        title: &str,
        query: &BTreeMap<String, String>,
        trace: String,
        line: ConnectionHandle,
    ) -> Response<Body> {
        let text = |key: &str| query.get(key).filter(|it| it.len() <= MOST_NAME).cloned();
        let Some(package) = text("package") else {
            return said(StatusCode::BAD_REQUEST, "package=NAME is missing");
        };
        let best =
            query.get("best").map_or(Some(usize::MAX), |it| it.parse::<u32>().ok().map(|it| it as usize));
        let patience = query.get("patience-ms").map_or(Some(4_000.0), |it| it.parse::<f64>().ok());
        let (Some(best), Some(patience)) = (best, patience) else {
            return said(StatusCode::BAD_REQUEST, "best is a rung, patience-ms a number of milliseconds");
        };
        if title.len() > MOST_NAME {
            return said(StatusCode::NOT_FOUND, "no such title");
        }
        let asked = TitleRequest {
            title: title.to_string(),
            package,
            tenant: text("tenant"),
            max_rung: best,
            patience_ms: patience,
        };
        // What is out of bounds is refused by the front.
        let patience = if patience.is_finite() { patience.clamp(50.0, LONGEST) } else { LONGEST };
        respond(
            self.worker
                .ask(line, trace, patience, |ask| FrontInput::TitleRequested {
                    request: ask,
                    title_request: asked,
                })
                .await,
        )
        .await
    }

    async fn reload(
        &self,
        path: &str,
        id: &str,
        query: &BTreeMap<String, String>,
        trace: String,
        line: ConnectionHandle,
    ) -> Response<Body> {
        let ticket = query.get("t").map_or("", String::as_str);
        let shared = &self.worker.shared;
        let checked = shared.keys.load().check(ticket, id, path, 0, shared.clock.now_s());
        if let Err(denial) = checked {
            return said(StatusCode::FORBIDDEN, denial.to_string());
        }
        let unread = query.get("_HLS_msn").and_then(|it| it.parse::<u64>().ok());
        let watch = WatchId(id.to_string());
        respond(
            self.worker
                .ask(line, trace, LONGEST, |ask| FrontInput::PlaylistRequested {
                    request: ask,
                    watch,
                    next_sequence: unread,
                })
                .await,
        )
        .await
    }
}

/// Status, kind of content, seconds to stay away, and text of a reply.
fn parts(reply: Reply) -> (StatusCode, &'static str, Option<u64>, String) {
    // The header knows whole seconds only.
    let seconds = |ms: f64| (ms / 1e3).ceil().clamp(0.0, 86_400.0) as u64;
    let plain = "text/plain";
    match reply {
        Reply::Playlist(text) => (StatusCode::OK, "application/vnd.apple.mpegurl", None, text),
        Reply::Blocked { stay_away } => {
            (StatusCode::SERVICE_UNAVAILABLE, plain, stay_away.map(seconds), "blocked\n".into())
        }
        Reply::Aborted { late: true } => {
            (StatusCode::GATEWAY_TIMEOUT, plain, None, "aborted: no answer in time\n".into())
        }
        Reply::Aborted { late: false } => {
            (StatusCode::BAD_GATEWAY, plain, None, "aborted: set-ups failed\n".into())
        }
        Reply::Unfit(what) => (StatusCode::BAD_REQUEST, plain, None, what + "\n"),
        Reply::Unknown(what) => (StatusCode::NOT_FOUND, plain, None, what + "\n"),
    }
}

async fn respond(reply: Option<Reply>) -> Response<Body> {
    let Some(reply) = reply else {
        // Another core has answered and closed the connection; this one writes nothing more.
        return std::future::pending().await;
    };
    let (status, kind, stay_away, text) = parts(reply);
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Some(seconds) = stay_away {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// The same as bytes, for a core that answers in another's place.
pub fn raw(reply: Reply) -> Vec<u8> {
    let (status, kind, stay_away, text) = parts(reply);
    let stay_away = stay_away.map_or(String::new(), |it| format!("retry-after: {it}\r\n"));
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: {kind}\r\ncache-control: no-store\r\n{stay_away}\
         content-length: {}\r\nconnection: close\r\n\r\n{text}",
        text.len()
    )
    .into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A stray space in the head would make a header of what is none, and nobody reads these bytes but
    /// a player.
    #[test]
    fn an_answer_in_anothers_place_is_whole() {
        let text = String::from_utf8(raw(Reply::Blocked { stay_away: Some(1_200.0) })).unwrap();
        let expected = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\
            cache-control: no-store\r\nretry-after: 2\r\ncontent-length: 8\r\n\
            connection: close\r\n\r\nblocked\n";
        assert_eq!(text, expected);
    }
}
