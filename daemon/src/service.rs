//! The HTTP interface for players and operators.

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

/// Longest name of a title, package or tenant, in bytes.
const MAX_NAME_BYTES: usize = 100;
/// Longest `traceparent` header that is passed on, in bytes; a longer one is dropped.
const MAX_TRACEPARENT_BYTES: usize = 64;
/// Patience of a request that names none, in milliseconds.
const DEFAULT_PATIENCE_MS: f64 = 4_000.0;
/// Shortest time that a core waits for the owner's reply, in milliseconds.
const MIN_PATIENCE_MS: f64 = 50.0;
/// Longest time that a core waits for the owner's reply, in milliseconds. It applies to reloads too: their
/// patience was given with the viewing's first request, and only the owner knows it.
const MAX_PATIENCE_MS: f64 = 120_000.0;
/// Longest `retry-after`, in seconds: a day.
const MAX_RETRY_AFTER_S: f64 = 86_400.0;

/// Serves the HTTP requests of one core.
pub struct Service {
    pub worker: Rc<Worker>,
}

/// What a request carries besides its path.
struct RequestContext {
    query: BTreeMap<String, String>,
    traceparent: String,
    connection: ConnectionHandle,
}

fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(full_body(text.into() + "\n"));
    *response.status_mut() = status;
    response
}

impl Service {
    /// Answers one request.
    pub async fn answer(
        self: Rc<Service>,
        request: Request<Incoming>,
        connection: ConnectionHandle,
    ) -> Response<Body> {
        if request.method() != Method::GET && request.method() != Method::HEAD {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here");
        }
        let path = request.uri().path().to_string();
        let query = parse(request.uri().query().unwrap_or("").as_bytes()).into_owned().collect();
        let traceparent = request.headers().get("traceparent").and_then(|value| value.to_str().ok());
        let traceparent = traceparent.filter(|value| value.len() <= MAX_TRACEPARENT_BYTES);
        let traceparent = traceparent.unwrap_or("").to_string();
        let context = RequestContext { query, traceparent, connection };
        if let Some(title) = path.strip_prefix("/watch/") {
            return self.watch(title, context).await;
        }
        if let Some(id) = path.strip_prefix("/viewing/").and_then(|rest| rest.strip_suffix(".m3u8")) {
            return self.reload(&path, id, context).await;
        }
        match path.as_str() {
            "/metrics" => text_response(StatusCode::OK, self.worker.metrics().await),
            "/ready" => self.ready(),
            _ => text_response(StatusCode::NOT_FOUND, "there is /watch/TITLE, /ready and /metrics"),
        }
    }

    /// Whether the manager has the list of servers and the titles. Other members request_id this too when their
    /// datagrams get no answer, so the response carries this manager's member id.
    fn ready(&self) -> Response<Body> {
        let shared = &self.worker.shared;
        let ready = shared.has_servers.load(Ordering::Acquire) && shared.has_titles.load(Ordering::Acquire);
        let mut response = match ready {
            true => text_response(StatusCode::OK, "ready"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "no list yet"),
        };
        let member = shared.settings.member.and_then(|id| HeaderValue::from_str(&id.to_string()).ok());
        if let Some(member) = member {
            response.headers_mut().insert(MEMBER_HEADER, member);
        }
        response
    }

    /// Starts a viewing.
    async fn watch(&self, title: &str, context: RequestContext) -> Response<Body> {
        let RequestContext { query, traceparent, connection } = context;
        let text = |key: &str| query.get(key).filter(|value| value.len() <= MAX_NAME_BYTES).cloned();
        let Some(package) = text("package") else {
            return text_response(StatusCode::BAD_REQUEST, "package=NAME is missing");
        };
        let max_rung = match query.get("best") {
            None => Some(usize::MAX),
            Some(value) => value.parse::<u32>().ok().map(|rung| rung as usize),
        };
        let patience_ms =
            query.get("patience-ms").map_or(Some(DEFAULT_PATIENCE_MS), |value| value.parse::<f64>().ok());
        let (Some(max_rung), Some(patience_ms)) = (max_rung, patience_ms) else {
            let message = "best is a rung, patience-ms a number of milliseconds";
            return text_response(StatusCode::BAD_REQUEST, message);
        };
        if title.len() > MAX_NAME_BYTES {
            return text_response(StatusCode::NOT_FOUND, "no such title");
        }
        let title_request =
            TitleRequest { title: title.to_string(), package, tenant: text("tenant"), max_rung, patience_ms };
        // The front rejects a patience that is out of range.
        let wait_ms = if patience_ms.is_finite() {
            patience_ms.clamp(MIN_PATIENCE_MS, MAX_PATIENCE_MS)
        } else {
            MAX_PATIENCE_MS
        };
        let event = |request| FrontInput::TitleRequested { request, title_request };
        respond(self.worker.submit(connection, traceparent, wait_ms, event).await).await
    }

    /// Returns the current playlist of a viewing.
    async fn reload(&self, path: &str, id: &str, context: RequestContext) -> Response<Body> {
        let RequestContext { query, traceparent, connection } = context;
        let ticket = query.get("t").map_or("", String::as_str);
        let shared = &self.worker.shared;
        let checked = shared.keys.load().check(ticket, id, path, 0, shared.clock.now_s());
        if let Err(denial) = checked {
            return text_response(StatusCode::FORBIDDEN, denial.to_string());
        }
        let next_sequence = query.get("_HLS_msn").and_then(|value| value.parse::<u64>().ok());
        let watch = WatchId(id.to_string());
        let event = |request| FrontInput::PlaylistRequested { request, watch, next_sequence };
        respond(self.worker.submit(connection, traceparent, MAX_PATIENCE_MS, event).await).await
    }
}

/// The parts of an HTTP response to a player.
struct ResponseParts {
    status: StatusCode,
    content_type: &'static str,
    retry_after_s: Option<u64>,
    body: String,
}

fn response_parts(reply: Reply) -> ResponseParts {
    // `retry-after` has whole seconds only.
    let seconds = |ms: f64| (ms / 1e3).ceil().clamp(0.0, MAX_RETRY_AFTER_S) as u64;
    let plain =
        |status, body| ResponseParts { status, content_type: "text/plain", retry_after_s: None, body };
    match reply {
        Reply::Playlist(body) => {
            ResponseParts { content_type: "application/vnd.apple.mpegurl", ..plain(StatusCode::OK, body) }
        }
        Reply::Blocked { stay_away } => ResponseParts {
            retry_after_s: stay_away.map(seconds),
            ..plain(StatusCode::SERVICE_UNAVAILABLE, "blocked\n".into())
        },
        Reply::Aborted { late: true } => {
            plain(StatusCode::GATEWAY_TIMEOUT, "aborted: no answer in time\n".into())
        }
        Reply::Aborted { late: false } => plain(StatusCode::BAD_GATEWAY, "aborted: set-ups failed\n".into()),
        Reply::Unfit(message) => plain(StatusCode::BAD_REQUEST, message + "\n"),
        Reply::Unknown(message) => plain(StatusCode::NOT_FOUND, message + "\n"),
    }
}

async fn respond(reply: Option<Reply>) -> Response<Body> {
    let Some(reply) = reply else {
        // Another core has answered and closed the connection, so nothing more may be written.
        return std::future::pending().await;
    };
    let ResponseParts { status, content_type, retry_after_s, body } = response_parts(reply);
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Some(seconds) = retry_after_s {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// The response as bytes, for a core that answers in place of a stalled one.
pub fn raw_response(reply: Reply) -> Vec<u8> {
    let ResponseParts { status, content_type, retry_after_s, body } = response_parts(reply);
    let retry_after = retry_after_s.map_or(String::new(), |seconds| format!("retry-after: {seconds}\r\n"));
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: {content_type}\r\ncache-control: no-store\r\n{retry_after}\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a malformed head: these bytes are formatted by hand, and only a player would notice.
    #[test]
    fn a_raw_response_is_well_formed_http() {
        let text = String::from_utf8(raw_response(Reply::Blocked { stay_away: Some(1_200.0) })).unwrap();
        let expected = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\
            cache-control: no-store\r\nretry-after: 2\r\ncontent-length: 8\r\n\
            connection: close\r\n\r\nblocked\n";
        assert_eq!(text, expected);
    }
}
