//! Never two councils, whatever is lost, late or doubled while one is founded.

mod founding;

use founding::{Founding, Setting};
use ottersail_consensus::Guards;
use ottersail_model_checker::{explore, Limits, Report};
use test_case::test_case;

/// Nothing is lost but what a disk was not done with.
fn plain() -> Setting {
    Setting {
        guards: Guards::ALL,
        size: 3,
        losing: vec![2],
        drawn: vec![],
        rounds: 2,
        slow: vec![0, 1, 2],
        cuts: vec![],
        seeks_wait: false,
        put_back: vec![],
    }
}

/// Any one loses its store at any moment; the disks are done at once.
fn any() -> Setting {
    Setting { losing: vec![0, 1, 2], drawn: vec![200], slow: vec![], ..plain() }
}

fn search(setting: &Setting) -> Report<impl Clone + std::fmt::Debug> {
    let report = explore(Founding::new(setting.clone()), Limits::default());
    println!("{report}");
    report
}

#[test_case(&plain(); "nothing lost")]
#[test_case(&any(); "any store lost")]
fn with_all_guards_there_is_one_council(setting: &Setting) {
    assert_eq!(search(setting).covered(), Ok(()));
}

/// 0 and 2 don't hear each other.
#[test]
fn founded_by_a_majority_there_are_two() {
    let guards = Guards { founding_by_all: false, ..Guards::ALL };
    let report = search(&Setting { guards, losing: vec![1], cuts: vec![(0, 2), (2, 0)], ..any() });
    assert_eq!(report.broken().map(<[_]>::len), Ok(11));
}

/// What the operator has to end.
#[test]
fn a_store_lost_while_founding_may_leave_all_waiting() {
    let report = search(&Setting { seeks_wait: true, ..any() });
    assert_eq!(report.broken().map(<[_]>::len), Ok(3));
}

/// Not promised, and not noticed: what 1 had promised and accepted is gone with the copy.
#[test]
fn an_old_copy_put_back_makes_two_values() {
    let report = search(&Setting { put_back: vec![1], slow: vec![], ..plain() });
    assert_eq!(report.broken().map(<[_]>::len), Ok(14));
}
