//! Flipped bits, cuts, replays and reordering by chance; keys that follow one another.

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
    fn any_cut_and_any_tail_is_dropped(text in ".{0,200}", cut in any::<prop::sample::Index>(), tail in 1..99usize) {
        let (mut a, mut b) = pair();
        let bytes = a.seal(Some(B), &text).unwrap();
        let cut = &bytes[..cut.index(bytes.len())];
        prop_assert!(matches!(b.open::<String>(NOW, cut), Opened::Dropped(DropReason::TooShort | DropReason::BadMac)));
        let tailed = [bytes.clone(), vec![0; tail]].concat();
        prop_assert!(matches!(b.open::<String>(NOW, &tailed), Opened::Dropped(DropReason::BadMac | DropReason::TooLong)));
    }

    #[test]
    fn noise_is_dropped(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        prop_assert!(matches!(open(&mut auth(B, 2), NOW, &bytes), Opened::Dropped(_)));
    }

    #[test]
    fn replays_in_any_order_open_at_most_once(order in prop::collection::vec(0..400u32, 1..800)) {
        let (mut a, mut b) = pair();
        let sent: Vec<_> = (0..400u32).map(|it| a.seal(Some(B), &it).unwrap()).collect();
        let mut times = vec![0; sent.len()];
        let mut highest = 0;
        for no in order {
            let fresh = times[no as usize] == 0 && no + WINDOW as u32 > highest;
            let wanted = if fresh { said(A, 1, no) } else { dropped(DropReason::Replayed) };
            prop_assert_eq!(open(&mut b, NOW, &sent[no as usize]), wanted);
            times[no as usize] += u32::from(fresh);
            highest = highest.max(no);
        }
        prop_assert!(times.iter().all(|it| *it <= 1));
    }

    #[test]
    fn reordering_within_the_window_loses_nothing(late in prop::collection::vec(0..WINDOW as u32, 400)) {
        let (mut a, mut b) = pair();
        // Each is late by less than the window, so all of them are opened.
        let mut order: Vec<_> = (0u32..).zip(late).map(|(no, late)| (no + late, no)).collect();
        order.sort_unstable();
        let bytes: Vec<_> = (0..400u32).map(|it| a.seal(Some(B), &it).unwrap()).collect();
        for (_, no) in order {
            prop_assert_eq!(open(&mut b, NOW, &bytes[no as usize]), said(A, 1, no));
        }
    }
}

/// One after another, members get the second key, then sign with it, then lose the first.
#[test_case(OLD, "old\nnew", true; "the new one is believed first")]
#[test_case("old\nnew", "new\nold", true; "then it signs")]
#[test_case("new\nold", NEW, true; "then the old one goes")]
#[test_case(OLD, NEW, false; "all at once does not work")]
fn keys_follow_one_another_both_ways(before: &str, after: &str, heard: bool) {
    let spelt = |it: &str| match it {
        "old\nnew" => format!("{OLD}\n{NEW}"),
        "new\nold" => format!("{NEW}\n{OLD}"),
        one => one.to_string(),
    };
    let (before, after) = (spelt(before), spelt(after));
    let (mut a, mut b) = (keyed(A, 1, &before), keyed(B, 2, &before));
    let proof = echo(&mut a, &mut b, NOW, 5);
    assert_eq!(open(&mut b, NOW, &proof), said(A, 1, 5));
    // One of the two has the new file already, and back.
    a.set_keys(&Keys::read(&after).unwrap());
    let (there, back) = (a.seal(Some(B), &6u32).unwrap(), b.seal(Some(A), &7u32).unwrap());
    let wanted = |it| if heard { it } else { dropped(DropReason::BadMac) };
    assert_eq!(open(&mut b, NOW, &there), wanted(said(A, 1, 6)));
    assert_eq!(open(&mut a, NOW, &back), wanted(said(B, 2, 7)));
    let mut c = keyed(MemberId(3), 3, &after);
    let first = c.seal(None, &8u32).unwrap();
    if heard {
        let asked = challenge(&mut b, NOW, &first);
        let again = resend(&mut c, NOW, &asked);
        assert_eq!(open(&mut b, NOW, &again), said(MemberId(3), 3, 8));
    } else {
        assert_eq!(open(&mut b, NOW, &first), dropped(DropReason::BadMac));
    }
}
