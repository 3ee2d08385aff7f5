//! Lives: how one is believed, doubted, given up.

use super::*;

#[test]
fn an_unknown_life_is_challenged_and_nothing_stored_until_it_echoes() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let first = a.seal(None, &5u32).unwrap();
    let asked = challenge(&mut b, NOW, &first);
    assert!(asked.len() <= first.len(), "{} > {}", asked.len(), first.len());
    assert_eq!((b.held(), b.sent.len()), (0, 0));
    let again = resend(&mut a, NOW, &asked);
    assert_eq!(open(&mut b, NOW, &again), said(A, 1, 5));
    assert_eq!(b.held(), 1);
    // The challenge was fresh, so the other way needs none.
    let answer = b.seal(Some(A), &6u32).unwrap();
    assert_eq!(open(&mut a, NOW, &answer), said(B, 2, 6));
}

#[test]
fn what_is_shorter_than_a_challenge_gets_none() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    a.counter += 1;
    let short = a.sealed(Kind::Plain, Some(B), &[&[5]]);
    assert_eq!(open(&mut b, NOW, &short), dropped(DropReason::Unchallenged));
    let empty = a.seal(Some(B), &()).unwrap();
    assert_eq!(challenge(&mut b, NOW, &empty).len(), empty.len());
}

#[test]
fn a_cookie_is_good_for_its_own_time_life_sender_and_process_alone() {
    for (later, good) in [(0.0, true), (5_000.0, true), (10_000.0, false)] {
        let (mut a, mut b) = (auth(A, 1), auth(B, 2));
        let echo = echo(&mut a, &mut b, NOW, 5);
        let wanted = if good { said(A, 1, 5) } else { dropped(DropReason::Unchallenged) };
        assert_eq!(open(&mut b, NOW + Ms(later), &echo), wanted, "{later} ms");
        assert_eq!(b.held(), usize::from(good));
    }
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let honest = echo(&mut a, &mut b, NOW, 5);
    let cookie = &honest[HEAD..HEAD + COOKIE];
    for mut other in [auth(A, 9), auth(MemberId(3), 1)] {
        other.counter = 1;
        let stolen = other.sealed(Kind::Echo, Some(B), &[cookie, &[5]]);
        assert_eq!(open(&mut b, NOW, &stolen), dropped(DropReason::Unchallenged));
    }
    // The same seed in another instance, then the same instance with another seed.
    for (instance, seed) in [(4, b.instance.0 ^ 7), (2, 99)] {
        let mut restarted =
            DatagramAuth::new(B, InstanceId(instance), "harbour", Keys::read(NEW).unwrap(), seed);
        assert_eq!(open(&mut restarted, NOW, &honest), dropped(DropReason::Unchallenged));
    }
}

#[test]
fn a_challenge_is_good_once_for_what_was_sent_there_by_this_life() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let first = a.seal(Some(B), &5u32).unwrap();
    let asked = challenge(&mut b, NOW, &first);
    assert_eq!(open(&mut auth(A, 9), NOW, &asked), dropped(DropReason::Unchallenged), "another instance");
    // The new instance has used the same counter: it still is not what was asked.
    let mut restarted = auth(A, 9);
    restarted.seal(Some(B), &5u32).unwrap();
    assert_eq!(open(&mut restarted, NOW, &asked), dropped(DropReason::Unchallenged), "the same counter");
    let mut third = auth(MemberId(3), 3);
    let parts: [&[u8]; 3] = [&1u64.to_be_bytes(), &1u64.to_be_bytes(), &[0; COOKIE]];
    let meddling = third.sealed(Kind::Challenge, Some(A), &parts);
    third.counter = 5;
    assert_eq!(open(&mut a, NOW, &meddling), dropped(DropReason::Unchallenged), "sent to another");
    assert_eq!(a.held(), 0);
    resend(&mut a, NOW, &asked);
    assert_eq!(open(&mut a, NOW, &asked), dropped(DropReason::Unchallenged), "twice");
    let stub = b.sealed(Kind::Challenge, Some(A), &[&1u64.to_be_bytes()]);
    assert_eq!(open(&mut a, NOW, &stub), dropped(DropReason::TooShort), "no cookie");
}

#[test]
fn challenges_use_up_no_counters_and_what_may_go_out_again_is_bounded() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    for no in 0..500u32 {
        let bytes = a.seal(Some(B), &no).unwrap();
        challenge(&mut b, NOW, &bytes);
    }
    assert_eq!((b.counter, a.sent.len() as u64), (0, RESENT));
}

#[test]
fn an_earlier_life_is_never_believed_again() {
    let (mut a, mut b) = pair();
    let opened = a.seal(Some(B), &6u32).unwrap();
    assert_eq!(open(&mut b, NOW, &opened), said(A, 1, 6));
    // Held back on the way, and not known to B until the process has long been another.
    let held_back = a.seal(Some(B), &7u32).unwrap();
    let mut a = auth(A, 10);
    let echo = echo(&mut a, &mut b, NOW, 8);
    assert_eq!(open(&mut b, NOW, &echo), said(A, 10, 8));
    assert_eq!(open(&mut b, NOW, &opened), dropped(DropReason::Replayed));
    // The instance that is no more is asked, and can't answer: the new one does not know of it.
    let asked = challenge(&mut b, NOW, &held_back);
    assert_eq!(open(&mut a, NOW, &asked), dropped(DropReason::Unchallenged));
    // To a member that started since, all of that instance is unknown; nothing gets it in.
    let mut b = auth(B, 20);
    for bytes in [&opened, &held_back] {
        let asked = challenge(&mut b, NOW, bytes);
        assert_eq!(open(&mut a, NOW, &asked), dropped(DropReason::Unchallenged));
    }
    assert_eq!(b.held(), 0);
}

#[test]
fn two_lives_of_one_name_are_both_heard_after_one_more_proof() {
    let (mut one, mut b) = pair();
    let mut two = auth(A, 10);
    let proof = echo(&mut two, &mut b, NOW, 6);
    assert_eq!(open(&mut b, NOW, &proof), said(A, 10, 6));
    let before = one.seal(Some(B), &1u32).unwrap();
    let proof = echo(&mut one, &mut b, NOW, 7);
    assert_eq!(open(&mut b, NOW, &proof), said(A, 1, 7));
    // What was sent before the second proof is not opened after it.
    assert_eq!(open(&mut b, NOW, &before), dropped(DropReason::Replayed));
    for no in 0..9u32 {
        for (auth, instance) in [(&mut one, 1), (&mut two, 10)] {
            let bytes = auth.seal(Some(B), &no).unwrap();
            assert_eq!(open(&mut b, NOW, &bytes), said(A, instance, no));
        }
    }
}

/// What came before the echo is not opened after it, though its counter was never seen.
#[test]
fn a_life_starts_with_a_closed_window() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let earlier = a.seal(Some(B), &4u32).unwrap();
    let echo = echo(&mut a, &mut b, NOW, 5);
    assert_eq!(open(&mut b, NOW, &echo), said(A, 1, 5));
    assert_eq!(open(&mut b, NOW, &earlier), dropped(DropReason::Replayed));
}

#[test]
fn lives_of_one_member_are_bounded_and_none_is_given_up_while_its_cookie_counts() {
    let mut b = auth(B, 2);
    let mut echoes = Vec::new();
    for instance in 1..=LIVES_OF_ONE as u64 {
        let echo = echo(&mut auth(A, instance), &mut b, NOW, 5);
        assert_eq!(open(&mut b, NOW, &echo), said(A, instance, 5));
        echoes.push(echo);
    }
    let over = |b: &mut DatagramAuth, now: Ms| {
        let echo = echo(&mut auth(A, 99), b, now, 6);
        open(b, now, &echo)
    };
    let soon = NOW + Ms(9_999.0);
    assert_eq!(over(&mut b, soon), dropped(DropReason::TableFull));
    for echo in &echoes {
        assert_eq!(open(&mut b, soon, echo), dropped(DropReason::Replayed));
    }
    let later = NOW + Ms(10_001.0);
    assert_eq!(over(&mut b, later), said(A, 99, 6));
    assert_eq!(b.held(), LIVES_OF_ONE);
    for echo in &echoes {
        assert!(matches!(open(&mut b, later, echo), Opened::Dropped(_)));
    }
}

#[test]
fn lives_are_bounded_in_all_and_the_one_not_heard_for_longest_goes() {
    let mut b = auth(B, 2);
    let mut others: Vec<_> = (0..LIVES as u64).map(|it| auth(MemberId(1_000 + it), it)).collect();
    let greet = |it: &mut DatagramAuth, b: &mut DatagramAuth, now: Ms| {
        let echo = echo(it, b, now, 5);
        open(b, now, &echo)
    };
    for other in &mut others {
        assert!(matches!(greet(other, &mut b, NOW), Opened::Message { .. }));
    }
    assert_eq!(greet(&mut auth(A, 1), &mut b, NOW + Ms(10_000.0)), dropped(DropReason::TableFull));
    let later = NOW + Ms(20_000.0);
    for other in others.iter_mut().filter(|it| it.me != MemberId(1_500)) {
        let bytes = other.seal(Some(B), &6u32).unwrap();
        assert!(matches!(open(&mut b, later, &bytes), Opened::Message { .. }));
    }
    assert_eq!(greet(&mut auth(A, 1), &mut b, later), said(A, 1, 5));
    assert_eq!(b.held(), LIVES);
    // Given up, not shut out: it is asked once more.
    let bytes = others[500].seal(Some(B), &7u32).unwrap();
    challenge(&mut b, later, &bytes);
}

#[test]
fn a_doubted_life_goes_before_one_that_was_not_heard_for_longer() {
    let mut lives = Lives::default();
    let newcomer = (MemberId(5_000), InstanceId(1));
    for id in 1..LIVES as u64 {
        lives.believe(NOW, (MemberId(id), InstanceId(1)), 0).unwrap();
    }
    lives.believe(NOW, (MemberId(7), InstanceId(2)), 0).unwrap();
    let later = NOW + Ms(20_000.0);
    assert_eq!(lives.take(later, (MemberId(7), InstanceId(1)), 1), Ok(false));
    lives.believe(later, newcomer, 0).unwrap();
    // Held, a counter is good once; given up, it is just unknown.
    assert_eq!(lives.take(later, (MemberId(7), InstanceId(1)), 1), Ok(false));
    assert_eq!(lives.take(later, (MemberId(1), InstanceId(1)), 0), Err(DropReason::Replayed));
    assert_eq!(lives.count(), LIVES);
}
