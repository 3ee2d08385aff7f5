//! The network between the managers as members: an exchange on a thread of its own that forwards all of their
//! datagrams and injects the day's faults.

use super::error::RehearseError;
use crate::settings::day::DayPlan;
use ottersail_fake_servers::{Fault, Recorder, Ways};
use ottersail_fault_injection::{DatagramRelay, NetworkCondition};
use ottersail_invariants::Event;
use ottersail_net::{block_on, executor, Timer};
use std::collections::BTreeSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

/// The network between the managers. It runs until it is dropped.
pub(super) struct MemberNetwork {
    /// The address that other members send a manager's datagrams to, for each manager.
    pub addresses: Vec<SocketAddrV4>,
    /// Starts the faults.
    start_sender: async_channel::Sender<Instant>,
    /// Stops the thread when it is dropped.
    _stop_on_drop: async_channel::Sender<()>,
}

/// A fault of the network, and the managers that it affects.
struct NetworkFault {
    fault: Fault,
    condition: NetworkCondition,
    managers: BTreeSet<usize>,
}

impl NetworkFault {
    /// The condition of the link from one manager to another while the fault is on. `Ways::There` affects what the
    /// affected managers send, `Ways::Back` what is sent to them.
    fn condition_of(&self, from: usize, to: usize) -> NetworkCondition {
        let (from_affected, to_affected) = (self.managers.contains(&from), self.managers.contains(&to));
        let is_affected = match self.fault.ways {
            Ways::Both => from_affected || to_affected,
            Ways::There => from_affected,
            Ways::Back => to_affected,
        };
        if is_affected {
            self.condition
        } else {
            NetworkCondition::default()
        }
    }
}

/// Mixed into the day's seed for the choice of managers that network faults affect.
const NETWORK_FAULT_SALT: u64 = 0x60551b;

/// The network faults of a day, with managers drawn from the day's seed.
fn network_faults(plan: &DayPlan) -> Vec<NetworkFault> {
    let mut rng = fastrand::Rng::with_seed(plan.day.seed ^ NETWORK_FAULT_SALT);
    let network_fault = |fault: &Fault| {
        let condition = fault.gossip()?;
        let mut managers: Vec<usize> = (0..plan.day.managers).collect();
        rng.shuffle(&mut managers);
        let count = (plan.day.managers as f64 * fault.managers).round() as usize;
        managers.truncate(count.max(1));
        Some(NetworkFault { fault: fault.clone(), condition, managers: managers.into_iter().collect() })
    };
    plan.day.faults.iter().filter_map(network_fault).collect()
}

impl MemberNetwork {
    /// Starts the network between managers that receive datagrams on the addresses `members`.
    ///
    /// # Errors
    /// If its sockets can't be opened.
    pub fn start(
        plan: &DayPlan,
        members: Vec<SocketAddr>,
        recorder: &Recorder,
    ) -> Result<MemberNetwork, RehearseError> {
        let (start_sender, start_receiver) = async_channel::bounded(1);
        let (stop_on_drop, stop_receiver) = async_channel::bounded::<()>(1);
        let (result_sender, result_receiver) = async_channel::bounded(1);
        let (faults, seed, recorder) = (network_faults(plan), plan.day.seed, recorder.clone());
        std::thread::spawn(move || {
            let exec = executor();
            block_on(exec.run(async {
                let manager_count = members.len();
                let started = DatagramRelay::start(exec, members, seed).and_then(|exchange| {
                    let addresses = (0..manager_count)
                        .map(|index| exchange.address(index))
                        .collect::<Result<Vec<_>, _>>()?;
                    Ok((exchange, addresses))
                });
                let exchange = match started {
                    Ok((exchange, addresses)) => {
                        _ = result_sender.send(Ok(addresses)).await;
                        exchange
                    }
                    Err(error) => {
                        _ = result_sender.send(Err(error)).await;
                        return;
                    }
                };
                let inject_faults = async {
                    if let Ok(began) = start_receiver.recv().await {
                        play_faults(&faults, manager_count, &exchange, &recorder, began).await;
                    }
                    futures_lite::future::pending::<()>().await;
                };
                futures_lite::future::or(inject_faults, async { _ = stop_receiver.recv().await }).await;
            }));
        });
        let thread_ended = RehearseError::Exchange { cause: "its thread ended".into() };
        let addresses = result_receiver.recv_blocking().map_err(|_| thread_ended)?;
        let addresses = addresses.map_err(|error| RehearseError::Exchange { cause: error.to_string() })?;
        let ipv4_address = |address: SocketAddr| match address {
            SocketAddr::V4(address) => Some(address),
            SocketAddr::V6(_) => None,
        };
        let addresses = addresses.into_iter().filter_map(ipv4_address).collect();
        Ok(MemberNetwork { addresses, start_sender, _stop_on_drop: stop_on_drop })
    }

    /// Starts the day's faults. Their times count from `day_start`.
    pub fn begin(&self, day_start: Instant) {
        _ = self.start_sender.send_blocking(day_start);
    }
}

/// The start or the end of a fault.
struct FaultChange {
    /// Time since the start of the day, in seconds.
    second: f64,
    /// Index of the fault.
    index: usize,
    /// Whether the fault starts.
    on: bool,
}

/// Updates the conditions of all links whenever a fault begins or ends.
async fn play_faults(
    faults: &[NetworkFault],
    manager_count: usize,
    exchange: &DatagramRelay,
    recorder: &Recorder,
    began: Instant,
) {
    let mut changes: Vec<FaultChange> = faults
        .iter()
        .enumerate()
        .flat_map(|(index, NetworkFault { fault, .. })| {
            [
                FaultChange { second: fault.start, index, on: true },
                FaultChange { second: fault.end, index, on: false },
            ]
        })
        .collect();
    changes.sort_by(|left, right| left.second.total_cmp(&right.second));
    let mut active = BTreeSet::new();
    for FaultChange { second, index, on } in changes {
        Timer::at(began + Duration::from_secs_f64(second)).await;
        if on {
            active.insert(index);
        } else {
            active.remove(&index);
        }
        for (from, to) in (0..manager_count).flat_map(|from| (0..manager_count).map(move |to| (from, to))) {
            let conditions = active.iter().map(|index| faults[*index].condition_of(from, to));
            exchange.set_condition(
                from,
                to,
                conditions.fold(NetworkCondition::default(), NetworkCondition::combine),
            );
        }
        let what = format!("datagrams of {} managers", faults[index].managers.len());
        recorder.note(Event::Fault { name: faults[index].fault.name.clone(), on, what });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_fake_servers::FaultKind;
    use test_case::test_case;

    #[test_case(Ways::Both, [true, true, false]; "both")]
    #[test_case(Ways::There, [true, false, false]; "what affected managers send")]
    #[test_case(Ways::Back, [false, true, false]; "what is sent to affected managers")]
    fn a_cut_affects_the_directions_of_its_fault(ways: Ways, expected: [bool; 3]) {
        let fault = Fault {
            name: "f".into(),
            kind: FaultKind::GossipCut,
            start: 0.0,
            end: 1.0,
            part: 0.0,
            size: 0.0,
            managers: 0.1,
            ways,
            to_list: false,
        };
        let condition = fault.gossip().unwrap();
        let cut = NetworkFault { fault, condition, managers: [3].into() };
        assert_eq!(
            [cut.condition_of(3, 5), cut.condition_of(5, 3), cut.condition_of(4, 5)]
                .map(|condition| condition.cut),
            expected
        );
    }
}
