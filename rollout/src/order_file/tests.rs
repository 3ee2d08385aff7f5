use super::*;
use crate::order::{Bounds, HaltPolicy, Name, Scope, Step};
use test_case::test_case;
use State::{Back, Go, Halt, HaltedByEvidence as Stopped};

fn order(serial: u64, state: State) -> Order {
    let name = |text| Name::new(text).unwrap();
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

fn older(agreed: u64, file: u64) -> FileDecision {
    FileDecision::Reject(OrderNotPut::Older { agreed: Serial(agreed), file: Serial(file) })
}

fn in_state(serial: u64) -> FileDecision {
    FileDecision::Reject(OrderNotPut::Differs { serial: Serial(serial), keys: vec!["state"] })
}

const PUT: FileDecision = FileDecision::Put { if_revision: 7, lifts_halt: false };

#[test_case(4, Go, 5, Halt => PUT; "newer")]
#[test_case(4, Go, 4, Go => FileDecision::Unchanged { halted: false }; "read again")]
#[test_case(4, Go, 3, Go => older(4, 3); "an old file")]
#[test_case(4, Go, 4, Halt => in_state(4); "changed without a serial")]
#[test_case(4, Stopped, 4, Go => FileDecision::Unchanged { halted: true }; "read again after a halt by evidence")]
#[test_case(4, Stopped, 4, Back => in_state(4); "back without a serial after a halt by evidence")]
#[test_case(4, Stopped, 4, Halt => in_state(4); "halt without a serial after a halt by evidence")]
#[test_case(4, Stopped, 3, Go => older(4, 3); "an old file after a halt by evidence")]
#[test_case(4, Stopped, 5, Go => FileDecision::Put { if_revision: 7, lifts_halt: true }; "lifted")]
#[test_case(4, Stopped, 5, Back => PUT; "back after a halt by evidence")]
#[test_case(4, Back, 4, Go => in_state(4); "go without a serial after back")]
fn file_is_compared_with_the_agreed_order(agreed: u64, was: State, file: u64, says: State) -> FileDecision {
    evaluate_file(Some((7, &order(agreed, was))), &order(file, says))
}

#[test]
fn first_order_is_put_into_an_empty_register() {
    assert_eq!(evaluate_file(None, &order(1, Go)), FileDecision::Put { if_revision: 0, lifts_halt: false });
}

fn lost(to: u64) -> ProposalResult {
    ProposalResult::Reject(OrderNotPut::Superseded { to: Serial(to) })
}

#[test_case(8, 5, Go, Go => ProposalResult::InForce; "it stands")]
#[test_case(8, 5, Stopped, Go => ProposalResult::InForce; "it stood and was halted by evidence since")]
#[test_case(8, 6, Go, Go => lost(6); "a newer one came first")]
#[test_case(8, 5, Halt, Go => lost(5); "another of the same serial came first")]
#[test_case(7, 4, Go, Go => ProposalResult::Retry { if_revision: 7 }; "it never came there")]
#[test_case(7, 4, Stopped, Go => ProposalResult::Retry { if_revision: 7 }; "it lifts_halt and never came there")]
#[test_case(8, 4, Stopped, Halt => ProposalResult::Retry { if_revision: 8 }; "a halt after a halt by evidence")]
#[test_case(8, 4, Stopped, Back => ProposalResult::Retry { if_revision: 8 }; "back after a halt by evidence")]
#[test_case(8, 4, Stopped, Go => ProposalResult::Reject(OrderNotPut::HaltedMeanwhile { halted: Serial(4), file: Serial(5) });
    "a halt by evidence came between")]
fn outcome_of_putting_serial_5_at_revision_7(
    revision: u64,
    serial: u64,
    stands: State,
    says: State,
) -> ProposalResult {
    evaluate_answer(7, Some((revision, &order(serial, stands))), &order(5, says))
}

#[test]
fn order_is_put_again_into_an_empty_register() {
    assert_eq!(evaluate_answer(7, None, &order(5, Go)), ProposalResult::Retry { if_revision: 0 });
}

#[test]
fn halt_by_evidence_survives_encoding_and_only_halts_go() {
    let halted = halted_by_evidence(&order(4, Go)).unwrap();
    assert_eq!(Order::decode(&halted.encode()), Some(order(4, Stopped)));
    assert!([Halt, Back, Stopped].iter().all(|state| halted_by_evidence(&order(4, *state)).is_none()));
}

#[test]
fn all_differing_keys_are_listed() {
    let mut other = order(4, Go);
    other.struck = vec![Name::new("m-7").unwrap()];
    other.bounds.most_out = 1;
    let FileDecision::Reject(held) = evaluate_file(Some((7, &order(4, Go))), &other) else {
        panic!("the order differs")
    };
    let expected =
        "serial 4 is agreed with other values of most-out, strike: nothing done; write serial = 5 for";
    assert!(held.to_string().starts_with(expected), "{held}");
}
