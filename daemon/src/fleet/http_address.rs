//! HTTP addresses of members, which they announce with their datagrams, and probes of members over HTTP.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ottersail_membership::{Address, MemberId, MemberView, Topic};
use ottersail_net::{Stream, Timer};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// The topic under which a member announces its HTTP address.
pub(super) const TOPIC: Topic = Topic(0);
/// Maximum number of concurrent probes: a member that is cut off from half the cluster must not use a descriptor for
/// each.
const MAX_PROBES: usize = 16;

/// Number of addresses that are kept even if their members are unknown; only holders of the keys can announce one.
const MAX_ADDRESSES: usize = 1_024;

/// Where a member answers HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HttpAddress(SocketAddrV4);

impl HttpAddress {
    /// The address of a manager that listens at `listen`; if that is any address, its advertised one is used.
    pub fn of(listen: &str, advertise: Address) -> Option<HttpAddress> {
        let SocketAddr::V4(address) = listen.parse().ok()? else {
            return None;
        };
        let ip = if address.ip().is_unspecified() { *advertise.ip() } else { *address.ip() };
        Some(HttpAddress(SocketAddrV4::new(ip, address.port())))
    }

    /// The announced form: four octets of the IP address, then the port in network byte order.
    pub fn encode(self) -> [u8; 6] {
        let ([a, b, c, d], [high, low]) = (self.0.ip().octets(), self.0.port().to_be_bytes());
        [a, b, c, d, high, low]
    }

    /// Takes `address` itself as the HTTP address.
    pub fn at(address: Address) -> HttpAddress {
        HttpAddress(address)
    }

    fn decode(bytes: &[u8]) -> Option<HttpAddress> {
        let [a, b, c, d, high, low] = *<&[u8; 6]>::try_from(bytes).ok()?;
        Some(HttpAddress(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low]))))
    }

    fn piggybacked(known: &MemberView) -> Option<HttpAddress> {
        HttpAddress::decode(known.piggybacks.get(&TOPIC)?)
    }
}

/// The addresses that members announced as soon as they knew this one; each probe announces them again.
#[derive(Debug, Default)]
pub(super) struct HttpAddresses(BTreeMap<MemberId, HttpAddress>);

impl HttpAddresses {
    /// Stores the address that a member announced; invalid bytes are ignored.
    pub fn insert(&mut self, from: MemberId, bytes: &[u8]) {
        if let Some(address) = HttpAddress::decode(bytes) {
            self.0.insert(from, address);
        }
    }

    /// Once there are many addresses, drops those of unknown members. Not earlier, since a new member may announce its
    /// address before the roster lists it.
    pub fn prune<'a>(&mut self, roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>) {
        if self.0.len() <= MAX_ADDRESSES {
            return;
        }
        let known: BTreeSet<&MemberId> = roster.map(|(id, _)| id).collect();
        self.0.retain(|id, _| known.contains(id));
    }

    /// The member's HTTP address, if it has announced one.
    pub fn of<'a>(
        &self,
        id: MemberId,
        mut roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>,
    ) -> Option<HttpAddress> {
        let announced = self.0.get(&id).copied();
        announced.or_else(|| HttpAddress::piggybacked(roster.find(|(member, _)| **member == id)?.1))
    }

    /// How many of the members have announced their address.
    pub fn count<'a>(&self, roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>) -> usize {
        roster
            .filter(|(id, known)| self.0.contains_key(id) || HttpAddress::piggybacked(known).is_some())
            .count()
    }
}

/// Limits the number of concurrent probes.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeLimit(Rc<Cell<usize>>);

/// A running probe; it ends when this is dropped.
pub(super) struct ProbeSlot(Rc<Cell<usize>>);

impl ProbeLimit {
    /// Reserves one of [`MAX_PROBES`] probes; `None` if all of them run.
    pub fn acquire(&self) -> Option<ProbeSlot> {
        let running = self.0.get();
        (running < MAX_PROBES).then(|| {
            self.0.set(running + 1);
            ProbeSlot(self.0.clone())
        })
    }
}

impl Drop for ProbeSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The HTTP header in which a member states its id.
pub const MEMBER_HEADER: &str = "ottersail-member";
/// Maximum number of bytes read of an answer's head.
const MAX_HEAD_BYTES: usize = 2_048;

/// Whether the answer comes from that member.
fn names_member(head: &[u8], id: MemberId) -> bool {
    let head = String::from_utf8_lossy(head);
    let named = |line: &str| {
        let header = line.split_once(':').filter(|(name, _)| name.eq_ignore_ascii_case(MEMBER_HEADER));
        header.is_some_and(|(_, value)| value.trim() == id.to_string())
    };
    head.starts_with("HTTP/") && head.lines().any(named)
}

/// Whether that member's process answers there within `patience`. An accepted connection proves nothing, since the
/// operating system accepts it for a paused process too. Neither does an answer alone, since another process may have
/// the address by now. Without the check of the id, a killed member would never be declared dead if a member of another
/// cluster got its address and answered in its place.
pub(super) async fn probe(address: HttpAddress, id: MemberId, patience: Duration) -> bool {
    let ask = async {
        let mut stream = Stream::connect(SocketAddr::V4(address.0)).await.ok()?;
        let request = format!("HEAD /ready HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", address.0);
        stream.write_all(request.as_bytes()).await.ok()?;
        let (mut head, mut piece) = (Vec::new(), [0; 256]);
        while head.len() < MAX_HEAD_BYTES && !names_member(&head, id) {
            let count = stream.read(&mut piece).await.ok().filter(|count| *count > 0)?;
            head.extend_from_slice(&piece[..count]);
        }
        names_member(&head, id).then_some(())
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

    fn address_of(text: &str) -> Address {
        text.parse().unwrap()
    }

    #[test_case("127.0.0.1:80", Some("127.0.0.1:80"); "its own")]
    #[test_case("0.0.0.0:80", Some("10.0.0.9:80"); "any address")]
    #[test_case("[::1]:80", None; "not IPv4")]
    fn a_door_is_where_the_manager_listens(listen: &str, expected: Option<&str>) {
        assert_eq!(
            HttpAddress::of(listen, address_of("10.0.0.9:7946")),
            expected.map(|text| HttpAddress(address_of(text)))
        );
    }

    #[test]
    fn a_door_that_was_told_is_kept_and_so_many_at_most() {
        let (mut addresses, address) = (HttpAddresses::default(), HttpAddress(address_of("10.0.0.9:80")));
        addresses.insert(MemberId(1), &address.encode());
        addresses.insert(MemberId(2), b"none");
        let none = || std::iter::empty::<(&MemberId, &MemberView)>();
        addresses.prune(none());
        assert_eq!([1, 2].map(|id| addresses.of(MemberId(id), none())), [Some(address), None]);
        (0..MAX_ADDRESSES as u64).for_each(|extra| addresses.insert(MemberId(3 + extra), &address.encode()));
        addresses.prune(none());
        assert_eq!((addresses.of(MemberId(1), none()), addresses.0.len()), (None, 0));
    }

    #[test]
    fn the_number_of_concurrent_probes_is_limited() {
        let probe_limit = ProbeLimit::default();
        let mut running: Vec<ProbeSlot> = (0..MAX_PROBES).filter_map(|_| probe_limit.acquire()).collect();
        assert!(running.len() == MAX_PROBES && probe_limit.acquire().is_none());
        running.pop();
        assert!(probe_limit.acquire().is_some());
    }

    #[test_case(b"HTTP/1.1 503 x\r\nOttersail-Member: 00000000000000a1\r\n\r\n", true; "not ready is up")]
    #[test_case(b"HTTP/1.1 200 OK\r\nottersail-member: 00000000000000a2\r\n\r\n", false; "another member")]
    #[test_case(b"HTTP/1.1 200 OK\r\n\r\n", false; "no member")]
    #[test_case(b"SSH-2.0", false; "something else")]
    #[test_case(b"", false; "a paused process whose operating system accepts connections")]
    fn a_probe_succeeds_only_if_the_answer_names_the_member(answer: &'static [u8], expected: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address =
            HttpAddress::of(&listener.local_addr().unwrap().to_string(), address_of("127.0.0.1:1")).unwrap();
        if !answer.is_empty() {
            let listener = listener.try_clone().unwrap();
            std::thread::spawn(move || listener.accept().unwrap().0.write_all(answer));
        }
        let exec = executor();
        let up = block_on(exec.run(probe(address, MemberId(0xa1), Duration::from_millis(400))));
        assert_eq!(up, expected);
    }
}
