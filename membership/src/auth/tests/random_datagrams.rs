//! Random bit flips, truncation, replays and reordering; and the rotation of keys.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_flipped_bit_is_dropped(text in ".{0,200}", at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let (mut a, mut b) = pair();
        let mut bytes = a.seal(Some(B), &text).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        prop_assert!(matches!(b.open::<String>(NOW, &bytes), Opened::Dropped(_)));
        bytes[at] ^= 1 << bit;
        let message = Opened::Message { from: A, instance: InstanceId(1), message: text };
        prop_assert_eq!(b.open::<String>(NOW, &bytes), message);
    }

    #[test]
    fn truncated_and_extended_datagrams_are_dropped(text in ".{0,200}", cut in any::<prop::sample::Index>(), tail in 1..99usize) {
        let (mut a, mut b) = pair();
        let bytes = a.seal(Some(B), &text).unwrap();
        let cut = &bytes[..cut.index(bytes.len())];
        prop_assert!(matches!(b.open::<String>(NOW, cut), Opened::Dropped(DropReason::TooShort | DropReason::BadMac)));
        let tailed = [bytes.clone(), vec![0; tail]].concat();
        prop_assert!(matches!(b.open::<String>(NOW, &tailed), Opened::Dropped(DropReason::BadMac | DropReason::TooLong)));
    }

    #[test]
    fn random_bytes_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        prop_assert!(matches!(open(&mut auth(B, 2), NOW, &bytes), Opened::Dropped(_)));
    }

    #[test]
    fn replays_in_any_order_open_at_most_once(order in prop::collection::vec(0..400u32, 1..800)) {
        let (mut a, mut b) = pair();
        let sent: Vec<_> = (0..400u32).map(|number| a.seal(Some(B), &number).unwrap()).collect();
        let mut accepted_count = vec![0; sent.len()];
        let mut highest = 0;
        for number in order {
            let fresh = accepted_count[number as usize] == 0 && number + WINDOW as u32 > highest;
            let expected = if fresh { accepted(A, 1, number) } else { dropped(DropReason::Replayed) };
            prop_assert_eq!(open(&mut b, NOW, &sent[number as usize]), expected);
            accepted_count[number as usize] += u32::from(fresh);
            highest = highest.max(number);
        }
        prop_assert!(accepted_count.iter().all(|count| *count <= 1));
    }

    #[test]
    fn reordering_within_the_window_loses_nothing(late in prop::collection::vec(0..WINDOW as u32, 400)) {
        let (mut a, mut b) = pair();
        // Each is late by less than the window, so all are accepted.
        let mut order: Vec<_> = (0u32..).zip(late).map(|(number, late)| (number + late, number)).collect();
        order.sort_unstable();
        let bytes: Vec<_> = (0..400u32).map(|number| a.seal(Some(B), &number).unwrap()).collect();
        for (_, number) in order {
            prop_assert_eq!(open(&mut b, NOW, &bytes[number as usize]), accepted(A, 1, number));
        }
    }
}

/// Members get the second key one by one, then use it to seal, then lose the first.
#[test_case(OLD, "old\nnew", true; "first the new key is accepted")]
#[test_case("old\nnew", "new\nold", true; "then it seals")]
#[test_case("new\nold", NEW, true; "then the old key is removed")]
#[test_case(OLD, NEW, false; "replacing the key in one step does not work")]
fn keys_can_be_rotated_member_by_member(before: &str, after: &str, accepts: bool) {
    let key_file = |keys: &str| match keys {
        "old\nnew" => format!("{OLD}\n{NEW}"),
        "new\nold" => format!("{NEW}\n{OLD}"),
        single => single.to_string(),
    };
    let (before, after) = (key_file(before), key_file(after));
    let (mut a, mut b) = (keyed(A, 1, &before), keyed(B, 2, &before));
    let proof = echo(&mut a, &mut b, NOW, 5);
    assert_eq!(open(&mut b, NOW, &proof), accepted(A, 1, 5));
    // Member A has the new keys already, and B does not.
    a.set_keys(&Keys::read(&after).unwrap());
    let (there, back) = (a.seal(Some(B), &6u32).unwrap(), b.seal(Some(A), &7u32).unwrap());
    let outcome = |opened| if accepts { opened } else { dropped(DropReason::BadMac) };
    assert_eq!(open(&mut b, NOW, &there), outcome(accepted(A, 1, 6)));
    assert_eq!(open(&mut a, NOW, &back), outcome(accepted(B, 2, 7)));
    let mut c = keyed(MemberId(3), 3, &after);
    let first = c.seal(None, &8u32).unwrap();
    if accepts {
        let challenged = challenge(&mut b, NOW, &first);
        let resent = resend(&mut c, NOW, &challenged);
        assert_eq!(open(&mut b, NOW, &resent), accepted(MemberId(3), 3, 8));
    } else {
        assert_eq!(open(&mut b, NOW, &first), dropped(DropReason::BadMac));
    }
}
