//! One machine in hand, and messages made for it.

use ottersail::time::Ms;
use ottersail_membership::{
    Address, Body, Change, DialId, Effects, Incarnation, InstanceId, LocalMember, MemberId, MemberInfo,
    Members, MembershipConfig, Message, Sender, State, Topic, Update,
};

#[derive(Default)]
pub struct Sink {
    pub sent: Vec<(Address, Message)>,
    pub dials: Vec<(Address, DialId)>,
    pub changes: Vec<Change>,
}

impl Effects for Sink {
    fn send(&mut self, to: Address, message: &Message) {
        self.sent.push((to, message.clone()));
    }
    fn dial(&mut self, to: Address, tag: DialId) {
        self.dials.push((to, tag));
    }
    fn deliver(&mut self, _from: MemberId, _topic: Topic, _bytes: &[u8]) {}
    fn changed(&mut self, change: &Change) {
        self.changes.push(change.clone());
    }
}

pub fn address(at: u8) -> Address {
    Address::new([127, 0, 0, at].into(), 7000)
}

pub fn me(name: &str, at: u8) -> LocalMember {
    let id = MemberId::of("north", name);
    LocalMember {
        name: name.into(),
        id,
        instance: InstanceId(u64::from(at)),
        address: address(at),
        site: "hall".into(),
    }
}

pub fn sender(at: u8) -> Sender {
    let LocalMember { id, instance, address, .. } = me(&format!("m{at}"), at);
    Sender { id, instance, address }
}

pub fn news(at: u8, state: State, incarnation: u32) -> Update {
    let LocalMember { name, id, instance, address, site } = me(&format!("m{at}"), at);
    let place = Some(MemberInfo { name, address, site });
    Update { about: id, instance, incarnation: Incarnation(incarnation), state, by: None, place }
}

pub fn gossip(news: Vec<Update>) -> Message {
    Message { incarnation: Incarnation(0), body: Body::Gossip, updates: news, piggybacks: Vec::new() }
}

pub fn body(body: Body) -> Message {
    Message { incarnation: Incarnation(0), body, updates: Vec::new(), piggybacks: Vec::new() }
}

/// Member 1 that knows 2 and 3, not yet rung.
pub fn one(terms: impl FnOnce(&mut MembershipConfig)) -> (Members, Sink) {
    let mut own = MembershipConfig::new(me("m1", 1), vec![address(2)]);
    terms(&mut own);
    let mut members = Members::new(Ms(0.0), 1, own);
    let mut sink = Sink::default();
    let all = vec![news(2, State::Alive, 0), news(3, State::Alive, 0)];
    members.handle_message(Ms(0.0), sender(2), gossip(all), &mut sink);
    (members, sink)
}

pub fn state(members: &Members, at: u8) -> Option<State> {
    let id = sender(at).id;
    members.others().find(|(it, _)| **it == id).map(|(_, known)| known.state)
}

/// Rings until it probes that member, and gives the probe's number.
pub fn probe_of(members: &mut Members, sink: &mut Sink, now: &mut f64, at: u8) -> u32 {
    for _ in 0..100 {
        *now = members.next_deadline().0;
        sink.sent.clear();
        members.handle_deadline(Ms(*now), sink);
        for (to, message) in &sink.sent {
            if let Body::Probe { number, .. } = message.body {
                if *to == address(at) {
                    return number;
                }
            }
        }
    }
    panic!("no probe of {at}");
}

/// Rings whenever the bell is due.
pub fn run_to(members: &mut Members, sink: &mut Sink, until: f64) {
    while members.next_deadline().0 <= until {
        members.handle_deadline(members.next_deadline(), sink);
    }
}
