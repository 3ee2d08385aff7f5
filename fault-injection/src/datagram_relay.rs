//! Relays the UDP datagrams between the members of a group. The relay has one address for each member, which
//! the others send to. It forwards a datagram from the address that it has for the sender, so that replies go
//! through the relay too.

use crate::error::FaultInjectionError;
use crate::impairment::{ImpairedLink, NetworkCondition};
use ottersail_net::{Datagrams, Executor, TaskGroup, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Size of the receive buffer; the largest datagram that is relayed whole.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// How many delayed datagrams are held at once; any further one is dropped.
const MAX_DELAYED_DATAGRAMS: usize = 65_536;
/// Pause after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Relays datagrams between members, with a network condition for each ordered pair of members.
pub struct DatagramRelay {
    state: Rc<State>,
    /// The forwarding tasks; dropping the group ends them.
    _tasks: TaskGroup,
}

struct State {
    started: Instant,
    seed: u64,
    /// The relay's socket for each member.
    sockets: Vec<Datagrams>,
    /// The address that each member listens on and sends from.
    member_addresses: Vec<SocketAddr>,
    member_indices: BTreeMap<SocketAddr, usize>,
    /// The links that are in use, by the indices of sender and receiver.
    links: RefCell<BTreeMap<(usize, usize), ImpairedLink>>,
    delayed_count: Cell<usize>,
    unknown_senders: Cell<u64>,
    delayed: TaskGroup,
}

impl DatagramRelay {
    /// Starts a relay between all `members`, given by the address that each listens on and sends from.
    ///
    /// # Errors
    /// If no socket can be bound on loopback.
    pub fn start(
        exec: Executor,
        members: Vec<SocketAddr>,
        seed: u64,
    ) -> Result<DatagramRelay, FaultInjectionError> {
        let no_address = FaultInjectionError::no_address("datagram relay");
        let socket = |_: &SocketAddr| Datagrams::bind((Ipv4Addr::LOCALHOST, 0).into());
        let sockets = members.iter().map(socket).collect::<Result<Vec<_>, _>>().map_err(no_address)?;
        let state = Rc::new(State {
            started: Instant::now(),
            seed,
            sockets,
            member_indices: members.iter().enumerate().map(|(index, address)| (*address, index)).collect(),
            member_addresses: members,
            links: RefCell::default(),
            delayed_count: Cell::new(0),
            unknown_senders: Cell::new(0),
            delayed: TaskGroup::new(exec),
        });
        let tasks = TaskGroup::new(exec);
        for receiver in 0..state.member_addresses.len() {
            let state = state.clone();
            tasks.spawn(async move { forward_to(&state, receiver).await });
        }
        Ok(DatagramRelay { state, _tasks: tasks })
    }

    /// The relay's address for a member, which the other members send to.
    ///
    /// # Errors
    /// If there is no such member, or the operating system can't tell the address.
    pub fn address(&self, member: usize) -> Result<SocketAddr, FaultInjectionError> {
        let not_found = || std::io::ErrorKind::NotFound.into();
        let socket = self.state.sockets.get(member).ok_or_else(not_found);
        let address = socket.and_then(|socket| socket.get_ref().local_addr());
        address.map_err(|cause| FaultInjectionError::MemberAddress { member, cause })
    }

    /// Sets the condition for datagrams that member `from` sends to member `to` from now on.
    pub fn set_condition(&self, from: usize, to: usize, condition: NetworkCondition) {
        self.state.with_link(from, to, |link| link.set_condition(condition));
    }

    /// How many datagrams were dropped because their source address is not a member's.
    pub fn unknown_senders(&self) -> u64 {
        self.state.unknown_senders.get()
    }
}

impl State {
    /// Calls `action` with the link between two members, which is created at first use.
    fn with_link<T>(&self, from: usize, to: usize, action: impl FnOnce(&mut ImpairedLink) -> T) -> T {
        // The factors give each ordered pair of members its own sequence of random numbers.
        let seed = self.seed.wrapping_mul(1_000_003) + (from * 4_099 + to) as u64;
        action(self.links.borrow_mut().entry((from, to)).or_insert_with(|| ImpairedLink::new(seed)))
    }
}

/// Forwards the datagrams that are addressed to one member.
async fn forward_to(state: &Rc<State>, receiver: usize) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = state.sockets[receiver].receive(&mut buffer).await else {
            Timer::after(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        let Some(sender) = state.member_indices.get(&source).copied() else {
            state.unknown_senders.set(state.unknown_senders.get() + 1);
            continue;
        };
        let now_ms = state.started.elapsed().as_secs_f64() * 1e3;
        for arrival_ms in state.with_link(sender, receiver, |link| link.send_datagram(now_ms)) {
            if arrival_ms <= now_ms {
                state.sockets[sender].send(&buffer[..length], state.member_addresses[receiver]);
            } else if state.delayed_count.get() < MAX_DELAYED_DATAGRAMS {
                state.delayed_count.set(state.delayed_count.get() + 1);
                let (task_state, datagram) = (state.clone(), buffer[..length].to_vec());
                state.delayed.spawn(async move {
                    Timer::at(task_state.started + Duration::from_secs_f64(arrival_ms / 1e3)).await;
                    task_state.sockets[sender].send(&datagram, task_state.member_addresses[receiver]);
                    task_state.delayed_count.set(task_state.delayed_count.get() - 1);
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_net::{block_on, executor};

    /// The text and the source address of the next datagram, or `None` if none arrives within 100 ms.
    async fn receive(member: &Datagrams) -> Option<(String, SocketAddr)> {
        let member = Datagrams::new(member.get_ref().try_clone().unwrap()).unwrap();
        let mut buffer = [0; 64];
        let received = async {
            member.receive(&mut buffer).await.ok().map(|(length, from)| (buffer[..length].to_vec(), from))
        };
        let timeout = async {
            Timer::after(Duration::from_millis(100)).await;
            None
        };
        let (bytes, from) = futures_lite::future::or(received, timeout).await?;
        Some((String::from_utf8(bytes).unwrap(), from))
    }

    #[test]
    fn replies_go_through_the_relay_and_each_direction_has_its_own_condition() {
        let exec = executor();
        block_on(exec.run(async {
            let member = || Datagrams::bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
            let (first, second) = (member(), member());
            let addresses = [&first, &second].map(|socket| socket.get_ref().local_addr().unwrap());
            let relay = DatagramRelay::start(exec, addresses.to_vec(), 3).unwrap();
            let (to_first, to_second) = (relay.address(0).unwrap(), relay.address(1).unwrap());
            first.send(b"ping", to_second);
            let (text, source) = receive(&second).await.unwrap();
            assert_eq!(
                (text.as_str(), source),
                ("ping", to_first),
                "the source is the relay's address for the sender"
            );
            second.send(b"pong", to_first);
            assert_eq!(receive(&first).await.unwrap().0, "pong");
            relay.set_condition(0, 1, NetworkCondition { cut: true, ..NetworkCondition::default() });
            first.send(b"ping", to_second);
            assert_eq!(receive(&second).await, None);
            second.send(b"pong", to_first);
            assert_eq!(receive(&first).await.unwrap().0, "pong", "the other direction is not cut");
            let delayed_twice =
                NetworkCondition { delay_ms: 30.0, duplicate_rate: 1.0, ..NetworkCondition::default() };
            relay.set_condition(0, 1, delayed_twice);
            let sent = Instant::now();
            first.send(b"slow", to_second);
            assert_eq!(receive(&second).await.unwrap().0, "slow");
            assert!(sent.elapsed() >= Duration::from_millis(30));
            assert_eq!(receive(&second).await.unwrap().0, "slow", "the datagram is duplicated");
            member().send(b"who", to_second);
            assert_eq!(receive(&second).await, None);
            assert_eq!(relay.unknown_senders(), 1);
        }));
    }
}
