//! When a manager leaves, the placement first uses the smaller part, and then the slots are returned.

use super::part_tests::{acquire_slots, holder, part_in_use, COUNCILLOR, ME};
use super::*;
use ottersail_consensus::Message;

/// A council that holds slots 0 and 1 of 32, which the placement uses.
fn council() -> Council {
    let terms = CouncilConfig::new(ME.0, ME.1, &[COUNCILLOR], 1);
    let own = FoundingConfig { slots: 32, lease_ms: 1_000, drift_ppm: 0 };
    let parts = own.terms(&[COUNCILLOR]);
    let mut holder = holder();
    acquire_slots(&mut holder, Ms(0.0), 1, 2);
    let (needs, renewals) =
        (SlotBalancer::new(Ms(0.0), ME.0, parts.clone()), LeaseGrants::new(Ms(0.0), parts.clone()));
    let mut council = Council {
        me: ME,
        names: BTreeMap::new(),
        own,
        seed: 1,
        seat: Seat::born(Ms(0.0), &terms, None).0,
        terms,
        home: Default::default(),
        releases: None,
        leases: Some(LeaseState { holder, needs, renewals, terms: parts }),
        part: part_in_use(),
        pending_requests: BTreeMap::new(),
        last_request_number: 0,
        next_review: Ms(0.0),
        arrivals: Cell::new(0),
        alive: BTreeMap::new(),
        lease_counters: Counters::default(),
        council_metrics: CouncilMetrics::default(),
    };
    council.on_timer(Ms(0.0), &mut Outputs::default());
    let mut outputs = Outputs::default();
    council.on_timer(Ms(400.0), &mut outputs);
    assert_eq!(outputs.part.map(|share| share.leased_slots), Some(vec![0, 1]));
    council
}

/// How many slots these messages return to the councillor's leases, and how many registers they change.
fn returned_slots(outputs: &Outputs) -> (usize, usize) {
    let messages: Vec<CouncilMessage> = outputs
        .messages
        .iter()
        .filter_map(|message| CouncilMessage::read(message.topic, &message.bytes))
        .collect();
    let slots = |message: &CouncilMessage| {
        if let CouncilMessage::Release(release) = message {
            release.slots.len()
        } else {
            0
        }
    };
    let changes =
        messages.iter().filter(|message| matches!(message, CouncilMessage::Council(Message::Propose { .. })));
    (messages.iter().map(slots).sum(), changes.count())
}

/// In the other order two managers could act on one slot for a moment.
#[test]
fn slots_are_returned_only_after_the_placement_is_limited_to_its_own_slot() {
    let mut council = council();
    let mut first = Outputs::default();
    council.leave(Ms(500.0), &mut first);
    let part = first.part.as_ref().unwrap();
    assert_eq!((part.own_slot, part.leased_slots.len(), part.lease_end_ms, first.shrunk), (35, 0, 0.0, true));
    assert_eq!(returned_slots(&first), (0, 0), "sent before the placement has the smaller part");
    assert!(!council.has_returned_all_slots());
    let mut second = Outputs::default();
    council.shrunk(Ms(500.1), &mut second);
    assert_eq!((returned_slots(&second), second.part), ((2, 1), None));
}
