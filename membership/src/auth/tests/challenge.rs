//! How instances are challenged, verified, doubted and evicted.

use super::*;

#[test]
fn an_unknown_instance_is_challenged_and_not_stored_until_it_echoes() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let first = a.seal(None, &5u32).unwrap();
    let challenged = challenge(&mut b, NOW, &first);
    assert!(challenged.len() <= first.len(), "{} > {}", challenged.len(), first.len());
    assert_eq!((b.instance_count(), b.sent.len()), (0, 0));
    let resent = resend(&mut a, NOW, &challenged);
    assert_eq!(open(&mut b, NOW, &resent), accepted(A, 1, 5));
    assert_eq!(b.instance_count(), 1);
    // The challenge was recent, so the other direction needs none.
    let answer = b.seal(Some(A), &6u32).unwrap();
    assert_eq!(open(&mut a, NOW, &answer), accepted(B, 2, 6));
}

#[test]
fn a_datagram_shorter_than_a_challenge_gets_no_challenge() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    a.counter += 1;
    let short = a.sealed(Kind::Plain, Some(B), &[&[5]]);
    assert_eq!(open(&mut b, NOW, &short), dropped(DropReason::Unchallenged));
    let empty = a.seal(Some(B), &()).unwrap();
    assert_eq!(challenge(&mut b, NOW, &empty).len(), empty.len());
}

#[test]
fn a_cookie_is_bound_to_its_time_instance_sender_and_process() {
    for (later, valid) in [(0.0, true), (5_000.0, true), (10_000.0, false)] {
        let (mut a, mut b) = (auth(A, 1), auth(B, 2));
        let echo = echo(&mut a, &mut b, NOW, 5);
        let expected = if valid { accepted(A, 1, 5) } else { dropped(DropReason::Unchallenged) };
        assert_eq!(open(&mut b, NOW + Ms(later), &echo), expected, "{later} ms");
        assert_eq!(b.instance_count(), usize::from(valid));
    }
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let echoed = echo(&mut a, &mut b, NOW, 5);
    let cookie = &echoed[HEADER_BYTES..HEADER_BYTES + COOKIE_BYTES];
    for mut other in [auth(A, 9), auth(MemberId(3), 1)] {
        other.counter = 1;
        let stolen = other.sealed(Kind::Echo, Some(B), &[cookie, &[5]]);
        assert_eq!(open(&mut b, NOW, &stolen), dropped(DropReason::Unchallenged));
    }
    // First the same seed in another instance, then the same instance with another seed.
    for (instance, seed) in [(4, b.instance.0 ^ 7), (2, 99)] {
        let mut restarted =
            DatagramAuth::new(B, InstanceId(instance), "harbour", Keys::read(NEW).unwrap(), seed);
        assert_eq!(open(&mut restarted, NOW, &echoed), dropped(DropReason::Unchallenged));
    }
}

#[test]
fn a_challenge_is_answered_once_and_only_for_a_datagram_of_this_instance() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let first = a.seal(Some(B), &5u32).unwrap();
    let challenged = challenge(&mut b, NOW, &first);
    assert_eq!(
        open(&mut auth(A, 9), NOW, &challenged),
        dropped(DropReason::Unchallenged),
        "another instance"
    );
    // The new instance has used the same counter, but the challenge names the earlier instance.
    let mut restarted = auth(A, 9);
    restarted.seal(Some(B), &5u32).unwrap();
    assert_eq!(open(&mut restarted, NOW, &challenged), dropped(DropReason::Unchallenged), "the same counter");
    let mut third = auth(MemberId(3), 3);
    let parts: [&[u8]; 3] = [&1u64.to_be_bytes(), &1u64.to_be_bytes(), &[0; COOKIE_BYTES]];
    let unrelated = third.sealed(Kind::Challenge, Some(A), &parts);
    third.counter = 5;
    assert_eq!(
        open(&mut a, NOW, &unrelated),
        dropped(DropReason::Unchallenged),
        "the message was sent to another member"
    );
    assert_eq!(a.instance_count(), 0);
    resend(&mut a, NOW, &challenged);
    assert_eq!(open(&mut a, NOW, &challenged), dropped(DropReason::Unchallenged), "twice");
    let truncated = b.sealed(Kind::Challenge, Some(A), &[&1u64.to_be_bytes()]);
    assert_eq!(open(&mut a, NOW, &truncated), dropped(DropReason::TooShort), "no cookie");
}

#[test]
fn challenges_use_no_counters_and_kept_bodies_are_bounded() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    for number in 0..500u32 {
        let bytes = a.seal(Some(B), &number).unwrap();
        challenge(&mut b, NOW, &bytes);
    }
    assert_eq!((b.counter, a.sent.len() as u64), (0, MAX_KEPT_BODIES));
}

#[test]
fn an_earlier_instance_is_never_accepted_again() {
    let (mut a, mut b) = pair();
    let opened = a.seal(Some(B), &6u32).unwrap();
    assert_eq!(open(&mut b, NOW, &opened), accepted(A, 1, 6));
    // A datagram that is delayed until long after the process was restarted.
    let delayed = a.seal(Some(B), &7u32).unwrap();
    let mut a = auth(A, 10);
    let echo = echo(&mut a, &mut b, NOW, 8);
    assert_eq!(open(&mut b, NOW, &echo), accepted(A, 10, 8));
    assert_eq!(open(&mut b, NOW, &opened), dropped(DropReason::Replayed));
    // The earlier instance is challenged. Its address is now that of the new one, which can't answer.
    let challenged = challenge(&mut b, NOW, &delayed);
    assert_eq!(open(&mut a, NOW, &challenged), dropped(DropReason::Unchallenged));
    // A member that started since does not know that instance, and none of its datagrams verifies it.
    let mut b = auth(B, 20);
    for bytes in [&opened, &delayed] {
        let challenged = challenge(&mut b, NOW, bytes);
        assert_eq!(open(&mut a, NOW, &challenged), dropped(DropReason::Unchallenged));
    }
    assert_eq!(b.instance_count(), 0);
}

#[test]
fn two_instances_of_one_name_are_both_accepted_after_another_echo() {
    let (mut first, mut b) = pair();
    let mut second = auth(A, 10);
    let proof = echo(&mut second, &mut b, NOW, 6);
    assert_eq!(open(&mut b, NOW, &proof), accepted(A, 10, 6));
    let before = first.seal(Some(B), &1u32).unwrap();
    let proof = echo(&mut first, &mut b, NOW, 7);
    assert_eq!(open(&mut b, NOW, &proof), accepted(A, 1, 7));
    // A datagram sent before the second echo is not accepted after it.
    assert_eq!(open(&mut b, NOW, &before), dropped(DropReason::Replayed));
    for number in 0..9u32 {
        for (auth, instance) in [(&mut first, 1), (&mut second, 10)] {
            let bytes = auth.seal(Some(B), &number).unwrap();
            assert_eq!(open(&mut b, NOW, &bytes), accepted(A, instance, number));
        }
    }
}

/// A datagram sent before the echo is not accepted after it, although its counter was never seen.
#[test]
fn an_instance_starts_with_a_closed_window() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let earlier = a.seal(Some(B), &4u32).unwrap();
    let echo = echo(&mut a, &mut b, NOW, 5);
    assert_eq!(open(&mut b, NOW, &echo), accepted(A, 1, 5));
    assert_eq!(open(&mut b, NOW, &earlier), dropped(DropReason::Replayed));
}

#[test]
fn instances_per_member_are_bounded_and_none_is_evicted_while_its_cookie_is_valid() {
    let mut b = auth(B, 2);
    let mut echoes = Vec::new();
    for instance in 1..=MAX_INSTANCES_PER_MEMBER as u64 {
        let echo = echo(&mut auth(A, instance), &mut b, NOW, 5);
        assert_eq!(open(&mut b, NOW, &echo), accepted(A, instance, 5));
        echoes.push(echo);
    }
    let one_more = |b: &mut DatagramAuth, now: Ms| {
        let echo = echo(&mut auth(A, 99), b, now, 6);
        open(b, now, &echo)
    };
    let soon = NOW + Ms(9_999.0);
    assert_eq!(one_more(&mut b, soon), dropped(DropReason::TableFull));
    for echo in &echoes {
        assert_eq!(open(&mut b, soon, echo), dropped(DropReason::Replayed));
    }
    let later = NOW + Ms(10_001.0);
    assert_eq!(one_more(&mut b, later), accepted(A, 99, 6));
    assert_eq!(b.instance_count(), MAX_INSTANCES_PER_MEMBER);
    for echo in &echoes {
        assert!(matches!(open(&mut b, later, echo), Opened::Dropped(_)));
    }
}

#[test]
fn instances_are_bounded_and_the_one_not_heard_for_longest_is_evicted() {
    let mut b = auth(B, 2);
    let mut others: Vec<_> =
        (0..MAX_INSTANCES as u64).map(|number| auth(MemberId(1_000 + number), number)).collect();
    let greet = |sender: &mut DatagramAuth, b: &mut DatagramAuth, now: Ms| {
        let echo = echo(sender, b, now, 5);
        open(b, now, &echo)
    };
    for other in &mut others {
        assert!(matches!(greet(other, &mut b, NOW), Opened::Message { .. }));
    }
    assert_eq!(greet(&mut auth(A, 1), &mut b, NOW + Ms(10_000.0)), dropped(DropReason::TableFull));
    let later = NOW + Ms(20_000.0);
    for other in others.iter_mut().filter(|sender| sender.own_id != MemberId(1_500)) {
        let bytes = other.seal(Some(B), &6u32).unwrap();
        assert!(matches!(open(&mut b, later, &bytes), Opened::Message { .. }));
    }
    assert_eq!(greet(&mut auth(A, 1), &mut b, later), accepted(A, 1, 5));
    assert_eq!(b.instance_count(), MAX_INSTANCES);
    // An evicted instance is not excluded: it is challenged again.
    let bytes = others[500].seal(Some(B), &7u32).unwrap();
    challenge(&mut b, later, &bytes);
}

#[test]
fn a_doubted_instance_is_evicted_before_one_not_heard_for_longer() {
    let mut instances = Instances::default();
    let newcomer = (MemberId(5_000), InstanceId(1));
    for id in 1..MAX_INSTANCES as u64 {
        instances.verify(NOW, (MemberId(id), InstanceId(1)), 0).unwrap();
    }
    instances.verify(NOW, (MemberId(7), InstanceId(2)), 0).unwrap();
    let later = NOW + Ms(20_000.0);
    assert_eq!(instances.accept(later, (MemberId(7), InstanceId(1)), 1), Ok(false));
    instances.verify(later, newcomer, 0).unwrap();
    // A counter of a stored instance is accepted once; an evicted instance is unknown.
    assert_eq!(instances.accept(later, (MemberId(7), InstanceId(1)), 1), Ok(false));
    assert_eq!(instances.accept(later, (MemberId(1), InstanceId(1)), 0), Err(DropReason::Replayed));
    assert_eq!(instances.count(), MAX_INSTANCES);
}
