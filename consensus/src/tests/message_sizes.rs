//! The largest messages fit in one datagram between members.

use test_case::test_case;

use crate::message::GenerationView;
use crate::*;

const MAX_MESSAGE_BYTES: usize = 900;
const KEY: Key = Key::Order(u16::MAX);
const ID: RequestId = RequestId { member: MemberId(u64::MAX), life: InstanceId(u64::MAX), number: u64::MAX };

fn ballot() -> Ballot {
    Ballot { number: u64::MAX, proposer: MemberId(u64::MAX), life: InstanceId(u64::MAX) }
}

fn value() -> Value {
    Value { revision: u64::MAX, request: ID, body: vec![255; MAX_BODY_BYTES] }
}

/// The largest view, in a council of seven.
fn view() -> GenerationView {
    let known = (0..7).map(|member| (MemberId(u64::MAX - member), StoreGeneration(u64::MAX))).collect();
    GenerationView { generation: StoreGeneration(u64::MAX), known }
}

fn change() -> Change {
    Change::Set { if_revision: u64::MAX, body: vec![255; MAX_BODY_BYTES] }
}

fn page() -> Vec<(Key, Register)> {
    vec![(KEY, Register { promised: ballot(), accepted: Some((ballot(), value())) })]
}

#[test_case(Message::Promise { key: KEY, ballot: ballot(), accepted: Some((ballot(), value())), view: view() })]
#[test_case(Message::Accept { key: KEY, ballot: ballot(), value: value() })]
#[test_case(Message::Accepted { key: KEY, ballot: ballot(), view: view() })]
#[test_case(Message::Learned { key: KEY, value: value() })]
#[test_case(Message::Propose { request: ID, key: KEY, change: change() })]
#[test_case(Message::Answer { request: ID, outcome: Outcome::Chosen(value()) })]
#[test_case(Message::Recover { generation: StoreGeneration(u64::MAX), founders: Some(view().known), after: Some(KEY) })]
#[test_case(Message::Recovered {
    generation: StoreGeneration(u64::MAX), after: Some(KEY), page: page(), more: true, view: view()
})]
#[test_case(Message::Fetch { after: Some(KEY), up_to: Some(KEY), known_revisions: vec![(KEY, u64::MAX); 50] })]
#[test_case(Message::Found { values: vec![(KEY, value())], more: Some(KEY) })]
fn largest_messages_fit_in_a_datagram(message: Message) {
    let bytes = postcard::to_allocvec(&message).unwrap();
    assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
    assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
}
