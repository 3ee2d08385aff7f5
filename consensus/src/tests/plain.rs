//! Single machines: what they answer.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use test_case::test_case;

use super::judge::Heap;
use crate::message::GenerationView;
use crate::proposer::Job;
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

fn take(acceptor: &mut Acceptor, message: Message) -> Heap {
    let mut heap = Heap::default();
    acceptor.on_message(Ms(0.0), MemberId(2), &message, &AllowAll, &mut heap);
    heap
}

#[test]
fn a_promise_goes_out_once_it_is_kept() {
    let mut acceptor = acceptor();
    let mut heap = take(&mut acceptor, Message::Prepare { key: KEY, ballot: ballot(3) });
    assert!(heap.sent.is_empty() && heap.keeps.len() == 1);
    acceptor.on_persisted(heap.keeps[0].0, &mut heap);
    assert!(matches!(&heap.sent[..], [(MemberId(2), Message::Promise { .. })]));
}

#[test_case(2, true; "below the promise")]
#[test_case(3, false; "as promised")]
#[test_case(4, false; "above the promise")]
fn refused_below_the_promise(number: u64, refused: bool) {
    let mut acceptor = acceptor();
    take(&mut acceptor, Message::Prepare { key: KEY, ballot: ballot(3) });
    let heap = take(&mut acceptor, Message::Accept { key: KEY, ballot: ballot(number), value: value(1, 1) });
    let said = heap.sent.iter().any(|(_, message)| matches!(message, Message::Refused { .. }));
    assert_eq!((said, heap.keeps.is_empty()), (refused, refused));
}

#[test]
fn a_guard_stands_in_the_way_of_an_accept() {
    struct Shut;
    impl Guard for Shut {
        fn allows(&self, _: Ms, _: Key, _: &StoredState, to: &Value) -> bool {
            to.revision != 1
        }
    }
    let (mut acceptor, mut heap) = (acceptor(), Heap::default());
    let accept = Message::Accept { key: KEY, ballot: ballot(3), value: value(1, 1) };
    acceptor.on_message(Ms(0.0), MemberId(2), &accept, &Shut, &mut heap);
    let refused = Message::Refused { key: KEY, ballot: ballot(3), promised: ballot(3) };
    assert_eq!(heap.sent, vec![(MemberId(2), refused)]);
    assert!(heap.keeps.is_empty() && acceptor.stored().registers.is_empty());
}

fn view(known: &[(u64, u64)]) -> GenerationView {
    let known =
        known.iter().map(|(member, generation)| (MemberId(*member), StoreGeneration(*generation))).collect();
    GenerationView { generation: StoreGeneration(5), known }
}

/// A proposer at 3 after promises of 1 and 2 that held that value.
fn proposing(guards: Guards, held: Option<Value>, change: Change) -> (Proposer, Heap) {
    let config = CouncilConfig::new(MemberId(3), InstanceId(3), &members(), 1);
    let (mut proposer, mut heap) = (Proposer::new(config), Heap::default());
    proposer.guards = guards;
    let request = RequestId { member: MemberId(9), life: InstanceId(9), number: 7 };
    proposer.propose(Ms(0.0), KEY, Job { request, reply: MemberId(9), change, until: Ms(9e3) }, &mut heap);
    for (member, seen) in [(1, 1), (2, 2)] {
        let accepted = held.clone().map(|value| (ballot(seen), value));
        let Some((_, Message::Prepare { ballot, .. })) = heap.sent.first().cloned() else {
            panic!("no round")
        };
        let promise = Message::Promise { key: KEY, ballot, accepted, view: view(&[]) };
        proposer.on_message(Ms(1.0), MemberId(member), &promise, &mut heap);
    }
    (proposer, heap)
}

/// 1 accepted and then lost its memory; 2 accepted after it had heard of that. 2 alone holds the value.
#[test_case(true)]
#[test_case(false)]
fn an_accept_from_a_lost_memory_does_not_count(memories: bool) {
    let set = Change::Set { if_revision: 0, body: vec![1] };
    let (mut proposer, mut heap) =
        proposing(Guards { discard_lost_generations: memories, ..Guards::ALL }, None, set);
    let Some((_, Message::Accept { ballot, .. })) = heap.sent.last().cloned() else { panic!("no accept") };
    for (member, known) in [(1, vec![]), (2, vec![(1, 6)])] {
        let accepted = Message::Accepted { key: KEY, ballot, view: view(&known) };
        proposer.on_message(Ms(2.0), MemberId(member), &accepted, &mut heap);
    }
    let told = |heap: &Heap| heap.sent.iter().any(|(_, message)| matches!(message, Message::Answer { .. }));
    assert_eq!(told(&heap), !memories);
    let third = Message::Accepted { key: KEY, ballot, view: view(&[]) };
    proposer.on_message(Ms(3.0), MemberId(3), &third, &mut heap);
    assert!(told(&heap));
}

#[test_case(true)]
#[test_case(false)]
fn a_retry_finds_its_own_change(once: bool) {
    let set = Change::Set { if_revision: 1, body: vec![1] };
    let (proposer, heap) =
        proposing(Guards { deduplicate_requests: once, ..Guards::ALL }, Some(value(2, 7)), set);
    // Two promises at different ballots: not settled, so written again under the same request.
    assert!(
        matches!(heap.sent.last(), Some((_, Message::Accept { value: written, .. })) if *written == value(2, 7))
    );
    assert_eq!(format!("{proposer:?}").contains("done: true"), once);
}

#[test]
fn what_is_too_long_or_too_much_is_turned_away() {
    let config = CouncilConfig::new(MemberId(9), InstanceId(9), &members(), 1);
    let (mut follower, mut heap) = (Follower::new(Ms(0.0), config), Heap::default());
    let set = |bytes| Change::Set { if_revision: 0, body: vec![0; bytes] };
    follower.submit(Ms(0.0), 1, KEY, set(BODY_MOST + 1), &mut heap);
    assert_eq!(heap.answers, vec![(1, Outcome::Rejected)]);
    (2..200).for_each(|number| follower.submit(Ms(0.0), number, KEY, set(BODY_MOST), &mut heap));
    assert_eq!((heap.sent.len(), heap.answers.len()), (64, 1 + 134));
}

#[test_case(true)]
#[test_case(false)]
fn never_an_older_over_a_newer(newer: bool) {
    let config = CouncilConfig::new(MemberId(9), InstanceId(9), &members(), 1);
    let (mut follower, mut heap) = (Follower::new(Ms(0.0), config), Heap::default());
    follower.guards = Guards { ignore_older_values: newer, ..Guards::ALL };
    for revision in [5, 4] {
        let learned = Message::Learned { key: KEY, value: value(revision, revision) };
        follower.on_message(Ms(0.0), MemberId(1), &learned, &mut heap);
    }
    assert_eq!(follower.values()[&KEY].revision, if newer { 5 } else { 4 });
    let forged = Message::Learned { key: KEY, value: value(9, 9) };
    follower.on_message(Ms(0.0), MemberId(8), &forged, &mut heap);
    assert_ne!(follower.values()[&KEY].revision, 9);
}

/// Followers that know different parts come to know all, by riders and fetches of whole messages.
#[test]
fn followers_fetch_what_they_lack() {
    let mut heap = Heap::default();
    let mut followers: Vec<Follower> = (10..14)
        .map(|id| Follower::new(Ms(0.0), CouncilConfig::new(MemberId(id), InstanceId(id), &members(), 1)))
        .collect();
    for number in 0..1000_u16 {
        let value = Value { body: vec![1; usize::from(number % 300)], ..value(1 + u64::from(number % 7), 3) };
        followers[usize::from(number % 4)].learn(Key::Order(number), &value, &mut heap);
    }
    let (mut turns, mut bytes) = (0, 0);
    while followers.iter().any(|follower| follower.revision_digest() != followers[0].revision_digest()) {
        turns += 1;
        assert!(turns < 20, "{:?}", followers.iter().map(|f| f.values().len()).collect::<Vec<_>>());
        let riders: BTreeMap<usize, Vec<u8>> =
            (0..4).map(|at| (at, followers[at].revision_digest())).collect();
        for at in 0..4 {
            let (from, now) = ((at + 1) % 4, Ms(f64::from(turns) * 1000.0));
            let mut heap = Heap::default();
            assert!(riders[&from].len() <= 64);
            followers[at].on_digest(now, MemberId(10 + from as u64), &riders[&from], &mut heap);
            let mut sender = at;
            while let Some((to, message)) = heap.sent.pop() {
                let size = postcard::to_allocvec(&message).unwrap().len();
                assert!(size <= 900, "{size}");
                bytes += size;
                let to = to.0 as usize - 10;
                followers[to].on_message(now, MemberId(10 + sender as u64), &message, &mut heap);
                sender = to;
            }
        }
    }
    println!("4 followers of 250 keys each know all 1,000 after {turns} turns and {bytes} bytes");
    assert_eq!(followers[0].values().len(), 1000);
}

/// 2 knows a number of 1 from a recovery that was cut off; 1 is told and stands under a greater one from then on.
#[test]
fn a_sound_councillor_that_counts_nowhere_is_told_and_raises_its_number() {
    let config = CouncilConfig::new(MemberId(3), InstanceId(3), &members(), 1);
    let (mut proposer, mut heap) = (Proposer::new(config), Heap::default());
    let request = RequestId { member: MemberId(9), life: InstanceId(9), number: 7 };
    let job = Job { request, reply: MemberId(9), change: Change::Read, until: Ms(9e3) };
    proposer.propose(Ms(0.0), KEY, job, &mut heap);
    let Some((_, Message::Prepare { ballot, .. })) = heap.sent.first().cloned() else { panic!("no round") };
    for (member, known) in [(1, vec![]), (2, vec![(1, 6)])] {
        let promise = Message::Promise { key: KEY, ballot, accepted: None, view: view(&known) };
        proposer.on_message(Ms(1.0), MemberId(member), &promise, &mut heap);
    }
    let told = Message::Outdated { known: StoreGeneration(6) };
    assert_eq!(heap.sent.last(), Some(&(MemberId(1), told.clone())));
    let stored = StoredState { participating: true, ..StoredState::new(StoreGeneration(5)) };
    let mut councillor =
        Councillor::new(Ms(0.0), CouncilConfig::new(MemberId(1), InstanceId(1), &members(), 1), stored);
    for known in [told, Message::Outdated { known: StoreGeneration(4) }] {
        councillor.on_message(Ms(0.0), MemberId(3), &known, &AllowAll, &mut heap);
    }
    assert_eq!(
        heap.keeps.last().map(|(_, records)| records.clone()),
        Some(vec![Record::OwnGeneration(StoreGeneration(1 << 48 | 5))])
    );
    assert!(councillor.participates() && heap.keeps.len() == 1);
}
