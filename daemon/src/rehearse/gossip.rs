//! The wires between the managers as members: one exchange that all their datagrams go through, on a thread
//! of its own, and the day's faults on it.

use super::error::RehearseError;
use crate::settings::day::DayPlan;
use ottersail_fake_servers::{Fault, Recorder, Ways};
use ottersail_fault_injection::{DatagramRelay, NetworkCondition};
use ottersail_invariants::Event;
use ottersail_net::{block_on, executor, Timer};
use std::collections::BTreeSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Runs until it is dropped.
pub(super) struct Gossip {
    /// Where the others find each manager.
    pub there: Vec<SocketAddrV4>,
    begins: async_channel::Sender<Instant>,
    _runs: async_channel::Sender<()>,
}

/// A fault on wires between members, and the managers that it takes.
struct Hit {
    fault: Fault,
    condition: NetworkCondition,
    managers: BTreeSet<usize>,
}

impl Hit {
    /// What it makes of the way from one to another. `there` is what those that are hit send, `back` what is
    /// sent to them.
    fn on(&self, from: usize, to: usize) -> NetworkCondition {
        let (there, back) = (self.managers.contains(&from), self.managers.contains(&to));
        let hit = match self.fault.ways {
            Ways::Both => there || back,
            Ways::There => there,
            Ways::Back => back,
        };
        if hit {
            self.condition
        } else {
            NetworkCondition::default()
        }
    }
}

fn hits(plan: &DayPlan) -> Vec<Hit> {
    let mut rng = fastrand::Rng::with_seed(plan.day.seed ^ 0x60551b);
    let hit = |fault: &Fault| {
        let condition = fault.gossip()?;
        let mut managers: Vec<usize> = (0..plan.day.managers).collect();
        rng.shuffle(&mut managers);
        let part = (plan.day.managers as f64 * fault.managers).round() as usize;
        managers.truncate(part.max(1));
        Some(Hit { fault: fault.clone(), condition, managers: managers.into_iter().collect() })
    };
    plan.day.faults.iter().filter_map(hit).collect()
}

impl Gossip {
    /// An exchange between members that listen there.
    ///
    /// # Errors
    /// If it can't have its sockets.
    pub fn start(
        plan: &DayPlan,
        members: Vec<SocketAddr>,
        recorder: &Recorder,
    ) -> Result<Gossip, RehearseError> {
        let (begins, begin) = async_channel::bounded(1);
        let (runs, over) = async_channel::bounded::<()>(1);
        let (tell, told) = async_channel::bounded(1);
        let (hits, seed, recorder) = (hits(plan), plan.day.seed, recorder.clone());
        std::thread::spawn(move || {
            let exec = executor();
            block_on(exec.run(async {
                let count = members.len();
                let started = DatagramRelay::start(exec, members, seed).and_then(|it| {
                    let there = (0..count).map(|ix| it.address(ix)).collect::<Result<Vec<_>, _>>()?;
                    Ok((it, there))
                });
                let exchange = match started {
                    Ok((exchange, there)) => {
                        _ = tell.send(Ok(there)).await;
                        exchange
                    }
                    Err(it) => {
                        _ = tell.send(Err(it)).await;
                        return;
                    }
                };
                let plays = async {
                    if let Ok(began) = begin.recv().await {
                        play(&hits, count, &exchange, &recorder, began).await;
                    }
                    futures_lite::future::pending::<()>().await;
                };
                futures_lite::future::or(plays, async { _ = over.recv().await }).await;
            }));
        });
        let gone = RehearseError::Exchange { cause: "its thread ended".into() };
        let there = told.recv_blocking().map_err(|_| gone)?;
        let there = there.map_err(|it| RehearseError::Exchange { cause: it.to_string() })?;
        let v4 = |it: SocketAddr| match it {
            SocketAddr::V4(it) => Some(it),
            SocketAddr::V6(_) => None,
        };
        Ok(Gossip { there: there.into_iter().filter_map(v4).collect(), begins, _runs: runs })
    }

    /// The day begins.
    pub fn begin(&self, at: Instant) {
        _ = self.begins.send_blocking(at);
    }
}

/// Sets all ways anew wherever a fault begins or ends.
async fn play(hits: &[Hit], count: usize, exchange: &DatagramRelay, recorder: &Recorder, began: Instant) {
    let mut moments: Vec<(f64, usize, bool)> = hits
        .iter()
        .enumerate()
        .flat_map(|(ix, it)| [(it.fault.start, ix, true), (it.fault.end, ix, false)])
        .collect();
    moments.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut now_on = BTreeSet::new();
    for (second, ix, on) in moments {
        Timer::at(began + Duration::from_secs_f64(second)).await;
        if on {
            now_on.insert(ix);
        } else {
            now_on.remove(&ix);
        }
        for (from, to) in (0..count).flat_map(|from| (0..count).map(move |to| (from, to))) {
            let all = now_on.iter().map(|it| hits[*it].on(from, to));
            exchange.set_condition(
                from,
                to,
                all.fold(NetworkCondition::default(), NetworkCondition::combine),
            );
        }
        let what = format!("datagrams of {} managers", hits[ix].managers.len());
        recorder.note(Event::Fault { name: hits[ix].fault.name.clone(), on, what });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_fake_servers::FaultKind;
    use test_case::test_case;

    #[test_case(Ways::Both, [true, true, false]; "both")]
    #[test_case(Ways::There, [true, false, false]; "what it sends")]
    #[test_case(Ways::Back, [false, true, false]; "what it is sent")]
    fn a_cut_takes_the_ways_that_were_told(ways: Ways, expected: [bool; 3]) {
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
        let hit = Hit { fault, condition, managers: [3].into() };
        assert_eq!([hit.on(3, 5), hit.on(5, 3), hit.on(4, 5)].map(|it| it.cut), expected);
    }
}
