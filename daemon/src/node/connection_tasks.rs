//! Tasks of a manager's connections: one task per connection reads and writes.

use super::connection_io::{run_connection, ConnectionLimits, Ending, Handled, Received};
use super::hub::Hub;
use super::output::SharedOutput;
use ottersail::time::Ms;
use ottersail_net::{Stream, Timer};
use ottersail_platform::node::{ConnectionId, ConnectionLoss};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// A client's connection is read for a while after the final bytes were written, so that a reset does not
/// discard them: the client may still be sending a request that was refused by its head.
const CLIENT_LIMITS: ConnectionLimits =
    ConnectionLimits { max_unsent_to_read: 16 * 1024, linger: Duration::from_millis(2_500) };
/// A server is read whatever it does not read itself. It may send without end, so that its input is read only
/// briefly after the final bytes.
const SERVER_LIMITS: ConnectionLimits =
    ConnectionLimits { max_unsent_to_read: usize::MAX, linger: Duration::from_millis(300) };
/// Upper limit of the connect time-output, in milliseconds.
const MAX_CONNECT_TIMEOUT_MS: f64 = 60_000.0;
/// Error number: the system has no more file descriptors.
const ENFILE: i32 = 23;
/// Error number: the process has no more file descriptors.
const EMFILE: i32 = 24;

/// Starts the task of a client's connection.
pub(crate) fn serve_client(hub: Rc<Hub>, connection_id: ConnectionId, stream: TcpStream) {
    let output = SharedOutput::default();
    hub.sockets.borrow_mut().outputs.insert(connection_id, output.clone());
    hub.executor
        .spawn(async move {
            if let Ok(stream) = Stream::new(stream) {
                let on_received = |received: Received| {
                    hub.with_node(|node, now, sockets| {
                        match received {
                            Received::More(bytes) => node.client_data(now, connection_id, bytes, sockets),
                            Received::Closing(bytes) => {
                                node.client_data_after_close(now, connection_id, bytes, sockets)
                            }
                            Received::Closed(bytes) => {
                                node.client_final_data(now, connection_id, bytes, sockets)
                            }
                        }
                        if node.has_unhandled_messages(connection_id) {
                            Handled::Part
                        } else {
                            Handled::All
                        }
                    })
                };
                let lingering = hub.sockets.borrow().lingering.clone();
                run_connection(stream, &output, on_received, &CLIENT_LIMITS, &lingering).await;
            }
            hub.sockets.borrow_mut().outputs.remove(&connection_id);
            hub.with_node(|node, now, sockets| node.client_closed(now, connection_id, sockets));
        })
        .detach();
}

/// Opens a connection to a server and runs it until it ends.
pub(crate) async fn serve_server(
    hub: Rc<Hub>,
    connection_id: ConnectionId,
    address: Option<SocketAddr>,
    connect_timeout: Ms,
    output: SharedOutput,
) {
    let loss = match connect(address, connect_timeout, &output).await {
        Ok(stream) => {
            _ = stream.get_ref().set_nodelay(true);
            hub.with_node(|node, now, sockets| node.server_connected(now, connection_id, sockets));
            let on_received = |received: Received| {
                let (Received::More(bytes) | Received::Closing(bytes) | Received::Closed(bytes)) = received;
                if !bytes.is_empty() {
                    hub.with_node(|node, now, sockets| node.server_data(now, connection_id, bytes, sockets));
                }
                Handled::All
            };
            let lingering = hub.sockets.borrow().lingering.clone();
            match run_connection(stream, &output, on_received, &SERVER_LIMITS, &lingering).await {
                Ending::Closed => ConnectionLoss::Closed,
                Ending::Broken => ConnectionLoss::Reset,
                Ending::ClosedHere => ConnectionLoss::ClosedHere,
            }
        }
        Err(loss) => loss,
    };
    hub.sockets.borrow_mut().outputs.remove(&connection_id);
    hub.with_node(|node, now, sockets| node.server_disconnected(now, connection_id, loss, sockets));
}

async fn connect(
    address: Option<SocketAddr>,
    connect_timeout: Ms,
    output: &SharedOutput,
) -> Result<Stream, ConnectionLoss> {
    let address = address.ok_or(ConnectionLoss::TimedOut)?;
    let connecting = async {
        Stream::connect(address).await.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ConnectionLoss::Refused,
            ErrorKind::AddrNotAvailable => ConnectionLoss::LocalFault,
            _ if matches!(error.raw_os_error(), Some(ENFILE | EMFILE)) => ConnectionLoss::LocalFault,
            _ => ConnectionLoss::TimedOut,
        })
    };
    let timeout = async {
        Timer::after(Duration::from_secs_f64(connect_timeout.0.clamp(1.0, MAX_CONNECT_TIMEOUT_MS) / 1e3))
            .await;
        Err(ConnectionLoss::TimedOut)
    };
    // The connection was closed before it came up; nobody waits for it.
    let cancelled = poll_fn(|context| {
        let mut output = output.borrow_mut();
        if output.closing {
            return Poll::Ready(Err(ConnectionLoss::TimedOut));
        }
        output.waker = Some(context.waker().clone());
        Poll::Pending
    });
    futures_lite::future::or(connecting, futures_lite::future::or(timeout, cancelled)).await
}
