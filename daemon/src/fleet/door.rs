//! The second way to a member: its own HTTP address, which it tells as a rider of its datagrams.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ottersail_membership::{Address, MemberId, MemberView, Topic};
use ottersail_net::{Stream, Timer};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// The rider that tells a door.
pub(super) const TOPIC: Topic = Topic(0);
/// Knocks that are out at once: a member with half the cluster cut off may not take a descriptor for each.
const MOST_OUT: usize = 16;

/// Doors that are kept whoever told them; only who holds the keys can.
const MOST_DOORS: usize = 1_024;

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

    fn read(bytes: &[u8]) -> Option<Door> {
        let [a, b, c, d, high, low] = *<&[u8; 6]>::try_from(bytes).ok()?;
        Some(Door(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low]))))
    }

    fn carried(known: &MemberView) -> Option<Door> {
        Door::read(known.piggybacks.get(&TOPIC)?)
    }
}

/// The doors that members told as soon as they knew of this one; riders tell them again with each probe.
#[derive(Debug, Default)]
pub(super) struct Doors(BTreeMap<MemberId, Door>);

impl Doors {
    /// Heard of that member; what is no door is passed over.
    pub fn hear(&mut self, from: MemberId, bytes: &[u8]) {
        if let Some(door) = Door::read(bytes) {
            self.0.insert(from, door);
        }
    }

    /// Once there are many, those of members that are not known are given up. Not before: one that comes in
    /// may tell its door before anybody has told of it.
    pub fn keep<'a>(&mut self, roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>) {
        if self.0.len() <= MOST_DOORS {
            return;
        }
        let known: BTreeSet<&MemberId> = roster.map(|it| it.0).collect();
        self.0.retain(|id, _| known.contains(id));
    }

    pub fn of<'a>(
        &self,
        id: MemberId,
        mut roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>,
    ) -> Option<Door> {
        let told = self.0.get(&id).copied();
        told.or_else(|| Door::carried(roster.find(|it| *it.0 == id)?.1))
    }

    /// How many of the members have told theirs.
    pub fn count<'a>(&self, roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>) -> usize {
        roster.filter(|(id, known)| self.0.contains_key(id) || Door::carried(known).is_some()).count()
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

/// The header by which a member says who it is.
pub const MEMBER_HEADER: &str = "ottersail-member";
/// An answer's head, as far as it is read.
const MOST_HEAD: usize = 2_048;

/// Whether that member is the one who answers.
fn is_of(head: &[u8], id: MemberId) -> bool {
    let head = String::from_utf8_lossy(head);
    let named = |line: &str| {
        let told = line.split_once(':').filter(|it| it.0.eq_ignore_ascii_case(MEMBER_HEADER));
        told.is_some_and(|it| it.1.trim() == id.to_string())
    };
    head.starts_with("HTTP/") && head.lines().any(named)
}

/// Whether that member's process answers there within `patience`. That its system takes the connection says
/// nothing: it does so for a process that stands still as well. Nor does an answer alone: the address may be
/// another's by now. Symptom without the name: one that was killed is never buried, since the member of
/// another cluster that got its address answers in its place.
pub(super) async fn knock(door: Door, id: MemberId, patience: Duration) -> bool {
    let ask = async {
        let mut stream = Stream::connect(SocketAddr::V4(door.0)).await.ok()?;
        let request = format!("HEAD /ready HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", door.0);
        stream.write_all(request.as_bytes()).await.ok()?;
        let (mut head, mut piece) = (Vec::new(), [0; 256]);
        while head.len() < MOST_HEAD && !is_of(&head, id) {
            let count = stream.read(&mut piece).await.ok().filter(|it| *it > 0)?;
            head.extend_from_slice(&piece[..count]);
        }
        is_of(&head, id).then_some(())
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
    fn a_door_that_was_told_is_kept_and_so_many_at_most() {
        let (mut doors, door) = (Doors::default(), Door(at("10.0.0.9:80")));
        doors.hear(MemberId(1), &door.bytes());
        doors.hear(MemberId(2), b"none");
        let none = || std::iter::empty::<(&MemberId, &MemberView)>();
        doors.keep(none());
        assert_eq!([1, 2].map(|it| doors.of(MemberId(it), none())), [Some(door), None]);
        (0..MOST_DOORS as u64).for_each(|it| doors.hear(MemberId(3 + it), &door.bytes()));
        doors.keep(none());
        assert_eq!((doors.of(MemberId(1), none()), doors.0.len()), (None, 0));
    }

    #[test]
    fn so_many_knocks_are_out_and_no_more() {
        let knocks = Knocks::default();
        let mut out: Vec<Out> = (0..MOST_OUT).filter_map(|_| knocks.one_more()).collect();
        assert!(out.len() == MOST_OUT && knocks.one_more().is_none());
        out.pop();
        assert!(knocks.one_more().is_some());
    }

    #[test_case(b"HTTP/1.1 503 x\r\nOttersail-Member: 00000000000000a1\r\n\r\n", true; "not ready is up")]
    #[test_case(b"HTTP/1.1 200 OK\r\nottersail-member: 00000000000000a2\r\n\r\n", false; "another member")]
    #[test_case(b"HTTP/1.1 200 OK\r\n\r\n", false; "no member")]
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
        let up = block_on(exec.run(knock(door, MemberId(0xa1), Duration::from_millis(400))));
        assert_eq!(up, expected);
    }
}
