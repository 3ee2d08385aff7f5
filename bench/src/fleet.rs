//! Servers that say yes to all, and their list.

use crate::errors::BenchError;
use crate::library::{listed, titles, PLAYLIST};
use crate::managing::until;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use ottersail_net::{
    block_on, executor, full_body, serve, streaming_body, Body, ConnectionCounts, Limits, Listener,
    TaskGroup, Timer,
};
use ottersail_wire::catalogue::{write_servers, write_titles, INDEX_HEADER};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

const LIMITS: Limits = Limits { connections: 60_000, head_timeout: Duration::from_secs(60) };

type Sender = async_channel::Sender<bytes::Bytes>;

/// All servers on one thread, each on a socket of its own; and their list.
pub fn fleet(
    servers: usize,
    ready: mpsc::Sender<SocketAddr>,
    stopped: mpsc::Receiver<()>,
) -> Result<(), BenchError> {
    let exec = executor();
    let nursery = TaskGroup::new(exec);
    let open = |what| {
        let of = |source| BenchError::Socket { what, source };
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(of)?;
        let address = listener.get_ref().local_addr().map_err(of)?;
        Ok::<_, BenchError>((listener, address))
    };
    let mut rows = Vec::new();
    for ix in 0..servers {
        let (listener, address) = open("a server")?;
        rows.push(listed(ix, address.to_string()));
        let streams: Rc<RefCell<Vec<_>>> = Rc::default();
        let alive = streams.clone();
        nursery.spawn(async move {
            loop {
                Timer::after(Duration::from_secs(1)).await;
                let sign = |it: &Sender| it.try_send(":\n\n".into()).is_ok();
                alive.borrow_mut().retain(sign);
            }
        });
        let handler = move |request: Request<Incoming>, _| {
            let streams = streams.clone();
            async move {
                if request.uri().path() == "/notes" {
                    let (sender, body) = streaming_body(4);
                    _ = sender.try_send(":\n\n".into());
                    streams.borrow_mut().push(sender);
                    return Response::new(body);
                }
                let mut response: Response<Body> = Response::new(full_body(PLAYLIST));
                if request.method() == Method::PUT {
                    *response.status_mut() = StatusCode::CREATED;
                }
                response
            }
        };
        nursery.spawn(serve(nursery.clone(), listener, LIMITS, ConnectionCounts::new(), handler));
    }
    let (listener, address) = open("the list")?;
    let (list, titles) = (write_servers(&rows), write_titles(&titles(servers)));
    let handler = move |request: Request<Incoming>, _| {
        let text = if request.uri().path().contains("health") { list.clone() } else { titles.clone() };
        async move {
            if request.uri().query().is_some_and(|it| it.contains("index=")) {
                Timer::after(Duration::from_secs(50)).await;
            }
            let mut response = Response::new(full_body(text));
            response.headers_mut().insert(INDEX_HEADER, 1.into());
            response
        }
    };
    nursery.spawn(serve(nursery.clone(), listener, LIMITS, ConnectionCounts::new(), handler));
    _ = ready.send(address);
    block_on(exec.run(until(stopped)));
    nursery.cancel_all();
    Ok(())
}
