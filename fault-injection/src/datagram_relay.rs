//! Wires for the datagrams between members of a group. Each member is known to the others by an address here;
//! what comes to it is sent on from the address of who sent it, so that answers take the same way.

use crate::error::FaultInjectionError;
use crate::impairment::{ImpairedLink, NetworkCondition};
use ottersail_net::{Datagrams, Executor, TaskGroup, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The largest datagram that is carried, and those on their way at once; one more is lost.
const LARGEST: usize = 2_048;
const MOST_HELD: usize = 65_536;

pub struct DatagramRelay {
    inner: Rc<Inner>,
    /// Dropping it closes everything.
    _tasks: TaskGroup,
}

struct Inner {
    began: Instant,
    seed: u64,
    sockets: Vec<Datagrams>,
    members: Vec<SocketAddr>,
    numbers: BTreeMap<SocketAddr, usize>,
    wires: RefCell<BTreeMap<(usize, usize), ImpairedLink>>,
    held: Cell<usize>,
    unknown_senders: Cell<u64>,
    delayed: TaskGroup,
}

impl DatagramRelay {
    /// Wires between all members, who send from where they listen.
    ///
    /// # Errors
    /// If no addresses can be had on loopback.
    pub fn start(
        exec: Executor,
        members: Vec<SocketAddr>,
        seed: u64,
    ) -> Result<DatagramRelay, FaultInjectionError> {
        let no_address = FaultInjectionError::no_address("datagram relay");
        let socket = |_: &SocketAddr| Datagrams::bind((Ipv4Addr::LOCALHOST, 0).into());
        let sockets = members.iter().map(socket).collect::<Result<Vec<_>, _>>().map_err(no_address)?;
        let inner = Rc::new(Inner {
            began: Instant::now(),
            seed,
            sockets,
            numbers: members.iter().enumerate().map(|it| (*it.1, it.0)).collect(),
            members,
            wires: RefCell::default(),
            held: Cell::new(0),
            unknown_senders: Cell::new(0),
            delayed: TaskGroup::new(exec),
        });
        let tasks = TaskGroup::new(exec);
        for to in 0..inner.members.len() {
            let inner = inner.clone();
            tasks.spawn(async move { carry(&inner, to).await });
        }
        Ok(DatagramRelay { inner, _tasks: tasks })
    }

    /// Where the others find a member.
    ///
    /// # Errors
    /// If there is no such member, or the system can't tell.
    pub fn address(&self, member: usize) -> Result<SocketAddr, FaultInjectionError> {
        let none = || std::io::ErrorKind::NotFound.into();
        let told = self.inner.sockets.get(member).ok_or_else(none).and_then(|it| it.get_ref().local_addr());
        told.map_err(|cause| FaultInjectionError::MemberAddress { member, cause })
    }

    /// How what one member sends to another is carried from now on.
    pub fn set_condition(&self, from: usize, to: usize, condition: NetworkCondition) {
        self.inner.with_wire(from, to, |it| it.set_condition(condition));
    }

    /// Datagrams of nobody known, which went no further.
    pub fn unknown_senders(&self) -> u64 {
        self.inner.unknown_senders.get()
    }
}

impl Inner {
    fn with_wire<T>(&self, from: usize, to: usize, what: impl FnOnce(&mut ImpairedLink) -> T) -> T {
        let seed = self.seed.wrapping_mul(1_000_003) + (from * 4_099 + to) as u64;
        what(self.wires.borrow_mut().entry((from, to)).or_insert_with(|| ImpairedLink::new(seed)))
    }
}

async fn carry(inner: &Rc<Inner>, to: usize) {
    let mut bytes = [0; LARGEST];
    loop {
        let Ok((count, source)) = inner.sockets[to].receive(&mut bytes).await else {
            Timer::after(Duration::from_millis(5)).await;
            continue;
        };
        let Some(from) = inner.numbers.get(&source).copied() else {
            inner.unknown_senders.set(inner.unknown_senders.get() + 1);
            continue;
        };
        let now = inner.began.elapsed().as_secs_f64() * 1e3;
        for due in inner.with_wire(from, to, |it| it.send_datagram(now)) {
            if due <= now {
                inner.sockets[from].send(&bytes[..count], inner.members[to]);
            } else if inner.held.get() < MOST_HELD {
                inner.held.set(inner.held.get() + 1);
                let (later, bytes) = (inner.clone(), bytes[..count].to_vec());
                inner.delayed.spawn(async move {
                    Timer::at(later.began + Duration::from_secs_f64(due / 1e3)).await;
                    later.sockets[from].send(&bytes, later.members[to]);
                    later.held.set(later.held.get() - 1);
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_net::{block_on, executor};

    #[test]
    fn answers_take_the_way_back_and_each_way_is_apart() {
        let exec = executor();
        block_on(exec.run(async {
            let member = || Datagrams::bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
            let (a, b) = (member(), member());
            let addresses = [&a, &b].map(|it| it.get_ref().local_addr().unwrap());
            let exchange = DatagramRelay::start(exec, addresses.to_vec(), 3).unwrap();
            let (a_there, b_there) = (exchange.address(0).unwrap(), exchange.address(1).unwrap());
            let hear = |at: &'static str, it: &Datagrams| {
                let mut bytes = [0; 64];
                let socket = it.get_ref().try_clone().unwrap();
                let it = Datagrams::new(socket).unwrap();
                async move {
                    futures_lite::future::or(
                        async {
                            it.receive(&mut bytes)
                                .await
                                .ok()
                                .map(|(count, from)| (bytes[..count].to_vec(), from))
                        },
                        async {
                            Timer::after(Duration::from_millis(100)).await;
                            None
                        },
                    )
                    .await
                    .map(|(bytes, from)| (String::from_utf8(bytes).unwrap(), from, at))
                }
            };
            a.send(b"ping", b_there);
            let heard = hear("b", &b).await.unwrap();
            assert_eq!(
                (heard.0.as_str(), heard.1),
                ("ping", a_there),
                "it comes from where its sender is known"
            );
            b.send(b"pong", a_there);
            assert_eq!(hear("a", &a).await.unwrap().0, "pong");
            exchange.set_condition(0, 1, NetworkCondition { cut: true, ..NetworkCondition::default() });
            a.send(b"ping", b_there);
            assert_eq!(hear("b", &b).await, None);
            b.send(b"pong", a_there);
            assert_eq!(hear("a", &a).await.unwrap().0, "pong", "the other way is whole");
            exchange.set_condition(
                0,
                1,
                NetworkCondition { delay_ms: 30.0, duplicate_rate: 1.0, ..NetworkCondition::default() },
            );
            let began = Instant::now();
            a.send(b"slow", b_there);
            assert_eq!(hear("b", &b).await.unwrap().0, "slow");
            assert!(began.elapsed() >= Duration::from_millis(30));
            assert_eq!(hear("b", &b).await.unwrap().0, "slow", "it comes twice");
            member().send(b"who", b_there);
            assert_eq!(hear("b", &b).await, None);
            assert_eq!(exchange.unknown_senders(), 1);
        }));
    }
}
