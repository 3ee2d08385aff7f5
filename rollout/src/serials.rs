//! What to do with the order in an operator's file against the one that the council holds. The file may be
//! read again at any time, at a start or at a signal, and by a manager that was away for long; so what it
//! says counts by its serial alone, and reading it twice does nothing twice.

use crate::order::{Order, Serial, State};
use thiserror::Error;

/// What to do with the order of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Given {
    /// Put it into the register if that is at this revision (0: nothing there). `lifts`: it goes on with what
    /// evidence has halted, which an operator should be told.
    Put { if_revision: u64, lifts: bool },
    /// It is what stands; `stopped`: but for the halt by evidence, which stays.
    Same { halted: bool },
    /// Nothing is done, and why is told.
    Not(OrderNotPut),
}

/// What became of an order that was put.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    /// It stands, whoever put it.
    Taken,
    /// An older one stands that came between, or the answer was lost on its way: put it again.
    Again {
        if_revision: u64,
    },
    Not(OrderNotPut),
}

/// Why the order of a file is not put, and what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderNotPut {
    #[error(
        "serial {file} is older than {agreed}, which is agreed: nothing done; write serial = {next} or above",
        file = file.0, agreed = agreed.0, next = agreed.next()
    )]
    Older { agreed: Serial, file: Serial },
    #[error(
        "serial {} is agreed with other {}: nothing done; write serial = {} for what has changed",
        serial.0, keys.join(", "), serial.next()
    )]
    Differs { serial: Serial, keys: Vec<&'static str> },
    #[error(
        "an order with serial {to} came first: nothing done; see what it orders, then write serial = {next}",
        to = to.0, next = to.next()
    )]
    Superseded { to: Serial },
    #[error(
        "evidence halted serial {halted} while serial {file} was put: nothing done; look at the evidence, \
         then write serial = {next} to go on, or with state = back",
        halted = halted.0, file = file.0, next = file.next()
    )]
    HaltedMeanwhile { halted: Serial, file: Serial },
}

impl Serial {
    /// The least that is newer.
    pub fn next(self) -> u64 {
        self.0.saturating_add(1)
    }
}

/// The order halted by evidence: the same serial, since no operator changed it. `None` unless it says go: a
/// way back is not halted by what the version that it leaves does.
pub fn halted_by_evidence(order: &Order) -> Option<Order> {
    (order.state == State::Go).then(|| Order { state: State::HaltedByEvidence, ..order.clone() })
}

/// What an operator wrote of an order that stands.
fn written(order: &Order) -> Order {
    let state = if order.state == State::HaltedByEvidence { State::Go } else { order.state };
    Order { state, ..order.clone() }
}

/// The keys of the file in which two orders differ.
fn differing(a: &Order, b: &Order) -> Vec<&'static str> {
    let all = [
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
    all.into_iter().filter(|it| it.1).map(|it| it.0).collect()
}

/// A file was read: what is agreed, with its revision, and what the file says.
pub fn given(agreed: Option<(u64, &Order)>, file: &Order) -> Given {
    let Some((revision, agreed)) = agreed else {
        return Given::Put { if_revision: 0, lifts: false };
    };
    let halted = agreed.state == State::HaltedByEvidence;
    if file.serial > agreed.serial {
        return Given::Put { if_revision: revision, lifts: halted && file.state == State::Go };
    }
    if file.serial < agreed.serial {
        return Given::Not(OrderNotPut::Older { agreed: agreed.serial, file: file.serial });
    }
    // Without this the file that ordered a release would undo its halt by evidence at the next start of the
    // manager that holds it.
    let keys = differing(&written(agreed), file);
    if keys.is_empty() {
        Given::Same { halted }
    } else {
        Given::Not(OrderNotPut::Differs { serial: file.serial, keys })
    }
}

/// The file's order was put if the register was at `asked`, and this stands now: heard in answer, or read
/// after an answer that never came.
pub fn answered(asked: u64, stands: Option<(u64, &Order)>, file: &Order) -> Answered {
    let Some((revision, order)) = stands else {
        return Answered::Again { if_revision: 0 };
    };
    if order.serial == file.serial && differing(&written(order), file).is_empty() {
        return Answered::Taken;
    }
    if order.serial >= file.serial {
        return Answered::Not(OrderNotPut::Superseded { to: order.serial });
    }
    // The operator wrote `go` before the halt and could not know of it: it is not lifted by chance.
    if revision != asked && order.state == State::HaltedByEvidence && file.state == State::Go {
        return Answered::Not(OrderNotPut::HaltedMeanwhile { halted: order.serial, file: file.serial });
    }
    Answered::Again { if_revision: revision }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::order::{Bounds, HaltPolicy, Name, Scope, Step};
    use test_case::test_case;
    use State::{Back, Go, Halt, HaltedByEvidence as Stopped};

    fn order(serial: u64, state: State) -> Order {
        let name = |it| Name::new(it).unwrap();
        let zones = Default::default();
        Order {
            serial: Serial(serial),
            name: name("spring"),
            scope: Scope::All,
            version: name("2.0"),
            previous_version: name("1.9"),
            steps: vec![Step::Count(1), Step::PerMille(1_000)],
            settle_ms: 1_000,
            use_ms: 10_000,
            bounds: Bounds { fleet: 9, most_out: 2, zones, least_holders: 0, headroom: 0 },
            halt_policy: HaltPolicy { by_evidence: true, alarms: 100, points: 5 },
            state,
            struck: vec![],
        }
    }

    fn older(agreed: u64, file: u64) -> Given {
        Given::Not(OrderNotPut::Older { agreed: Serial(agreed), file: Serial(file) })
    }

    fn in_state(serial: u64) -> Given {
        Given::Not(OrderNotPut::Differs { serial: Serial(serial), keys: vec!["state"] })
    }

    const PUT: Given = Given::Put { if_revision: 7, lifts: false };

    #[test_case(4, Go, 5, Halt => PUT; "newer")]
    #[test_case(4, Go, 4, Go => Given::Same { halted: false }; "read again")]
    #[test_case(4, Go, 3, Go => older(4, 3); "an old file")]
    #[test_case(4, Go, 4, Halt => in_state(4); "changed without a serial")]
    #[test_case(4, Stopped, 4, Go => Given::Same { halted: true }; "read again after a halt by evidence")]
    #[test_case(4, Stopped, 4, Back => in_state(4); "back without a serial after a halt by evidence")]
    #[test_case(4, Stopped, 4, Halt => in_state(4); "halt without a serial after a halt by evidence")]
    #[test_case(4, Stopped, 3, Go => older(4, 3); "an old file after a halt by evidence")]
    #[test_case(4, Stopped, 5, Go => Given::Put { if_revision: 7, lifts: true }; "lifted")]
    #[test_case(4, Stopped, 5, Back => PUT; "back after a halt by evidence")]
    #[test_case(4, Back, 4, Go => in_state(4); "go without a serial after back")]
    fn a_file_is_read(agreed: u64, was: State, file: u64, says: State) -> Given {
        given(Some((7, &order(agreed, was))), &order(file, says))
    }

    #[test]
    fn the_first_order_is_put_where_nothing_is() {
        assert_eq!(given(None, &order(1, Go)), Given::Put { if_revision: 0, lifts: false });
    }

    fn lost(to: u64) -> Answered {
        Answered::Not(OrderNotPut::Superseded { to: Serial(to) })
    }

    #[test_case(8, 5, Go, Go => Answered::Taken; "it stands")]
    #[test_case(8, 5, Stopped, Go => Answered::Taken; "it stood and was halted by evidence since")]
    #[test_case(8, 6, Go, Go => lost(6); "a newer one came first")]
    #[test_case(8, 5, Halt, Go => lost(5); "another of the same serial came first")]
    #[test_case(7, 4, Go, Go => Answered::Again { if_revision: 7 }; "it never came there")]
    #[test_case(7, 4, Stopped, Go => Answered::Again { if_revision: 7 }; "it lifts and never came there")]
    #[test_case(8, 4, Stopped, Halt => Answered::Again { if_revision: 8 }; "a halt after a halt by evidence")]
    #[test_case(8, 4, Stopped, Back => Answered::Again { if_revision: 8 }; "back after a halt by evidence")]
    #[test_case(8, 4, Stopped, Go => Answered::Not(OrderNotPut::HaltedMeanwhile { halted: Serial(4), file: Serial(5) });
        "a halt by evidence came between")]
    fn serial_5_was_put_at_7(revision: u64, serial: u64, stands: State, says: State) -> Answered {
        answered(7, Some((revision, &order(serial, stands))), &order(5, says))
    }

    #[test]
    fn a_register_that_holds_nothing_takes_it_again() {
        assert_eq!(answered(7, None, &order(5, Go)), Answered::Again { if_revision: 0 });
    }

    #[test]
    fn a_halt_by_evidence_outlives_the_register_and_leaves_halt_and_back_alone() {
        let halted = halted_by_evidence(&order(4, Go)).unwrap();
        assert_eq!(Order::decode(&halted.encode()), Some(order(4, Stopped)));
        assert!([Halt, Back, Stopped].iter().all(|it| halted_by_evidence(&order(4, *it)).is_none()));
    }

    #[test]
    fn all_that_differs_is_told() {
        let mut other = order(4, Go);
        other.struck = vec![Name::new("m-7").unwrap()];
        other.bounds.most_out = 1;
        let Given::Not(held) = given(Some((7, &order(4, Go))), &other) else { panic!("it differs") };
        let told = "serial 4 is agreed with other most-out, strike: nothing done; write serial = 5 for";
        assert!(held.to_string().starts_with(told), "{held}");
    }
}
