//! One value a revision, and nothing chosen is lost: with all guards, and with each taken out.

mod registers;

use ottersail_consensus::{Change, Guards};
use ottersail_model_checker::net::Faults;
use ottersail_model_checker::{explore, Limits, Report};
use registers::{Registers, Setting};
use test_case::test_case;

fn set(if_revision: u64, body: u8) -> Change {
    Change::Set { if_revision, body: vec![body] }
}

/// 0 and 1 both set the first value.
fn duel() -> Setting {
    Setting {
        guards: Guards::ALL,
        faults: Faults::default(),
        asks: vec![vec![set(0, 7)], vec![set(0, 8)], vec![]],
        bells: vec![0; 3],
        cuts: vec![],
        crashing: vec![],
        synced_at_once: true,
        word: false,
        tries_again: false,
    }
}

/// The same; 0 and 1 don't hear each other, so that 2 alone stands between them.
fn apart() -> Setting {
    Setting { cuts: vec![(0, 1), (1, 0)], ..duel() }
}

/// And 2 reads.
fn third() -> Setting {
    Setting { asks: vec![vec![set(0, 7)], vec![set(0, 8)], vec![Change::Read]], ..apart() }
}

/// 0 sets, 1 reads twice; 2 hears nothing of 0.
fn reads() -> Setting {
    let twice = vec![Change::Read, Change::Read];
    Setting { asks: vec![vec![set(0, 7)], twice, vec![]], cuts: vec![(0, 2)], ..duel() }
}

/// 2 loses its memory; it rings to recover.
fn wiped() -> Setting {
    Setting {
        faults: Faults { crash: 1, forget: 1, ..Faults::default() },
        crashing: vec![2],
        bells: vec![0, 0, 1],
        ..apart()
    }
}

/// Or one of the others does.
fn wiped_any() -> Setting {
    Setting { crashing: vec![0, 1, 2], bells: vec![1; 3], ..wiped() }
}

/// 0 rings as often as that, and tries its round again; it hears nothing of 1.
fn again(bells: u8) -> Setting {
    Setting { tries_again: true, bells: vec![bells, 0, 0], cuts: vec![(0, 1)], ..duel() }
}

/// Five councillors; 2 loses its memory. 0 hears 2 and 3, 1 hears 2 and 4, and 2 may recover from 0, 3
/// and 4: a majority of the others without 1, who may have had a promise of it.
fn five() -> Setting {
    let open = [(0, 2), (0, 3), (1, 2), (1, 4), (2, 3), (2, 4)];
    let all = (0..5).flat_map(|from| (0..5).map(move |to| (from, to)));
    let cuts = all.filter(|(a, b)| a != b && !open.contains(&(*a.min(b), *a.max(b))));
    Setting {
        asks: vec![vec![set(0, 7)], vec![set(0, 8)], vec![], vec![], vec![]],
        bells: vec![0, 0, 1, 0, 0],
        cuts: cuts.collect(),
        ..wiped()
    }
}

/// 2 crashes, and its disk is not done at once.
fn crash() -> Setting {
    let faults = Faults { crash: 1, ..Faults::default() };
    Setting { faults, crashing: vec![2], synced_at_once: false, ..apart() }
}

/// 0 sets the first and the second value, and word of both gets to 2.
fn word() -> Setting {
    Setting { asks: vec![vec![set(0, 7), set(1, 8)], vec![], vec![]], word: true, ..apart() }
}

fn search(setting: &Setting) -> Report<impl Clone + std::fmt::Debug> {
    let report = explore(Registers::new(setting), Limits::default());
    println!("{report}");
    report
}

#[test_case(|it| it.keep_promises = false, duel(), 10; "promise")]
#[test_case(|it| it.adopt_highest = false, third(), 13; "highest")]
#[test_case(|it| it.write_back = false, reads(), 9; "write_back")]
#[test_case(|it| it.abstain_until_recovered = false, wiped(), 12; "abstain")]
#[test_case(|it| it.recovery_majority = false, wiped(), 15; "recovery_majority")]
#[test_case(|it| it.persist_before_reply = false, crash(), 12; "kept_first")]
#[test_case(|it| it.deduplicate_requests = false, again(2), 8; "once")]
#[test_case(|it| it.discard_lost_generations = false, five(), 27; "memories")]
#[test_case(|it| it.ignore_older_values = false, word(), 12; "newer")]
fn without_a_guard_what_is_chosen_does_not_hold(takes_out: fn(&mut Guards), setting: Setting, length: usize) {
    let mut guards = Guards::ALL;
    takes_out(&mut guards);
    let report = search(&Setting { guards, ..setting });
    assert_eq!(report.broken().map(<[_]>::len), Ok(length));
}

#[test_case(&duel(); "duel")]
#[test_case(&third(); "third")]
#[test_case(&reads(); "reads")]
#[test_case(&wiped(); "wiped")]
#[test_case(&crash(); "crash")]
#[test_case(&five(); "five")]
#[test_case(&word(); "word")]
#[test_case(&again(2); "again")]
#[test_case(&wiped_any(); "any wiped")]
fn with_all_guards_it_holds(setting: &Setting) {
    assert_eq!(search(setting).covered(), Ok(()));
}
