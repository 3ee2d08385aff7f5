//! Tests of each rule by itself, and of whole fleets of members over a simple model of the council.

mod council;
mod fleets;
mod histories;
mod holding;
mod tables;
mod world;

use crate::{Guards, LeaseConfig, MemberId};

/// Leases of 10 s, clocks that drift by 1 % at most.
fn config(slots: u16, councillors: u64) -> LeaseConfig {
    let councillors = (1..=councillors).map(MemberId).collect();
    LeaseConfig { slots, lease_ms: 10_000, drift_ppm: 10_000, councillors, guards: Guards::default() }
}
