//! Five and seven councillors: minorities that die at once and by turns.

use crate::cluster::Node;
use crate::table::Table;
use std::time::Duration;
use test_case::test_case;

/// Half of it is the time for an agreed change: with seven that all write their disks on a busy machine one takes
/// more than a second.
const LEASE: Duration = Duration::from_secs(5);

#[test_case(5; "of five")]
#[test_case(7; "of seven")]
fn with_a_minority_killed_at_once_agreed_changes_go_on(councillors: usize) {
    let mut all = Table::set(7, councillors, LEASE, 0);
    all.fills(7);
    let before = all.most();
    // The preferred one among them.
    let dead = councillors / 2;
    all.0.nodes[..dead].iter_mut().for_each(Node::kill);
    all.fills(7 - dead);
    let after = all.most();
    let grew = |it: &str| after[it] > before[it];
    assert!(grew("slots-0") || grew("slots-1"), "the dead's slots were agreed upon: {before:?} {after:?}");
    all.0.nodes[..dead].iter_mut().for_each(Node::start);
    all.take_part(0..dead);
    all.fills(7);
    all.keeps_all();
}

/// Killed or told to end, and started: all councillors by turns, a minority at a time.
#[test_case(5, true; "five, killed")]
#[test_case(7, false; "seven, told to end")]
fn all_councillors_are_restarted_a_minority_at_a_time(councillors: usize, killed: bool) {
    let mut all = Table::set(7, councillors, LEASE, 0);
    all.fills(7);
    let turns: Vec<usize> = (0..councillors).collect();
    for turn in turns.chunks(councillors / 2) {
        let end = if killed { Node::kill } else { Node::stop };
        turn.iter().for_each(|it| end(&mut all.0.nodes[*it]));
        all.look();
        turn.iter().for_each(|it| all.0.nodes[*it].start());
        all.take_part(turn.iter().copied());
        all.keeps_all();
    }
    all.fills(7);
    all.keeps_all();
    for node in &all.0.nodes[..councillors] {
        let log = node.log();
        assert_eq!(
            log.matches("abstains until").count(),
            1,
            "at the founding only, then its store is whole: {log}"
        );
    }
}
