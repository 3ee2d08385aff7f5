//! The connections of a manager: each has one task, which reads and writes.

use super::connection_io::{converse, Ending, Heard};
use super::hub::Hub;
use super::output::Out;
use ottersail::time::Ms;
use ottersail_net::{Stream, Timer};
use ottersail_platform::node::{ConnectionId, ConnectionLoss};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// After the last word a connection is read for so long, so that the word is not lost to a reset: a client
/// may still be sending what was refused at its head. A server's may go on for ever, and is read for a moment
/// only.
const LINGER: Duration = Duration::from_millis(2_500);
const LONGEST_CONNECT_MS: f64 = 60_000.0;
const LINGER_AT_SERVER: Duration = Duration::from_millis(300);

pub(crate) fn serve_viewer(hub: Rc<Hub>, connection_id: ConnectionId, stream: TcpStream) {
    let out = Out::default();
    hub.sockets.borrow_mut().outs.insert(connection_id, out.clone());
    hub.exec
        .spawn(async move {
            if let Ok(stream) = Stream::new(stream) {
                let heard = |heard: Heard| {
                    hub.with(|node, now, sockets| match heard {
                        Heard::More(bytes) => node.client_data(now, connection_id, bytes, sockets),
                        Heard::Closed(bytes) => node.client_final_data(now, connection_id, bytes, sockets),
                    });
                };
                let lingering = hub.sockets.borrow().lingering.clone();
                converse(stream, &out, heard, LINGER, &lingering).await;
            }
            hub.sockets.borrow_mut().outs.remove(&connection_id);
            hub.with(|node, now, sockets| node.client_closed(now, connection_id, sockets));
        })
        .detach();
}

pub(crate) async fn serve_server(
    hub: Rc<Hub>,
    connection_id: ConnectionId,
    address: Option<SocketAddr>,
    connect: Ms,
    out: Out,
) {
    let how = match dialed(address, connect, &out).await {
        Ok(stream) => {
            _ = stream.get_ref().set_nodelay(true);
            hub.with(|node, now, sockets| node.server_connected(now, connection_id, sockets));
            let heard = |heard: Heard| {
                let (Heard::More(bytes) | Heard::Closed(bytes)) = heard;
                if !bytes.is_empty() {
                    hub.with(|node, now, sockets| node.server_data(now, connection_id, bytes, sockets));
                }
            };
            let lingering = hub.sockets.borrow().lingering.clone();
            match converse(stream, &out, heard, LINGER_AT_SERVER, &lingering).await {
                Ending::Closed => ConnectionLoss::Closed,
                Ending::Broken | Ending::Ours => ConnectionLoss::Reset,
            }
        }
        Err(how) => how,
    };
    hub.sockets.borrow_mut().outs.remove(&connection_id);
    hub.with(|node, now, sockets| node.server_disconnected(now, connection_id, how, sockets));
}

async fn dialed(address: Option<SocketAddr>, connect: Ms, out: &Out) -> Result<Stream, ConnectionLoss> {
    let address = address.ok_or(ConnectionLoss::TimedOut)?;
    let up = async {
        Stream::connect(address).await.map_err(|trouble| match trouble.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ConnectionLoss::Refused,
            ErrorKind::AddrNotAvailable => ConnectionLoss::LocalFault,
            _ if matches!(trouble.raw_os_error(), Some(23 | 24)) => ConnectionLoss::LocalFault,
            _ => ConnectionLoss::TimedOut,
        })
    };
    let late = async {
        Timer::after(Duration::from_secs_f64(connect.0.clamp(1.0, LONGEST_CONNECT_MS) / 1e3)).await;
        Err(ConnectionLoss::TimedOut)
    };
    // Hung up before it came up: nobody waits for it.
    let off = poll_fn(|cx| {
        let mut out = out.borrow_mut();
        if out.last {
            return Poll::Ready(Err(ConnectionLoss::TimedOut));
        }
        out.waker = Some(cx.waker().clone());
        Poll::Pending
    });
    futures_lite::future::or(up, futures_lite::future::or(late, off)).await
}
