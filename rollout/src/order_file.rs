//! What to do with the order in an operator's file, given the one that the council holds. The file may be read again
//! at any time, at a start or at a signal, and by a manager that was away for long. Its order therefore counts by its
//! serial alone, and reading it twice has no further effect.

#[cfg(test)]
mod tests;

use crate::order::{Order, Serial, State};
use thiserror::Error;

/// What to do with the order of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileDecision {
    /// Put it into the register if that is at `if_revision` (0 for an empty register). `lifts_halt`: the order resumes
    /// what evidence has halted, which should be reported to the operator.
    Put { if_revision: u64, lifts_halt: bool },
    /// It is in force already. `halted`: except for a halt by evidence, which stays.
    Unchanged { halted: bool },
    /// Nothing is done, for this reason.
    Reject(OrderNotPut),
}

/// What became of an order that was put into the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// It is in force, whoever put it.
    InForce,
    /// An older order came first, or the request was lost: put it again.
    Retry {
        if_revision: u64,
    },
    Reject(OrderNotPut),
}

/// Why the order of a file is not put into the register, and what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderNotPut {
    /// The file's serial is less than that of the order in force.
    #[error(
        "serial {file} is older than {agreed}, which is agreed: nothing done; write serial = {next} or above",
        file = file.0, agreed = agreed.0, next = agreed.next()
    )]
    Older { agreed: Serial, file: Serial },
    /// The file changes the order in force without a greater serial.
    #[error(
        "serial {} is agreed with other values of {}: nothing done; write serial = {} for the changed order",
        serial.0, keys.join(", "), serial.next()
    )]
    Differs { serial: Serial, keys: Vec<&'static str> },
    /// Another order with at least this serial came first.
    #[error(
        "an order with serial {to} came first: nothing done; check what it orders, then write serial = {next}",
        to = to.0, next = to.next()
    )]
    Superseded { to: Serial },
    /// Evidence halted the order in force while this one was being put.
    #[error(
        "evidence halted serial {halted} while serial {file} was put: nothing done; check the evidence, \
         then write serial = {next} to go on, or with state = back",
        halted = halted.0, file = file.0, next = file.next()
    )]
    HaltedMeanwhile { halted: Serial, file: Serial },
}

impl Serial {
    /// The least greater serial.
    pub fn next(self) -> u64 {
        self.0.saturating_add(1)
    }
}

/// The order as halted by evidence, with the same serial, since no operator changed it. `None` unless it says go: a
/// way back is not halted by the behaviour of the version that it leaves.
pub fn halted_by_evidence(order: &Order) -> Option<Order> {
    (order.state == State::Go).then(|| Order { state: State::HaltedByEvidence, ..order.clone() })
}

/// An order in force as the operator wrote it.
fn as_written(order: &Order) -> Order {
    let state = if order.state == State::HaltedByEvidence { State::Go } else { order.state };
    Order { state, ..order.clone() }
}

/// The keys of the file in which two orders differ.
fn differing_keys(a: &Order, b: &Order) -> Vec<&'static str> {
    let keys = [
        ("name", a.name != b.name),
        ("who", a.scope != b.scope),
        ("version", a.version != b.version),
        ("before", a.previous_version != b.previous_version),
        ("steps", a.steps != b.steps),
        ("settle-ms", a.settle_ms != b.settle_ms),
        ("use-ms", a.use_ms != b.use_ms),
        ("fleet", a.bounds.fleet != b.bounds.fleet),
        ("most-out", a.bounds.most_out != b.bounds.most_out),
        ("zones", a.bounds.zones != b.bounds.zones),
        ("least-holders", a.bounds.least_holders != b.bounds.least_holders),
        ("headroom", a.bounds.headroom != b.bounds.headroom),
        ("halt-by", a.halt_policy.by_evidence != b.halt_policy.by_evidence),
        ("alarms", a.halt_policy.alarms != b.halt_policy.alarms),
        ("points", a.halt_policy.points != b.halt_policy.points),
        ("state", a.state != b.state),
        ("strike", a.struck != b.struck),
    ];
    keys.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
}

/// Decides what to do after a file was read. `agreed` is the order in force with its revision.
pub fn evaluate_file(agreed: Option<(u64, &Order)>, file: &Order) -> FileDecision {
    let Some((revision, agreed)) = agreed else {
        return FileDecision::Put { if_revision: 0, lifts_halt: false };
    };
    let halted = agreed.state == State::HaltedByEvidence;
    if file.serial > agreed.serial {
        return FileDecision::Put { if_revision: revision, lifts_halt: halted && file.state == State::Go };
    }
    if file.serial < agreed.serial {
        return FileDecision::Reject(OrderNotPut::Older { agreed: agreed.serial, file: file.serial });
    }
    // Compared as written by the operator; otherwise the file that ordered a release would undo its halt by evidence at
    // the next start of the manager that reads it.
    let keys = differing_keys(&as_written(agreed), file);
    if keys.is_empty() {
        FileDecision::Unchanged { halted }
    } else {
        FileDecision::Reject(OrderNotPut::Differs { serial: file.serial, keys })
    }
}

/// Decides what became of the file's order, which was put on condition that the register was at `proposed_at`.
/// `current` is the order in force now, from the answer or from a later read if no answer came.
pub fn evaluate_answer(proposed_at: u64, current: Option<(u64, &Order)>, file: &Order) -> ProposalResult {
    let Some((revision, order)) = current else {
        return ProposalResult::Retry { if_revision: 0 };
    };
    if order.serial == file.serial && differing_keys(&as_written(order), file).is_empty() {
        return ProposalResult::InForce;
    }
    if order.serial >= file.serial {
        return ProposalResult::Reject(OrderNotPut::Superseded { to: order.serial });
    }
    // The operator wrote `go` before the halt and could not know of it, so the halt is not lifted.
    if revision != proposed_at && order.state == State::HaltedByEvidence && file.state == State::Go {
        return ProposalResult::Reject(OrderNotPut::HaltedMeanwhile {
            halted: order.serial,
            file: file.serial,
        });
    }
    ProposalResult::Retry { if_revision: revision }
}
