//! When a manager leaves, the placement first uses the smaller part, and then the slots are returned.

use super::part_tests::{holder, holds, part_in_use, COUNCILLOR, ME};
use super::*;
use ottersail_consensus::Message;

/// A council that holds slots 0 and 1 of 32, which the placement uses.
fn council() -> Council {
    let terms = CouncilConfig::new(ME.0, ME.1, &[COUNCILLOR], 1);
    let own = FoundingConfig { slots: 32, lease_ms: 1_000, drift_ppm: 0 };
    let parts = own.terms(&[COUNCILLOR]);
    let mut holder = holder();
    holds(&mut holder, Ms(0.0), 1, 2);
    let (needs, renewals) =
        (SlotBalancer::new(Ms(0.0), ME.0, parts.clone()), LeaseGrants::new(Ms(0.0), parts.clone()));
    let mut it = Council {
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
        asked: BTreeMap::new(),
        number: 0,
        look_at: Ms(0.0),
        arrivals: Cell::new(0),
        alive: BTreeMap::new(),
        lease_counters: Counters::default(),
        council_metrics: CouncilMetrics::default(),
    };
    it.on_timer(Ms(0.0), &mut Outputs::default());
    let mut outputs = Outputs::default();
    it.on_timer(Ms(400.0), &mut outputs);
    assert_eq!(outputs.part.map(|it| it.leased_slots), Some(vec![0, 1]));
    it
}

/// How many slots these messages return to the councillor's leases, and how many registers they change.
fn given_back(outputs: &Outputs) -> (usize, usize) {
    let posts: Vec<CouncilMessage> =
        outputs.messages.iter().filter_map(|it| CouncilMessage::read(it.topic, &it.bytes)).collect();
    let slots = |it: &CouncilMessage| if let CouncilMessage::Release(it) = it { it.slots.len() } else { 0 };
    let changes = posts.iter().filter(|it| matches!(it, CouncilMessage::Council(Message::Propose { .. })));
    (posts.iter().map(slots).sum(), changes.count())
}

/// In the other order two managers could act on one slot for a moment.
#[test]
fn the_module_is_told_the_kept_slot_alone_before_anything_is_given_back() {
    let mut council = council();
    let mut first = Outputs::default();
    council.leave(Ms(500.0), &mut first);
    let part = first.part.as_ref().unwrap();
    assert_eq!((part.own_slot, part.leased_slots.len(), part.lease_end_ms, first.shrunk), (35, 0, 0.0, true));
    assert_eq!(given_back(&first), (0, 0), "what goes out before the module is told");
    assert!(!council.gave_all_back());
    let mut then = Outputs::default();
    council.shrunk(Ms(500.1), &mut then);
    assert_eq!((given_back(&then), then.part), ((2, 1), None));
}
