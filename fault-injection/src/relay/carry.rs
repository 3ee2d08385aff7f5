//! How one connection is carried, piece by piece in each direction.

use super::line::Line;
use crate::impairment::Direction;
use futures_lite::future::{or, try_zip};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ottersail_net::{Stream, Timer};
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Pieces of a connection under way in one direction, and the bytes of each; past that the sender is held up.
const PIECES: usize = 32;
const PIECE: usize = 4_096;

/// Its end is a reset.
pub(super) fn reset(socket: &TcpStream) {
    _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Carries a connection to its end, or resets it on both sides.
pub(super) async fn carry(near: TcpStream, line: &Line) {
    let (near, far) = match (Stream::new(near), Stream::connect(line.to).await) {
        (Ok(near), Ok(far)) => (near, far),
        (Ok(near), _) => return reset(near.get_ref()),
        _ => return,
    };
    _ = (near.get_ref().set_nodelay(true), far.get_ref().set_nodelay(true));
    let sockets = [near.share(), far.share()];
    let ((near_in, near_out), (far_in, far_out)) =
        (futures_lite::io::split(near), futures_lite::io::split(far));
    let both = try_zip(
        pump(near_in, far_out, &sockets[0], line, Direction::Forward),
        pump(far_in, near_out, &sockets[1], line, Direction::Reverse),
    );
    let resets = async {
        line.until(|it| it.any(|it| it.reset)).await;
        Err(Error::from(ErrorKind::ConnectionReset))
    };
    if or(async { both.await.map(|_| ()) }, resets).await.is_err() {
        sockets.iter().for_each(|it| reset(it));
    }
}

/// What goes over one direction of a connection.
enum Piece {
    Bytes {
        bytes: Vec<u8>,
        /// It was lost at first, or met a cut wire: only who still has the connection sends it again.
        again: bool,
    },
    End,
    Reset,
}

/// Carries one direction to its end, which is a piece like the others.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    sender: &TcpStream,
    line: &Line,
    way: Direction,
) -> Result<()> {
    let (put, take) = async_channel::bounded::<(Instant, Piece)>(PIECES);
    // Who looks first takes the socket's error away.
    let gone = Cell::new(false);
    let is_cut = || line.ways[way as usize].borrow().condition().cut;
    let reads = async {
        let mut bytes = [0; PIECE];
        loop {
            let read = from.read(&mut bytes).await;
            let met_cut = is_cut();
            line.passes(way).await;
            let (due, lost) =
                line.ways[way as usize].borrow_mut().send_chunk(line.began.elapsed().as_secs_f64() * 1e3);
            let due = line.began + Duration::from_secs_f64(due / 1e3);
            let piece = match read {
                Ok(0) => Piece::End,
                Ok(count) => Piece::Bytes { bytes: bytes[..count].to_vec(), again: met_cut || lost },
                Err(_) => {
                    gone.set(true);
                    Piece::Reset
                }
            };
            let last = !matches!(piece, Piece::Bytes { .. });
            if put.send((due, piece)).await.is_err() || last {
                return Ok(());
            }
        }
    };
    let writes = async {
        while let Ok((due, piece)) = take.recv().await {
            if due > Instant::now() {
                Timer::at(due).await;
            }
            let met_cut = is_cut();
            line.passes(way).await;
            let reset = sender.take_error().map_or(true, |it| it.is_some());
            gone.set(gone.get() || reset);
            match piece {
                Piece::Bytes { again, .. } if gone.get() && (again || met_cut) => {
                    return Err(ErrorKind::ConnectionReset.into());
                }
                Piece::Bytes { bytes, .. } => to.write_all(&bytes).await?,
                Piece::End => return to.close().await,
                Piece::Reset => return Err(ErrorKind::ConnectionReset.into()),
            }
        }
        Ok(())
    };
    try_zip(reads, writes).await.map(|_| ())
}
