//! The machine by itself, with messages made by hand.

mod hands;
mod limits;

use hands::{body, gossip, me, news, one, probe_of, run_to, sender, state};
use ottersail::time::Ms;
use ottersail_membership::{
    Body, Change, Incarnation, InstanceId, LocalMember, Members, Message, Reachability, Sender, State, Update,
};
use test_case::test_case;

#[test_case(true, State::Suspect; "answered just now")]
#[test_case(false, State::Dead; "not answered")]
fn told_of_a_death_one_that_hears_it_looks_first(answered: bool, held: State) {
    let (mut members, mut sink) = one(|_| {});
    let mut now = 0.0;
    let number = probe_of(&mut members, &mut sink, &mut now, 3);
    if answered {
        members.handle_message(Ms(now), sender(3), body(Body::Ack { number }), &mut sink);
    }
    sink.sent.clear();
    members.handle_message(Ms(now), sender(2), gossip(vec![news(3, State::Dead, 0)]), &mut sink);
    assert_eq!(state(&members, 3), Some(held));
    let probes =
        sink.sent.iter().filter(|(to, it)| *to == sender(3).address && matches!(it.body, Body::Probe { .. }));
    assert_eq!(probes.count(), usize::from(answered));
}

#[test]
fn a_suspicion_that_ran_out_in_a_pause_runs_again() {
    let (mut members, mut sink) = one(|_| {});
    members.handle_deadline(Ms(0.0), &mut sink);
    members.handle_message(Ms(1.0), sender(2), gossip(vec![news(3, State::Suspect, 0)]), &mut sink);
    members.handle_deadline(Ms(60_000.0), &mut sink);
    assert_eq!(state(&members, 3), Some(State::Suspect));
    assert!(sink.changes.iter().any(|it| matches!(it, Change::Paused { .. })));
    assert_eq!(members.counters().health, 1);
    members.handle_deadline(Ms(60_900.0), &mut sink);
    assert_eq!(state(&members, 3), Some(State::Suspect));
}

#[test]
fn a_probe_that_ran_out_in_a_pause_waits_for_what_lies_unread() {
    let (mut members, mut sink) = one(|terms| terms.retransmit_factor = 0.0);
    let mut now = 0.0;
    let number = probe_of(&mut members, &mut sink, &mut now, 3);
    sink.sent.clear();
    let before = (sink.dials.len(), members.counters().suspicions);
    now = members.next_deadline().0 + 10_000.0;
    members.handle_deadline(Ms(now), &mut sink);
    let again = |it: &Body| match it {
        Body::ProbeFor { .. } => true,
        Body::Probe { number: it, .. } => *it == number,
        _ => false,
    };
    let asked = sink.sent.iter().filter(|(_, it)| again(&it.body)).count();
    assert_eq!((asked, (sink.dials.len(), members.counters().suspicions)), (0, before));
    members.handle_message(Ms(now), sender(3), body(Body::Ack { number }), &mut sink);
    assert_eq!(members.counters().acks, 1);
}

#[test]
fn no_suspicion_ends_before_two_periods() {
    let (mut members, mut sink) = one(|_| {});
    for by in [2, 4] {
        let suspect = Update { by: Some(sender(by).id), ..news(3, State::Suspect, 0) };
        members.handle_message(Ms(1.0), sender(2), gossip(vec![suspect]), &mut sink);
    }
    run_to(&mut members, &mut sink, 1990.0);
    assert_eq!(state(&members, 3), Some(State::Suspect));
    run_to(&mut members, &mut sink, 2010.0);
    assert_eq!(state(&members, 3), Some(State::Dead));
}

#[test]
fn one_that_nobody_answers_doubts_itself_and_waits_longer() {
    let (mut members, mut sink) = one(|_| {});
    run_to(&mut members, &mut sink, 10_000.0);
    assert!(members.counters().health >= 2, "{}", members.counters().health);
    assert!(members.counters().probes <= 7, "{}", members.counters().probes);
}

#[test]
fn the_accused_is_told_after_the_rumour_has_died_down() {
    let (mut members, mut sink) = one(|terms| terms.retransmit_factor = 0.0);
    members.handle_message(Ms(1.0), sender(2), gossip(vec![news(3, State::Suspect, 0)]), &mut sink);
    run_to(&mut members, &mut sink, 400.0);
    sink.sent.clear();
    let LocalMember { id: to, instance, .. } = me("m1", 1);
    members.handle_message(Ms(400.0), sender(3), body(Body::Probe { number: 1, to, instance }), &mut sink);
    let told: Vec<_> =
        sink.sent.iter().flat_map(|(_, it)| &it.updates).map(|it| (it.about, it.state)).collect();
    assert_eq!(told, [(sender(3).id, State::Suspect)]);
}

/// The rumour of it may have died down before it came here.
#[test_case(0, State::Suspect; "the word that was suspected")]
#[test_case(1, State::Alive; "a newer one")]
fn its_own_newer_word_ends_a_suspicion(incarnation: u32, held: State) {
    let (mut members, mut sink) = one(|_| {});
    members.handle_message(Ms(1.0), sender(2), gossip(vec![news(3, State::Suspect, 0)]), &mut sink);
    let word = Message { incarnation: Incarnation(incarnation), ..gossip(vec![]) };
    members.handle_message(Ms(2.0), sender(3), word, &mut sink);
    assert_eq!(state(&members, 3), Some(held));
}

#[test]
fn an_ack_of_another_life_is_no_ack() {
    let (mut members, mut sink) = one(|_| {});
    let mut now = 0.0;
    let number = probe_of(&mut members, &mut sink, &mut now, 3);
    let former = Sender { instance: InstanceId(99), ..sender(3) };
    members.handle_message(Ms(now), former, body(Body::Ack { number }), &mut sink);
    assert_eq!(members.counters().acks, 0);
    let reachability =
        members.others().find(|(id, _)| **id == sender(3).id).map(|(_, known)| known.reachability);
    assert_ne!(reachability, Some(Reachability::Mutual));
}

#[test]
fn one_that_hears_of_a_suspicion_looks_too() {
    let (mut members, mut sink) = one(|_| {});
    sink.sent.clear();
    members.handle_message(Ms(1.0), sender(2), gossip(vec![news(3, State::Suspect, 0)]), &mut sink);
    let to: Vec<_> = sink.sent.iter().map(|(to, _)| *to).collect();
    assert_eq!(to, [sender(3).address]);
}

#[test]
fn a_probe_of_a_former_life_is_no_ones() {
    let (mut members, mut sink) = one(|_| {});
    sink.sent.clear();
    let probe = Body::Probe { number: 1, to: sender(1).id, instance: InstanceId(99) };
    members.handle_message(Ms(1.0), sender(2), body(probe), &mut sink);
    let bodies: Vec<_> = sink.sent.iter().map(|(_, it)| it.body.clone()).collect();
    assert_eq!(bodies, [Body::Gossip]);
    assert!(sink.sent[0]
        .1
        .updates
        .iter()
        .any(|it| it.about == sender(1).id && it.instance == sender(1).instance));
}

#[test]
fn what_is_said_of_it_is_contradicted_once() {
    let (mut members, mut sink) = one(|_| {});
    for _ in 0..3 {
        members.handle_message(Ms(1.0), sender(2), gossip(vec![news(1, State::Suspect, 4)]), &mut sink);
    }
    assert_eq!(members.counters().refutations, 1);
    members.handle_deadline(Ms(200.0), &mut sink);
    let told = sink.sent.iter().flat_map(|(_, message)| &message.updates);
    let mine: Vec<&Update> = told.filter(|news| news.about == sender(1).id).collect();
    assert!(mine.iter().any(|news| news.incarnation == Incarnation(5) && news.state == State::Alive));
}

#[test]
fn older_news_never_replace_newer() {
    let (mut members, mut sink) = one(|_| {});
    let mut report_state = |members: &mut Members, state, incarnation| {
        members.handle_message(Ms(1.0), sender(2), gossip(vec![news(3, state, incarnation)]), &mut sink);
    };
    report_state(&mut members, State::Left, 5);
    for (late, incarnation) in [(State::Alive, 5), (State::Dead, 5), (State::Alive, 0)] {
        report_state(&mut members, late, incarnation);
        assert_eq!(state(&members, 3), Some(State::Left));
    }
    report_state(&mut members, State::Alive, 6);
    assert_eq!(state(&members, 3), Some(State::Alive));
}

#[test_case(true, 0; "the helper says not yet")]
#[test_case(false, 1; "the helper is silent")]
fn a_silent_helper_is_a_sign_of_own_trouble(nacked: bool, worse: u32) {
    let (mut members, mut sink) = one(|_| {});
    // Member 2 answers its own probes; member 3 answers nothing.
    while state(&members, 3) == Some(State::Alive) {
        let now = members.next_deadline();
        for (to, message) in std::mem::take(&mut sink.sent) {
            let answer = match message.body {
                Body::Probe { number, .. } if to == sender(2).address => Body::Ack { number },
                Body::ProbeFor { number, .. } if nacked && to == sender(2).address => {
                    Body::NackFor { number }
                }
                _ => continue,
            };
            members.handle_message(now, sender(2), body(answer), &mut sink);
        }
        members.handle_deadline(now, &mut sink);
    }
    assert_eq!(members.counters().health, worse);
}
