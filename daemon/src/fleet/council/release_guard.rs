//! The guard on the registers of releases: what this councillor's acceptor lets into them.

use super::log;
use super::releases::{Releases, ORDER, PERMITS};
use ottersail::time::Ms;
use ottersail_consensus::{Key, StoredState, Value};
use ottersail_rollout::{may_replace, Guards, Order, PermitTable};

/// Whether this councillor accepts that value for a register of releases. Without `[releases]` it cannot check any
/// value and accepts none.
pub(super) fn allows(now: Ms, releases: Option<&Releases>, key: Key, held: &StoredState, to: &Value) -> bool {
    let Some(coordinator) = releases.and_then(|releases| releases.coordinator.as_ref()) else { return false };
    let ordered = held.accepted(ORDER).and_then(|value| Some((value.revision, Order::decode(&value.body)?)));
    let verdict = match key {
        ORDER => Order::decode(&to.body)
            .map(|to| may_replace(ordered.as_ref().map(|(_, order)| order), &to, Guards::all())),
        PERMITS => {
            let from = held.accepted(PERMITS).and_then(|value| PermitTable::decode(&value.body));
            let order = ordered.as_ref().map(|(revision, order)| (*revision, order));
            PermitTable::decode(&to.body).map(|to| coordinator.allows(now, order, from.as_ref(), &to))
        }
        _ => None,
    };
    match verdict {
        Some(Ok(())) => true,
        Some(Err(refusal)) => {
            log::kept_out(key, &refusal);
            false
        }
        None => false,
    }
}
