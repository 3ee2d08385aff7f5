//! Settings that are refused, and bounds on what other members can make a member store or send.

use crate::hands::{body, gossip, me, news, one, sender};
use ottersail::time::Ms;
use ottersail_membership::{
    Body, Incarnation, MembershipConfig, MembershipConfigError, Piggyback, Sender, State, Topic,
};
use test_case::test_case;

#[test]
fn requests_for_help_are_bounded() {
    let (mut members, mut sink) = one(|_| {});
    sink.sent.clear();
    let Sender { id: target, instance, address: at } = sender(3);
    for number in 0..1000 {
        members.handle_message(
            Ms(1.0),
            sender(2),
            body(Body::ProbeFor { number, target, instance, at }),
            &mut sink,
        );
    }
    assert_eq!(sink.sent.len(), 64);
}

#[test]
fn the_list_of_members_is_bounded() {
    let (mut members, mut sink) = one(|terms| terms.max_members = 20);
    for at in 4..200 {
        members.handle_message(Ms(1.0), sender(2), gossip(vec![news(at, State::Alive, 0)]), &mut sink);
    }
    assert_eq!(members.others().count(), 20);
}

#[test]
fn strangers_cannot_have_members_probed() {
    let (mut members, mut sink) = one(|_| {});
    sink.sent.clear();
    let Sender { id: target, instance, address: at } = sender(3);
    members.handle_message(
        Ms(1.0),
        sender(50),
        body(Body::ProbeFor { number: 1, target, instance, at }),
        &mut sink,
    );
    assert_eq!(sink.sent, []);
}

#[test_case(|terms| terms.local.name = "Über".into(), "members.name"; "name")]
#[test_case(|terms| terms.local.name.clear(), "members.name"; "no name")]
#[test_case(|terms| terms.local.site = "a b".into(), "members.site"; "site")]
#[test_case(|terms| terms.probe_period = Ms(1.0), "members.period"; "period")]
fn what_is_wrong_with_settings_is_told(spoil: fn(&mut MembershipConfig), key: &str) {
    let mut terms = MembershipConfig::new(me("m1", 1), Vec::new());
    assert_eq!(terms.check(), Ok(()));
    spoil(&mut terms);
    let trouble: MembershipConfigError = terms.check().unwrap_err();
    let text = trouble.to_string();
    assert!(text.starts_with(key) && text.contains("is not") && text.contains("; "), "{text}");
}

#[test]
fn names_and_riders_of_others_are_bounded() {
    let (mut members, mut sink) = one(|_| {});
    let mut long = news(3, State::Alive, 7);
    long.place.as_mut().unwrap().site = "x".repeat(33);
    let mut message = gossip(vec![long]);
    let rider = |topic, length| Piggyback { topic: Topic(topic), bytes: vec![1; length] };
    message.piggybacks = vec![rider(1, 65), rider(2, 64)];
    members.handle_message(Ms(1.0), sender(2), message, &mut sink);
    for (id, known) in members.others() {
        assert_eq!((known.site.as_str(), known.incarnation), ("hall", Incarnation(0)));
        let topics: Vec<_> = known.piggybacks.keys().copied().collect();
        assert_eq!(topics, if *id == sender(2).id { vec![Topic(2)] } else { vec![] });
    }
}
