//! Cuts a server off for a while: new connections never come up, since its queue is full and the system drops what else comes.

use super::Server;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// The connections that fill the queue.
#[derive(Default)]
struct Fillers {
    streams: Vec<TcpStream>,
}

impl Fillers {
    /// Fills the listener's queue. Whoever accepts must stand still already.
    fn fill(listener: &TcpListener, address: SocketAddr) -> Fillers {
        set_backlog(listener, 0);
        let mut streams = Vec::new();
        // Whoever accepts may take one out of the queue that had just filled it.
        let mut failed = 0;
        while streams.len() < 16 && failed < 2 {
            match TcpStream::connect_timeout(&address, Duration::from_millis(40)) {
                Ok(stream) => streams.push(stream),
                Err(_) => failed += 1,
            }
        }
        Fillers { streams }
    }

    /// Lets connections come up again.
    fn end(&mut self, listener: &TcpListener) {
        set_backlog(listener, 128);
        self.streams.clear();
    }

    /// The addresses that they come from.
    fn addresses(&self) -> Vec<SocketAddr> {
        self.streams.iter().filter_map(|stream| stream.local_addr().ok()).collect()
    }
}

fn set_backlog(listener: &TcpListener, backlog: i32) {
    // SAFETY: the descriptor is open as long as `listener`; listening again changes the length of its queue only.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

impl Server {
    /// Cuts the machine off for this time: it is silent, and new connections never come up.
    pub fn cut_off(&self, time: Duration) {
        let began = Instant::now();
        self.state().cut = true;
        let mut fillers = Fillers::fill(&self.listener, self.address);
        self.state().fillers = fillers.addresses();
        self.record.note(&self.id, "is cut off");
        thread::sleep(time.saturating_sub(began.elapsed()));
        fillers.end(&self.listener);
        let mut state = self.state();
        state.cut = false;
        self.record.note(&self.id, "can be reached again");
        for (connection, line) in std::mem::take(&mut state.held) {
            self.send(&mut state, connection, &line);
        }
    }

    /// Nothing gets through while the server is cut off.
    pub(super) fn wait_while_cut_off(&self) {
        while self.state().cut {
            thread::sleep(Duration::from_millis(5));
        }
    }
}
