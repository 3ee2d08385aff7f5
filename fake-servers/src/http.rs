//! What servers and their list have in common on HTTP.

use crate::error::FleetError;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ottersail_net::{full_body, Body, Limits, Listener};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Any free port of loopback.
pub(crate) const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
pub(crate) const LIMITS: Limits = Limits { connections: 20_000, head_timeout: Duration::from_secs(20) };

/// A socket of loopback that accepts calls, and its address; port 0 is any that is free.
pub(crate) fn listen_at(address: SocketAddr) -> Result<(Listener, SocketAddr), FleetError> {
    let tell = |source| FleetError::Bind { address, source };
    let listener = Listener::bind(address).map_err(tell)?;
    let found = listener.get_ref().local_addr().map_err(tell)?;
    Ok((listener, found))
}

pub(crate) fn query<'a>(request: &'a Request<Incoming>, key: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|it| it.split_once('=')).find(|it| it.0 == key).map(|it| it.1)
}

pub(crate) fn plain(status: u16, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

pub(crate) fn manager(request: &Request<Incoming>) -> usize {
    let header = request.headers().get("x-manager").and_then(|it| it.to_str().ok());
    header.and_then(|it| it.parse().ok()).unwrap_or(usize::MAX)
}
