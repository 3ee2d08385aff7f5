//! Tables of the guards, one by one; histories of whole fleets in a simple model of the council.

mod council;
mod fleets;
mod histories;
mod holding;
mod tables;
mod world;

use crate::{Guards, LeaseConfig, MemberId};

/// 10 s leases, clocks within 1 %.
fn terms(slots: u16, councillors: u64) -> LeaseConfig {
    let councillors = (1..=councillors).map(MemberId).collect();
    LeaseConfig { slots, lease_ms: 10_000, drift_ppm: 10_000, councillors, guards: Guards::default() }
}
