//! The state machine of one member, driven with messages made by the test.

mod limits;
mod member;

use member::{
    body, gossip, local_member, member_knowing_two, run_to, run_until_probe, sender, state, update,
};
use ottersail::time::Ms;
use ottersail_membership::{
    Body, Change, Incarnation, InstanceId, LocalMember, Members, Message, Reachability, Sender, State, Update,
};
use test_case::test_case;

#[test_case(true, State::Suspect; "answered just now")]
#[test_case(false, State::Dead; "not answered")]
fn a_reported_death_only_starts_a_suspicion_after_a_recent_ack(answered: bool, expected: State) {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    let mut now = 0.0;
    let number = run_until_probe(&mut members, &mut effects, &mut now, 3);
    if answered {
        members.handle_message(Ms(now), sender(3), body(Body::Ack { number }), &mut effects);
    }
    effects.sent.clear();
    members.handle_message(Ms(now), sender(2), gossip(vec![update(3, State::Dead, 0)]), &mut effects);
    assert_eq!(state(&members, 3), Some(expected));
    let probes = effects
        .sent
        .iter()
        .filter(|(to, message)| *to == sender(3).address && matches!(message.body, Body::Probe { .. }));
    assert_eq!(probes.count(), usize::from(answered));
}

#[test]
fn a_suspicion_that_expired_during_a_pause_runs_again() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    members.handle_deadline(Ms(0.0), &mut effects);
    members.handle_message(Ms(1.0), sender(2), gossip(vec![update(3, State::Suspect, 0)]), &mut effects);
    members.handle_deadline(Ms(60_000.0), &mut effects);
    assert_eq!(state(&members, 3), Some(State::Suspect));
    assert!(effects.changes.iter().any(|change| matches!(change, Change::Paused { .. })));
    assert_eq!(members.counters().health, 1);
    members.handle_deadline(Ms(60_900.0), &mut effects);
    assert_eq!(state(&members, 3), Some(State::Suspect));
}

#[test]
fn a_probe_that_timed_out_during_a_pause_waits_for_unread_acks() {
    let (mut members, mut effects) = member_knowing_two(|config| config.retransmit_factor = 0.0);
    let mut now = 0.0;
    let number = run_until_probe(&mut members, &mut effects, &mut now, 3);
    effects.sent.clear();
    let before = (effects.dials.len(), members.counters().suspicions);
    now = members.next_deadline().0 + 10_000.0;
    members.handle_deadline(Ms(now), &mut effects);
    let repeats = |body: &Body| match body {
        Body::ProbeRequest { .. } => true,
        Body::Probe { number: sent, .. } => *sent == number,
        _ => false,
    };
    let repeated = effects.sent.iter().filter(|(_, message)| repeats(&message.body)).count();
    assert_eq!((repeated, (effects.dials.len(), members.counters().suspicions)), (0, before));
    members.handle_message(Ms(now), sender(3), body(Body::Ack { number }), &mut effects);
    assert_eq!(members.counters().acks, 1);
}

#[test]
fn no_suspicion_ends_before_two_periods() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    for reporter in [2, 4] {
        let suspect = Update { reported_by: Some(sender(reporter).id), ..update(3, State::Suspect, 0) };
        members.handle_message(Ms(1.0), sender(2), gossip(vec![suspect]), &mut effects);
    }
    run_to(&mut members, &mut effects, 1990.0);
    assert_eq!(state(&members, 3), Some(State::Suspect));
    run_to(&mut members, &mut effects, 2010.0);
    assert_eq!(state(&members, 3), Some(State::Dead));
}

#[test]
fn a_member_without_answers_degrades_its_health_and_probes_less_often() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    run_to(&mut members, &mut effects, 10_000.0);
    assert!(members.counters().health >= 2, "{}", members.counters().health);
    assert!(members.counters().probes <= 7, "{}", members.counters().probes);
}

#[test]
fn a_suspect_is_told_in_answers_after_gossip_has_ceased() {
    let (mut members, mut effects) = member_knowing_two(|config| config.retransmit_factor = 0.0);
    members.handle_message(Ms(1.0), sender(2), gossip(vec![update(3, State::Suspect, 0)]), &mut effects);
    run_to(&mut members, &mut effects, 400.0);
    effects.sent.clear();
    let LocalMember { id: to, instance, .. } = local_member("m1", 1);
    members.handle_message(Ms(400.0), sender(3), body(Body::Probe { number: 1, to, instance }), &mut effects);
    let statements: Vec<_> = effects
        .sent
        .iter()
        .flat_map(|(_, message)| &message.updates)
        .map(|update| (update.member, update.state))
        .collect();
    assert_eq!(statements, [(sender(3).id, State::Suspect)]);
}

/// The refutation of a suspicion may cease to be gossiped before it reaches this member.
#[test_case(0, State::Suspect; "the suspected incarnation")]
#[test_case(1, State::Alive; "a newer incarnation")]
fn a_datagram_with_a_newer_incarnation_ends_a_suspicion(incarnation: u32, expected: State) {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    members.handle_message(Ms(1.0), sender(2), gossip(vec![update(3, State::Suspect, 0)]), &mut effects);
    let message = Message { incarnation: Incarnation(incarnation), ..gossip(vec![]) };
    members.handle_message(Ms(2.0), sender(3), message, &mut effects);
    assert_eq!(state(&members, 3), Some(expected));
}

#[test]
fn an_ack_of_another_instance_is_ignored() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    let mut now = 0.0;
    let number = run_until_probe(&mut members, &mut effects, &mut now, 3);
    let earlier = Sender { instance: InstanceId(99), ..sender(3) };
    members.handle_message(Ms(now), earlier, body(Body::Ack { number }), &mut effects);
    assert_eq!(members.counters().acks, 0);
    let reachability =
        members.others().find(|(id, _)| **id == sender(3).id).map(|(_, view)| view.reachability);
    assert_ne!(reachability, Some(Reachability::Mutual));
}

#[test]
fn a_member_told_of_a_suspicion_probes_the_suspect() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    effects.sent.clear();
    members.handle_message(Ms(1.0), sender(2), gossip(vec![update(3, State::Suspect, 0)]), &mut effects);
    let to: Vec<_> = effects.sent.iter().map(|(to, _)| *to).collect();
    assert_eq!(to, [sender(3).address]);
}

#[test]
fn a_probe_of_an_earlier_instance_is_answered_with_an_update() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    effects.sent.clear();
    let probe = Body::Probe { number: 1, to: sender(1).id, instance: InstanceId(99) };
    members.handle_message(Ms(1.0), sender(2), body(probe), &mut effects);
    let bodies: Vec<_> = effects.sent.iter().map(|(_, message)| message.body.clone()).collect();
    assert_eq!(bodies, [Body::Gossip]);
    assert!(effects.sent[0]
        .1
        .updates
        .iter()
        .any(|update| update.member == sender(1).id && update.instance == sender(1).instance));
}

#[test]
fn a_repeated_suspicion_is_refuted_once() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    for _ in 0..3 {
        members.handle_message(Ms(1.0), sender(2), gossip(vec![update(1, State::Suspect, 4)]), &mut effects);
    }
    assert_eq!(members.counters().refutations, 1);
    members.handle_deadline(Ms(200.0), &mut effects);
    let sent = effects.sent.iter().flat_map(|(_, message)| &message.updates);
    let own: Vec<&Update> = sent.filter(|update| update.member == sender(1).id).collect();
    assert!(own.iter().any(|update| update.incarnation == Incarnation(5) && update.state == State::Alive));
}

#[test]
fn older_updates_never_replace_newer_ones() {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    let mut report_state = |members: &mut Members, state, incarnation| {
        members.handle_message(Ms(1.0), sender(2), gossip(vec![update(3, state, incarnation)]), &mut effects);
    };
    report_state(&mut members, State::Left, 5);
    for (late, incarnation) in [(State::Alive, 5), (State::Dead, 5), (State::Alive, 0)] {
        report_state(&mut members, late, incarnation);
        assert_eq!(state(&members, 3), Some(State::Left));
    }
    report_state(&mut members, State::Alive, 6);
    assert_eq!(state(&members, 3), Some(State::Alive));
}

#[test_case(true, 0; "the helper sends a nack")]
#[test_case(false, 1; "the helper is silent")]
fn a_silent_helper_degrades_the_local_health(nacked: bool, expected_health: u32) {
    let (mut members, mut effects) = member_knowing_two(|_| {});
    // Member 2 answers its own probes; member 3 answers nothing.
    while state(&members, 3) == Some(State::Alive) {
        let now = members.next_deadline();
        for (to, message) in std::mem::take(&mut effects.sent) {
            let answer = match message.body {
                Body::Probe { number, .. } if to == sender(2).address => Body::Ack { number },
                Body::ProbeRequest { number, .. } if nacked && to == sender(2).address => {
                    Body::ForwardedNack { number }
                }
                _ => continue,
            };
            members.handle_message(now, sender(2), body(answer), &mut effects);
        }
        members.handle_deadline(now, &mut effects);
    }
    assert_eq!(members.counters().health, expected_health);
}
