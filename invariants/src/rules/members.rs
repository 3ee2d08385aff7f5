//! Rule 9.

use crate::record::{Event, Line};
use crate::verdict::Finding;

/// Where nothing was done to members for long and all of them run, each believes all others alive, and nobody
/// in another state. Asked of each from outside; none, where the day has no members.
pub(super) fn members(lines: &[Line]) -> Option<Finding> {
    let mut judged = 0;
    let mut broken = Vec::new();
    for line in lines {
        let Event::Believes { manager, others, counts, settled: true } = &line.event else {
            continue;
        };
        judged += 1;
        let [alive, suspect, dead, left] = counts;
        if counts != &[*others, 0, 0, 0] {
            broken.push(format!(
                "manager {manager} believes {alive} alive, {suspect} suspect, {dead} dead, {left} left of \
                 {others} that run"
            ));
        }
    }
    let name = "members know who lives";
    (judged > 0).then_some(Finding { rule: 9, name, judged, of: "managers asked", broken })
}
