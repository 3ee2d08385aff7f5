//! One member with recorded effects, and messages for it. Members are numbered; member n has the name `mn`.

use ottersail::time::Ms;
use ottersail_membership::{
    Address, Body, Change, DialId, Effects, Incarnation, InstanceId, LocalMember, MemberId, MemberInfo,
    Members, MembershipConfig, Message, Sender, State, Topic, Update,
};

#[derive(Default)]
pub struct RecordedEffects {
    pub sent: Vec<(Address, Message)>,
    pub dials: Vec<(Address, DialId)>,
    pub changes: Vec<Change>,
}

impl Effects for RecordedEffects {
    fn send(&mut self, to: Address, message: &Message) {
        self.sent.push((to, message.clone()));
    }
    fn dial(&mut self, to: Address, id: DialId) {
        self.dials.push((to, id));
    }
    fn deliver(&mut self, _from: MemberId, _topic: Topic, _bytes: &[u8]) {}
    fn changed(&mut self, change: &Change) {
        self.changes.push(change.clone());
    }
}

pub fn address(number: u8) -> Address {
    Address::new([127, 0, 0, number].into(), 7000)
}

pub fn local_member(name: &str, number: u8) -> LocalMember {
    let id = MemberId::of("north", name);
    LocalMember {
        name: name.into(),
        id,
        instance: InstanceId(u64::from(number)),
        address: address(number),
        site: "hall".into(),
    }
}

pub fn sender(number: u8) -> Sender {
    let LocalMember { id, instance, address, .. } = local_member(&format!("m{number}"), number);
    Sender { id, instance, address }
}

pub fn update(number: u8, state: State, incarnation: u32) -> Update {
    let LocalMember { name, id, instance, address, site } = local_member(&format!("m{number}"), number);
    let info = Some(MemberInfo { name, address, site });
    Update { member: id, instance, incarnation: Incarnation(incarnation), state, reported_by: None, info }
}

pub fn gossip(updates: Vec<Update>) -> Message {
    Message { incarnation: Incarnation(0), body: Body::Gossip, updates, piggybacks: Vec::new() }
}

pub fn body(body: Body) -> Message {
    Message { incarnation: Incarnation(0), body, updates: Vec::new(), piggybacks: Vec::new() }
}

/// Member 1, which knows members 2 and 3 and has not handled a timer yet.
pub fn member_knowing_two(adjust: impl FnOnce(&mut MembershipConfig)) -> (Members, RecordedEffects) {
    let mut config = MembershipConfig::new(local_member("m1", 1), vec![address(2)]);
    adjust(&mut config);
    let mut members = Members::new(Ms(0.0), 1, config);
    let mut effects = RecordedEffects::default();
    let all = vec![update(2, State::Alive, 0), update(3, State::Alive, 0)];
    members.handle_message(Ms(0.0), sender(2), gossip(all), &mut effects);
    (members, effects)
}

pub fn state(members: &Members, number: u8) -> Option<State> {
    let id = sender(number).id;
    members.others().find(|(other, _)| **other == id).map(|(_, view)| view.state)
}

/// Runs the timer until the member probes the target; returns the probe's number.
pub fn run_until_probe(
    members: &mut Members,
    effects: &mut RecordedEffects,
    now: &mut f64,
    target: u8,
) -> u32 {
    for _ in 0..100 {
        *now = members.next_deadline().0;
        effects.sent.clear();
        members.handle_deadline(Ms(*now), effects);
        for (to, message) in &effects.sent {
            if let Body::Probe { number, .. } = message.body {
                if *to == address(target) {
                    return number;
                }
            }
        }
    }
    panic!("no probe of {target}");
}

/// Runs the timer whenever it is due, up to that time.
pub fn run_to(members: &mut Members, effects: &mut RecordedEffects, until: f64) {
    while members.next_deadline().0 <= until {
        members.handle_deadline(members.next_deadline(), effects);
    }
}
