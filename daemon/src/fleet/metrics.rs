//! The metrics of the membership.

use super::{log, Fleet};
use ottersail_membership::auth::DropReason;
use ottersail_membership::{Counters, Reachability, State};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::cell::Cell;

type Labels = Vec<(&'static str, String)>;

const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];
const REACHABILITIES: [Reachability; 5] = [
    Reachability::Mutual,
    Reachability::InboundOnly,
    Reachability::OutboundOnly,
    Reachability::ThroughOthers,
    Reachability::Unreachable,
];

/// Traffic on the datagram socket.
#[derive(Debug, Default)]
pub(super) struct TrafficCounters {
    /// Received, then sent.
    datagrams: [Cell<u64>; 2],
    /// Received, then sent.
    bytes: [Cell<u64>; 2],
    /// Messages that could not be sealed.
    pub unsealed: Cell<u64>,
    /// Errors that the system returned instead of a datagram.
    pub receive_errors: Cell<u64>,
}

fn add(counter: &Cell<u64>, by: u64) {
    counter.set(counter.get().wrapping_add(by));
}

impl TrafficCounters {
    /// Counts a received datagram.
    pub fn received(&self, bytes: usize) {
        self.count_datagram(0, bytes);
    }

    /// Counts a sent datagram.
    pub fn sent(&self, bytes: usize) {
        self.count_datagram(1, bytes);
    }

    fn count_datagram(&self, direction: usize, bytes: usize) {
        add(&self.datagrams[direction], 1);
        add(&self.bytes[direction], bytes as u64);
    }
}

fn gauge(family: &Family<Labels, Gauge>, labels: Labels, value: u64) {
    family.get_or_create(&labels).set(i64::try_from(value).unwrap_or(i64::MAX));
}

fn count(family: &Family<Labels, Counter>, labels: Labels, value: u64) {
    family.get_or_create(&labels).inc_by(value);
}

impl Fleet {
    /// Registers the metrics of the membership and the council.
    pub fn register_metrics(&self, registry: &mut Registry) {
        self.register_council(registry);
        let members = self.members.borrow();
        let (by_state, by_hearing, each): (
            Family<Labels, Gauge>,
            Family<Labels, Gauge>,
            Family<Labels, Gauge>,
        ) = Default::default();
        for state in STATES {
            let count = members.others().filter(|(_, known)| known.state == state).count() as u64;
            gauge(&by_state, vec![("state", log::state(state).into())], count);
        }
        let up =
            || members.others().filter(|(_, known)| matches!(known.state, State::Alive | State::Suspect));
        for reachability in REACHABILITIES {
            let count = up().filter(|(_, known)| known.reachability == reachability).count() as u64;
            gauge(&by_hearing, vec![("hearing", log::hearing(reachability).into())], count);
        }
        for (_, known) in members.others() {
            let (state, hearing) = (log::state(known.state).into(), log::hearing(known.reachability).into());
            gauge(&each, vec![("name", known.name.clone()), ("state", state), ("hearing", hearing)], 1);
        }
        let http_addresses: Gauge = Gauge::default();
        http_addresses.set(self.http_addresses.borrow().count(members.others()) as i64);
        registry.register(
            "member_doors",
            "Members whose HTTP address is known, for the second way",
            http_addresses,
        );
        registry.register("members", "Other members known, by state", by_state);
        registry.register("members_heard", "Members not dead, by who hears whom", by_hearing);
        registry.register("member", "Each other member: what is believed of it", each);
        let (datagrams, bytes, dropped): (
            Family<Labels, Counter>,
            Family<Labels, Counter>,
            Family<Labels, Counter>,
        ) = Default::default();
        for (direction, name) in ["in", "out"].into_iter().enumerate() {
            count(&datagrams, vec![("way", name.into())], self.counters.datagrams[direction].get());
            count(&bytes, vec![("way", name.into())], self.counters.bytes[direction].get());
        }
        let auth = self.auth.borrow();
        for reason in DropReason::ALL {
            count(&dropped, vec![("kind", reason.name().into())], auth.dropped(reason));
        }
        count(&dropped, vec![("kind", "odd".into())], self.counters.receive_errors.get());
        count(&dropped, vec![("kind", "unsealed".into())], self.counters.unsealed.get());
        registry.register("member_datagrams", "Datagrams between members", datagrams);
        registry.register("member_bytes", "Bytes of datagrams between members", bytes);
        registry.register("member_datagrams_dropped", "Datagrams dropped, by kind", dropped);
        let Counters { health, suspicions, refutations, deaths, pauses, conflicts, dials, .. } =
            members.counters();
        let own: Gauge = Gauge::default();
        own.set(i64::from(health));
        registry.register("member_health", "Own health, from 0 (well) to 8", own);
        let counts = [
            ("member_suspicions", "Members suspected", suspicions),
            ("member_refutations", "Times this member contradicted what was said of it", refutations),
            ("member_burials", "Members believed dead", deaths),
            ("member_pauses", "Times this process stood still", pauses),
            ("member_conflicts", "Times this name was found held by another", conflicts),
            ("member_dials", "Members tried on the second way", dials),
        ];
        for (name, help, value) in counts {
            let counter: Counter = Counter::default();
            counter.inc_by(value);
            registry.register(name, help, counter);
        }
    }
}
