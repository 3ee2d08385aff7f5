//! What players and operators may ask over HTTP.

use crate::hub::Hub;
use crate::metrics;
use form_urlencoded::parse;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use ottersail_front::tape::Told;
use ottersail_front::{Asked, Reply, WatchId};
use ottersail_net::{whole, Body, Server};
use ottersail_tickets::Keys;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A title's or watch's name may be so long.
const MOST_NAME: usize = 100;

pub struct Service {
    pub hub: Rc<Hub>,
    pub keys: RefCell<Keys>,
    pub server: Rc<Server>,
}

fn said(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(whole(text.into() + "\n"));
    *response.status_mut() = status;
    response
}

impl Service {
    pub async fn answer(self: Rc<Service>, request: Request<Incoming>) -> Response<Body> {
        if request.method() != Method::GET && request.method() != Method::HEAD {
            return said(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here");
        }
        let path = request.uri().path().to_string();
        let query: BTreeMap<String, String> =
            parse(request.uri().query().unwrap_or("").as_bytes()).into_owned().collect();
        let trace = request.headers().get("traceparent").and_then(|it| it.to_str().ok());
        let trace = trace.filter(|it| it.len() <= 64).unwrap_or("").to_string();
        if let Some(title) = path.strip_prefix("/watch/") {
            return self.watch(title, &query, trace).await;
        }
        if let Some(id) = path.strip_prefix("/viewing/").and_then(|it| it.strip_suffix(".m3u8")) {
            return self.reload(&path, id, &query, trace).await;
        }
        match path.as_str() {
            "/metrics" => {
                let (open, away) = (self.server.open.get(), self.server.turned_away.get());
                let times = self.hub.times.borrow();
                said(StatusCode::OK, self.hub.front(|it| metrics::page(it, &times, open, away)))
            }
            "/ready" if self.hub.listed.get() && self.hub.titled.get() => said(StatusCode::OK, "ready"),
            "/ready" => said(StatusCode::SERVICE_UNAVAILABLE, "no list yet"),
            _ => said(StatusCode::NOT_FOUND, "there is /watch/TITLE, /ready and /metrics"),
        }
    }

    async fn watch(&self, title: &str, query: &BTreeMap<String, String>, trace: String) -> Response<Body> {
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
        let asked = Asked { title: title.to_string(), package, tenant: text("tenant"), best, patience };
        respond(self.hub.ask(trace, |ask| Told::Asked { ask, asked }).await)
    }

    async fn reload(
        &self,
        path: &str,
        id: &str,
        query: &BTreeMap<String, String>,
        trace: String,
    ) -> Response<Body> {
        let ticket = query.get("t").map_or("", String::as_str);
        let checked = self.keys.borrow().check(ticket, id, path, 0, self.hub.clock.now_s());
        if let Err(denial) = checked {
            return said(StatusCode::FORBIDDEN, denial.to_string());
        }
        let unread = query.get("_HLS_msn").and_then(|it| it.parse::<u64>().ok());
        let watch = WatchId(id.to_string());
        respond(self.hub.ask(trace, |ask| Told::Reloaded { ask, watch, unread }).await)
    }
}

fn respond(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Playlist(text) => {
            let mut response = Response::new(whole(text));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/vnd.apple.mpegurl"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
            response
        }
        Reply::Blocked { stay_away } => {
            let mut response = said(StatusCode::SERVICE_UNAVAILABLE, "blocked");
            if let Some(ms) = stay_away {
                // The header knows whole seconds only.
                let seconds = (ms / 1e3).ceil().clamp(0.0, 86_400.0) as u64;
                response.headers_mut().insert(RETRY_AFTER, seconds.into());
            }
            response
        }
        Reply::Aborted { late: true } => said(StatusCode::GATEWAY_TIMEOUT, "aborted: no answer in time"),
        Reply::Aborted { late: false } => said(StatusCode::BAD_GATEWAY, "aborted: set-ups failed"),
        Reply::Unfit(what) => said(StatusCode::BAD_REQUEST, what),
        Reply::Unknown(what) => said(StatusCode::NOT_FOUND, what),
    }
}
