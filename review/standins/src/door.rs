//! A proxy in front of a video server. It can refuse new connections while those that are open go on, and it can hold
//! what is sent in both directions.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(1);

#[derive(Default)]
struct State {
    /// The server takes no further connection.
    full: AtomicBool,
    /// The server stands still: connections come up, and nothing passes.
    held: AtomicBool,
    open: AtomicUsize,
}

#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    name: String,
    record: Record,
    state: Arc<State>,
}

impl Door {
    pub fn start(name: &str, server: SocketAddr, record: &Record) -> Door {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let door = Door { address, name: name.into(), record: record.clone(), state: Arc::default() };
        let accepting = door.clone();
        thread::spawn(move || accepting.accept(listener, server));
        door
    }

    /// From now on the server takes no further connection, or takes them again.
    pub fn set_full(&self, full: bool) {
        let open = self.state.open.load(Ordering::SeqCst);
        let what = if full { "takes no further connection" } else { "takes connections again" };
        self.record.note(&self.name, &format!("{what}; {open} of this manager are open"));
        self.state.full.store(full, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
    }

    /// The server stands still from now on, or goes on.
    pub fn hold(&self, held: bool) {
        self.record.note(&self.name, if held { "stands still" } else { "goes on" });
        self.state.held.store(held, Ordering::SeqCst);
    }

    fn accept(&self, listener: TcpListener, server: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.state.full.load(Ordering::SeqCst) {
                listener = None;
            } else {
                let open = listener.get_or_insert_with(|| listen(self.address));
                while let Ok((near, _)) = open.accept() {
                    self.relay(near, server);
                }
            }
            thread::sleep(TICK);
        }
    }

    fn relay(&self, near: TcpStream, server: SocketAddr) {
        let Ok(far) = TcpStream::connect(server) else { return };
        _ = (near.set_nonblocking(false), near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { return };
        self.state.open.fetch_add(1, Ordering::SeqCst);
        let (to_server, from_server) = (self.clone(), self.clone());
        thread::spawn(move || {
            to_server.copy(near, far);
            to_server.state.open.fetch_sub(1, Ordering::SeqCst);
        });
        thread::spawn(move || from_server.copy(far_2, near_2));
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 4096];
        loop {
            let read = from.read(&mut bytes);
            while self.state.held.load(Ordering::SeqCst) {
                thread::sleep(TICK);
            }
            match read {
                Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
                Ok(0) => {
                    _ = to.shutdown(Shutdown::Write);
                    return;
                }
                _ => {
                    _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                    return;
                }
            }
        }
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .unwrap_or_else(|error| crate::cannot_run(&format!("{address}: {error}")));
    listener
}
