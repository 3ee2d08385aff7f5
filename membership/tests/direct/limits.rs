//! Settings that are refused, and bounds on what other members can make a member store or send.

use crate::member::{body, gossip, local_member, member_knowing_two, sender, update};
use ottersail::time::Ms;
use ottersail_membership::{
    Body, Incarnation, MembershipConfig, MembershipConfigError, Piggyback, Sender, State, Topic,
};
use test_case::test_case;

#[test]
fn indirect_probes_are_bounded() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    effects.sent.clear();
    let Sender { id: target, instance, address } = sender(3);
    for number in 0..1000 {
        members.handle_message(
            Ms(1.0),
            sender(2),
            body(Body::ProbeRequest { number, target, instance, address }),
            &mut effects,
        );
    }
    assert_eq!(effects.sent.len(), 64);
}

#[test]
fn the_list_of_members_is_bounded() {
    let (mut members, mut effects) = member_knowing_two(|config| config.max_members = 20);
    for number in 4..200 {
        members.handle_message(
            Ms(1.0),
            sender(2),
            gossip(vec![update(number, State::Alive, 0)]),
            &mut effects,
        );
    }
    assert_eq!(members.others().count(), 20);
}

#[test]
fn unknown_senders_cannot_request_probes() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    effects.sent.clear();
    let Sender { id: target, instance, address } = sender(3);
    members.handle_message(
        Ms(1.0),
        sender(50),
        body(Body::ProbeRequest { number: 1, target, instance, address }),
        &mut effects,
    );
    assert_eq!(effects.sent, []);
}

#[test_case(|config| config.local.name = "Über".into(), "members.name"; "name")]
#[test_case(|config| config.local.name.clear(), "members.name"; "no name")]
#[test_case(|config| config.local.site = "a b".into(), "members.site"; "site")]
#[test_case(|config| config.probe_period = Ms(1.0), "members.period"; "period")]
fn invalid_settings_are_reported_by_key(break_setting: fn(&mut MembershipConfig), key: &str) {
    let mut config = MembershipConfig::new(local_member("m1", 1), Vec::new());
    assert_eq!(config.check(), Ok(()));
    break_setting(&mut config);
    let error: MembershipConfigError = config.check().unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with(key) && text.contains("is not") && text.contains("; "), "{text}");
}

#[test]
fn names_and_piggybacks_of_others_are_bounded() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    let mut update_with_long_site = update(3, State::Alive, 7);
    update_with_long_site.info.as_mut().unwrap().site = "x".repeat(33);
    let mut message = gossip(vec![update_with_long_site]);
    let piggyback = |topic, length| Piggyback { topic: Topic(topic), bytes: vec![1; length] };
    message.piggybacks = vec![piggyback(1, 65), piggyback(2, 64)];
    members.handle_message(Ms(1.0), sender(2), message, &mut effects);
    for (id, view) in members.others() {
        assert_eq!((view.site.as_str(), view.incarnation), ("hall", Incarnation(0)));
        let topics: Vec<_> = view.piggybacks.keys().copied().collect();
        assert_eq!(topics, if *id == sender(2).id { vec![Topic(2)] } else { vec![] });
    }
}
