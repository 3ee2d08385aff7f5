//! Single state machines and their replies.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use test_case::test_case;

use super::checker::CollectedEffects;
use crate::message::GenerationView;
use crate::proposer::Proposal;
use crate::*;

const KEY: Key = Key::Order(4);

fn members() -> Vec<MemberId> {
    [1, 2, 3].map(MemberId).to_vec()
}

fn ballot(number: u64) -> Ballot {
    Ballot { number, proposer: MemberId(2), life: InstanceId(2) }
}

fn value(revision: u64, number: u64) -> Value {
    let request = RequestId { member: MemberId(9), life: InstanceId(9), number };
    Value { revision, request, body: vec![number as u8] }
}

fn acceptor() -> Acceptor {
    Acceptor::new(MemberId(1), StoredState { participating: true, ..StoredState::new(StoreGeneration(5)) })
}

fn deliver(acceptor: &mut Acceptor, message: Message) -> CollectedEffects {
    let mut effects = CollectedEffects::default();
    acceptor.on_message(Ms(0.0), MemberId(2), &message, &AllowAll, &mut effects);
    effects
}

#[test]
fn promise_is_sent_only_after_it_is_persisted() {
    let mut acceptor = acceptor();
    let mut effects = deliver(&mut acceptor, Message::Prepare { key: KEY, ballot: ballot(3) });
    assert!(effects.sent.is_empty() && effects.persisted.len() == 1);
    acceptor.on_persisted(effects.persisted[0].0, &mut effects);
    assert!(matches!(&effects.sent[..], [(MemberId(2), Message::Promise { .. })]));
}

#[test_case(2, true; "below the promise")]
#[test_case(3, false; "as promised")]
#[test_case(4, false; "above the promise")]
fn accept_below_the_promise_is_refused(number: u64, refused: bool) {
    let mut acceptor = acceptor();
    deliver(&mut acceptor, Message::Prepare { key: KEY, ballot: ballot(3) });
    let effects =
        deliver(&mut acceptor, Message::Accept { key: KEY, ballot: ballot(number), value: value(1, 1) });
    let was_refused = effects.sent.iter().any(|(_, message)| matches!(message, Message::Refused { .. }));
    assert_eq!((was_refused, effects.persisted.is_empty()), (refused, refused));
}

#[test]
fn guard_refuses_an_accept() {
    struct RefuseFirst;
    impl Guard for RefuseFirst {
        fn allows(&self, _: Ms, _: Key, _: &StoredState, to: &Value) -> bool {
            to.revision != 1
        }
    }
    let (mut acceptor, mut effects) = (acceptor(), CollectedEffects::default());
    let accept = Message::Accept { key: KEY, ballot: ballot(3), value: value(1, 1) };
    acceptor.on_message(Ms(0.0), MemberId(2), &accept, &RefuseFirst, &mut effects);
    let refused = Message::Refused { key: KEY, ballot: ballot(3), promised: ballot(3) };
    assert_eq!(effects.sent, vec![(MemberId(2), refused)]);
    assert!(effects.persisted.is_empty() && acceptor.stored().registers.is_empty());
}

fn view(known: &[(u64, u64)]) -> GenerationView {
    let known =
        known.iter().map(|(member, generation)| (MemberId(*member), StoreGeneration(*generation))).collect();
    GenerationView { generation: StoreGeneration(5), known }
}

/// The proposer of councillor 3 after promises of 1 and 2 that had accepted `held`.
fn proposing(guards: Guards, held: Option<Value>, change: Change) -> (Proposer, CollectedEffects) {
    let config = CouncilConfig::new(MemberId(3), InstanceId(3), &members(), 1);
    let (mut proposer, mut effects) = (Proposer::new(config), CollectedEffects::default());
    proposer.guards = guards;
    let request = RequestId { member: MemberId(9), life: InstanceId(9), number: 7 };
    proposer.propose(
        Ms(0.0),
        KEY,
        Proposal { request, reply_to: MemberId(9), change, deadline: Ms(9e3) },
        &mut effects,
    );
    for (member, seen) in [(1, 1), (2, 2)] {
        let accepted = held.clone().map(|value| (ballot(seen), value));
        let Some((_, Message::Prepare { ballot, .. })) = effects.sent.first().cloned() else {
            panic!("no round")
        };
        let promise = Message::Promise { key: KEY, ballot, accepted, view: view(&[]) };
        proposer.on_message(Ms(1.0), MemberId(member), &promise, &mut effects);
    }
    (proposer, effects)
}

/// Councillor 1 accepted and then lost its store; 2 accepted after it had heard of the loss. Only 2 holds the value.
#[test_case(true)]
#[test_case(false)]
fn accept_from_a_lost_store_does_not_count(discard_lost_generations: bool) {
    let set = Change::Set { if_revision: 0, body: vec![1] };
    let (mut proposer, mut effects) =
        proposing(Guards { discard_lost_generations, ..Guards::ALL }, None, set);
    let Some((_, Message::Accept { ballot, .. })) = effects.sent.last().cloned() else { panic!("no accept") };
    for (member, known) in [(1, vec![]), (2, vec![(1, 6)])] {
        let accepted = Message::Accepted { key: KEY, ballot, view: view(&known) };
        proposer.on_message(Ms(2.0), MemberId(member), &accepted, &mut effects);
    }
    let answered = |effects: &CollectedEffects| {
        effects.sent.iter().any(|(_, message)| matches!(message, Message::Answer { .. }))
    };
    assert_eq!(answered(&effects), !discard_lost_generations);
    let third = Message::Accepted { key: KEY, ballot, view: view(&[]) };
    proposer.on_message(Ms(3.0), MemberId(3), &third, &mut effects);
    assert!(answered(&effects));
}

#[test_case(true)]
#[test_case(false)]
fn retry_recognizes_its_own_change(deduplicate_requests: bool) {
    let set = Change::Set { if_revision: 1, body: vec![1] };
    let (proposer, effects) =
        proposing(Guards { deduplicate_requests, ..Guards::ALL }, Some(value(2, 7)), set);
    // The promises carry different ballots, so the value may not be chosen and is written again under its request.
    assert!(
        matches!(effects.sent.last(), Some((_, Message::Accept { value: written, .. })) if *written == value(2, 7))
    );
    assert_eq!(format!("{proposer:?}").contains("done: true"), deduplicate_requests);
}

#[test]
fn oversized_and_excess_requests_are_rejected() {
    let config = CouncilConfig::new(MemberId(9), InstanceId(9), &members(), 1);
    let (mut follower, mut effects) = (Follower::new(Ms(0.0), config), CollectedEffects::default());
    let set = |bytes| Change::Set { if_revision: 0, body: vec![0; bytes] };
    follower.submit(Ms(0.0), 1, KEY, set(MAX_BODY_BYTES + 1), &mut effects);
    assert_eq!(effects.answers, vec![(1, Outcome::Rejected)]);
    (2..200).for_each(|number| follower.submit(Ms(0.0), number, KEY, set(MAX_BODY_BYTES), &mut effects));
    assert_eq!((effects.sent.len(), effects.answers.len()), (64, 1 + 134));
}

#[test_case(true)]
#[test_case(false)]
fn follower_ignores_older_values(ignore_older_values: bool) {
    let config = CouncilConfig::new(MemberId(9), InstanceId(9), &members(), 1);
    let (mut follower, mut effects) = (Follower::new(Ms(0.0), config), CollectedEffects::default());
    follower.guards = Guards { ignore_older_values, ..Guards::ALL };
    for revision in [5, 4] {
        let learned = Message::Learned { key: KEY, value: value(revision, revision) };
        follower.on_message(Ms(0.0), MemberId(1), &learned, &mut effects);
    }
    assert_eq!(follower.values()[&KEY].revision, if ignore_older_values { 5 } else { 4 });
    let forged = Message::Learned { key: KEY, value: value(9, 9) };
    follower.on_message(Ms(0.0), MemberId(8), &forged, &mut effects);
    assert_ne!(follower.values()[&KEY].revision, 9);
}

/// Followers with different parts of the registers come to know all of them, by digests and fetches that fit in a
/// message.
#[test]
fn followers_fetch_missing_values() {
    let mut effects = CollectedEffects::default();
    let mut followers: Vec<Follower> = (10..14)
        .map(|id| Follower::new(Ms(0.0), CouncilConfig::new(MemberId(id), InstanceId(id), &members(), 1)))
        .collect();
    for number in 0..1000_u16 {
        let value = Value { body: vec![1; usize::from(number % 300)], ..value(1 + u64::from(number % 7), 3) };
        followers[usize::from(number % 4)].learn(Key::Order(number), &value, &mut effects);
    }
    let (mut exchanges, mut bytes) = (0, 0);
    while followers.iter().any(|follower| follower.revision_digest() != followers[0].revision_digest()) {
        exchanges += 1;
        assert!(
            exchanges < 20,
            "{:?}",
            followers.iter().map(|follower| follower.values().len()).collect::<Vec<_>>()
        );
        let digests: BTreeMap<usize, Vec<u8>> =
            (0..4).map(|at| (at, followers[at].revision_digest())).collect();
        for at in 0..4 {
            let (from, now) = ((at + 1) % 4, Ms(f64::from(exchanges) * 1000.0));
            let mut effects = CollectedEffects::default();
            assert!(digests[&from].len() <= 64);
            followers[at].on_digest(now, MemberId(10 + from as u64), &digests[&from], &mut effects);
            let mut sender = at;
            while let Some((to, message)) = effects.sent.pop() {
                let size = postcard::to_allocvec(&message).unwrap().len();
                assert!(size <= 900, "{size}");
                bytes += size;
                let to = to.0 as usize - 10;
                followers[to].on_message(now, MemberId(10 + sender as u64), &message, &mut effects);
                sender = to;
            }
        }
    }
    println!("4 followers of 250 keys each know all 1,000 after {exchanges} turns and {bytes} bytes");
    assert_eq!(followers[0].values().len(), 1000);
}

/// Councillor 2 knows a generation of 1 from an interrupted recovery; 1 is told of it and raises its own generation.
#[test]
fn participating_councillor_raises_its_generation_when_it_is_outdated() {
    let config = CouncilConfig::new(MemberId(3), InstanceId(3), &members(), 1);
    let (mut proposer, mut effects) = (Proposer::new(config), CollectedEffects::default());
    let request = RequestId { member: MemberId(9), life: InstanceId(9), number: 7 };
    let proposal = Proposal { request, reply_to: MemberId(9), change: Change::Read, deadline: Ms(9e3) };
    proposer.propose(Ms(0.0), KEY, proposal, &mut effects);
    let Some((_, Message::Prepare { ballot, .. })) = effects.sent.first().cloned() else {
        panic!("no round")
    };
    for (member, known) in [(1, vec![]), (2, vec![(1, 6)])] {
        let promise = Message::Promise { key: KEY, ballot, accepted: None, view: view(&known) };
        proposer.on_message(Ms(1.0), MemberId(member), &promise, &mut effects);
    }
    let outdated = Message::Outdated { known: StoreGeneration(6) };
    assert_eq!(effects.sent.last(), Some(&(MemberId(1), outdated.clone())));
    let stored = StoredState { participating: true, ..StoredState::new(StoreGeneration(5)) };
    let mut councillor =
        Councillor::new(Ms(0.0), CouncilConfig::new(MemberId(1), InstanceId(1), &members(), 1), stored);
    for known in [outdated, Message::Outdated { known: StoreGeneration(4) }] {
        councillor.on_message(Ms(0.0), MemberId(3), &known, &AllowAll, &mut effects);
    }
    assert_eq!(
        effects.persisted.last().map(|(_, records)| records.clone()),
        Some(vec![Record::OwnGeneration(StoreGeneration(1 << 48 | 5))])
    );
    assert!(councillor.participates() && effects.persisted.len() == 1);
}
