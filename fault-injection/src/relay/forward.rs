//! Forwards one connection, chunk by chunk in each direction.

use super::connection_path::ConnectionPath;
use crate::impairment::Direction;
use futures_lite::future::{or, try_zip};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ottersail_net::{Stream, Timer};
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How many chunks of a connection are queued in one direction; with more the sender is blocked.
const MAX_QUEUED_CHUNKS: usize = 32;
/// The largest size of a chunk.
const MAX_CHUNK_BYTES: usize = 4_096;

/// Makes the socket send a TCP reset when it is closed, instead of closing the connection in order.
pub(super) fn reset_on_close(socket: &TcpStream) {
    _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Connects to the target and forwards a client's connection until it ends. If forwarding fails or a reset is
/// injected, both sides are reset.
pub(super) async fn forward_connection(client: TcpStream, path: &ConnectionPath) {
    let (client, target) = match (Stream::new(client), Stream::connect(path.target).await) {
        (Ok(client), Ok(target)) => (client, target),
        (Ok(client), _) => return reset_on_close(client.get_ref()),
        _ => return,
    };
    _ = (client.get_ref().set_nodelay(true), target.get_ref().set_nodelay(true));
    let sockets = [client.share(), target.share()];
    let ((client_reader, client_writer), (target_reader, target_writer)) =
        (futures_lite::io::split(client), futures_lite::io::split(target));
    let both_directions = try_zip(
        forward_direction(client_reader, target_writer, &sockets[0], path, Direction::Forward),
        forward_direction(target_reader, client_writer, &sockets[1], path, Direction::Reverse),
    );
    let injected_reset = async {
        path.wait_until(|path| path.any_direction(|condition| condition.reset)).await;
        Err(Error::from(ErrorKind::ConnectionReset))
    };
    if or(async { both_directions.await.map(|_| ()) }, injected_reset).await.is_err() {
        sockets.iter().for_each(|socket| reset_on_close(socket));
    }
}

/// What is forwarded in one direction of a connection.
enum Chunk {
    Data {
        bytes: Vec<u8>,
        /// The data was lost at first or read during a cut. It arrives only if the sender can still retransmit
        /// it, that is, has not reset the connection.
        needs_retransmission: bool,
    },
    /// The sender closed its side in order.
    End,
    /// Reading from the sender failed.
    Reset,
}

/// Forwards one direction until the sender closes or resets it. The end is queued and delayed like data.
async fn forward_direction(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    sender: &TcpStream,
    path: &ConnectionPath,
    direction: Direction,
) -> Result<()> {
    let (queue, queued) = async_channel::bounded::<(Instant, Chunk)>(MAX_QUEUED_CHUNKS);
    // Reading the socket's error clears it, so whichever loop sees it first records it here for both.
    let sender_reset = Cell::new(false);
    let read_loop = async {
        let mut buffer = [0; MAX_CHUNK_BYTES];
        loop {
            let read = reader.read(&mut buffer).await;
            let read_during_cut = path.is_cut(direction);
            path.wait_until_not_cut(direction).await;
            let (arrival_ms, lost) = path.links[direction as usize]
                .borrow_mut()
                .send_chunk(path.started.elapsed().as_secs_f64() * 1e3);
            let arrival = path.started + Duration::from_secs_f64(arrival_ms / 1e3);
            let chunk = match read {
                Ok(0) => Chunk::End,
                Ok(length) => Chunk::Data {
                    bytes: buffer[..length].to_vec(),
                    needs_retransmission: read_during_cut || lost,
                },
                Err(_) => {
                    sender_reset.set(true);
                    Chunk::Reset
                }
            };
            let is_last = !matches!(chunk, Chunk::Data { .. });
            if queue.send((arrival, chunk)).await.is_err() || is_last {
                return Ok(());
            }
        }
    };
    let write_loop = async {
        while let Ok((arrival, chunk)) = queued.recv().await {
            if arrival > Instant::now() {
                Timer::at(arrival).await;
            }
            let due_during_cut = path.is_cut(direction);
            path.wait_until_not_cut(direction).await;
            let has_error = sender.take_error().map_or(true, |error| error.is_some());
            sender_reset.set(sender_reset.get() || has_error);
            match chunk {
                Chunk::Data { needs_retransmission, .. }
                    if sender_reset.get() && (needs_retransmission || due_during_cut) =>
                {
                    return Err(ErrorKind::ConnectionReset.into());
                }
                Chunk::Data { bytes, .. } => writer.write_all(&bytes).await?,
                Chunk::End => return writer.close().await,
                Chunk::Reset => return Err(ErrorKind::ConnectionReset.into()),
            }
        }
        Ok(())
    };
    try_zip(read_loop, write_loop).await.map(|_| ())
}
