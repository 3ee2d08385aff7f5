//! On the way out: first the module goes by less, then the slots are given back.

use super::share_tests::{holder, holds, share, COUNCILLOR, ME};
use super::*;
use ottersail_consensus::Message;

/// Holds slots 0 and 1 of 32, and the module uses them.
fn council() -> Council {
    let terms = CouncilConfig::new(ME.0, ME.1, &[COUNCILLOR], 1);
    let own = Head { slots: 32, lease_ms: 1_000, drift_ppm: 0 };
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
        held: Some(Held { holder, needs, renewals, terms: parts }),
        share: share(),
        asked: BTreeMap::new(),
        number: 0,
        look_at: Ms(0.0),
        arrivals: Cell::new(0),
        alive: BTreeMap::new(),
        figures: Counters::default(),
        tally: Tally::default(),
    };
    it.bell(Ms(0.0), &mut Outs::default());
    let mut outs = Outs::default();
    it.bell(Ms(400.0), &mut outs);
    assert_eq!(outs.part.map(|it| it.leased_slots), Some(vec![0, 1]));
    it
}

/// Given back in these messages: slots at the councillor's leases, and changes of registers.
fn given_back(outs: &Outs) -> (usize, usize) {
    let posts: Vec<Post> = outs.tells.iter().filter_map(|it| Post::read(it.topic, &it.bytes)).collect();
    let slots = |it: &Post| if let Post::Release(it) = it { it.slots.len() } else { 0 };
    let changes = posts.iter().filter(|it| matches!(it, Post::Council(Message::Propose { .. })));
    (posts.iter().map(slots).sum(), changes.count())
}

/// Symptom of the other order: for a moment two act on one slot.
#[test]
fn the_module_is_told_the_kept_slot_alone_before_anything_is_given_back() {
    let mut council = council();
    let mut first = Outs::default();
    council.leave(Ms(500.0), &mut first);
    let part = first.part.as_ref().unwrap();
    assert_eq!((part.own_slot, part.leased_slots.len(), part.lease_end_ms, first.shrunk), (35, 0, 0.0, true));
    assert_eq!(given_back(&first), (0, 0), "what goes out before the module is told");
    assert!(!council.gave_all_back());
    let mut then = Outs::default();
    council.shrunk(Ms(500.1), &mut then);
    assert_eq!((given_back(&then), then.part), ((2, 1), None));
}
