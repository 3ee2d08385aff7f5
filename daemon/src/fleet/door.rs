//! The second way to a member: its own HTTP address, which it tells as a rider of its datagrams.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ottersail_members::{Address, Known, MemberId, Topic};
use ottersail_net::{Stream, Timer};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// The rider that tells a door.
pub(super) const TOPIC: Topic = Topic(0);
/// Knocks that are out at once: a member with half the cluster cut off may not take a descriptor for each.
const MOST_OUT: usize = 16;

/// Where a member answers HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Door(SocketAddrV4);

impl Door {
    /// Of a manager that listens there; one that listens at any address has the door at its advertised one.
    pub fn of(listen: &str, advertise: Address) -> Option<Door> {
        let SocketAddr::V4(at) = listen.parse().ok()? else {
            return None;
        };
        let ip = if at.ip().is_unspecified() { *advertise.ip() } else { *at.ip() };
        Some(Door(SocketAddrV4::new(ip, at.port())))
    }

    pub fn bytes(self) -> [u8; 6] {
        let ([a, b, c, d], [high, low]) = (self.0.ip().octets(), self.0.port().to_be_bytes());
        [a, b, c, d, high, low]
    }

    pub fn at(address: Address) -> Door {
        Door(address)
    }

    /// What that member has told.
    pub fn read((_, known): (&MemberId, &Known)) -> Option<Door> {
        let [a, b, c, d, high, low] = *<&[u8; 6]>::try_from(known.riders.get(&TOPIC)?.as_slice()).ok()?;
        let port = u16::from_be_bytes([high, low]);
        Some(Door(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port)))
    }
}

/// Knocks that are out.
#[derive(Clone, Debug, Default)]
pub(super) struct Knocks(Rc<Cell<usize>>);

/// One that is out until it is dropped.
pub(super) struct Out(Rc<Cell<usize>>);

impl Knocks {
    pub fn one_more(&self) -> Option<Out> {
        let out = self.0.get();
        (out < MOST_OUT).then(|| {
            self.0.set(out + 1);
            Out(self.0.clone())
        })
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Whether the process there answers within `patience`. That its system takes the connection says nothing: it
/// does so for a process that stands still as well.
pub(super) async fn knock(door: Door, patience: Duration) -> bool {
    let ask = async {
        let mut stream = Stream::connect(SocketAddr::V4(door.0)).await.ok()?;
        let request = format!("HEAD /ready HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", door.0);
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut first = [0; 5];
        stream.read_exact(&mut first).await.ok()?;
        (&first == b"HTTP/").then_some(())
    };
    let over = async {
        Timer::after(patience).await;
        None
    };
    futures_lite::future::or(ask, over).await.is_some()
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_net::{block_on, executor};
    use std::io::Write;
    use std::net::TcpListener;
    use test_case::test_case;

    fn at(text: &str) -> Address {
        text.parse().unwrap()
    }

    #[test_case("127.0.0.1:80", Some("127.0.0.1:80"); "its own")]
    #[test_case("0.0.0.0:80", Some("10.0.0.9:80"); "any address")]
    #[test_case("[::1]:80", None; "not IPv4")]
    fn a_door_is_where_the_manager_listens(listen: &str, expected: Option<&str>) {
        assert_eq!(Door::of(listen, at("10.0.0.9:7946")), expected.map(|it| Door(at(it))));
    }

    #[test]
    fn so_many_knocks_are_out_and_no_more() {
        let knocks = Knocks::default();
        let mut out: Vec<Out> = (0..MOST_OUT).filter_map(|_| knocks.one_more()).collect();
        assert!(out.len() == MOST_OUT && knocks.one_more().is_none());
        out.pop();
        assert!(knocks.one_more().is_some());
    }

    #[test_case(b"HTTP/1.1 503 x\r\n\r\n", true; "not ready is up")]
    #[test_case(b"SSH-2.0", false; "something else")]
    #[test_case(b"", false; "a process that stands still, whose system takes connections")]
    fn up_is_who_answers(answer: &'static [u8], expected: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let door = Door::of(&listener.local_addr().unwrap().to_string(), at("127.0.0.1:1")).unwrap();
        if !answer.is_empty() {
            let listener = listener.try_clone().unwrap();
            std::thread::spawn(move || listener.accept().unwrap().0.write_all(answer));
        }
        let exec = executor();
        let up = block_on(exec.run(knock(door, Duration::from_millis(400))));
        assert_eq!(up, expected);
    }
}
