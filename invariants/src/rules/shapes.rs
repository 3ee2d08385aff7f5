//! Rule 7.

use crate::record::{Event, Line, Shapes};
use crate::verdict::Finding;
use std::collections::BTreeMap;

/// What blocked shares may differ by, whatever their factor: of a small share little is said.
const SHARE_SLACK: f64 = 0.1;

/// Neither shape of manager starves the other: blocked share, and value played for each viewing asked.
pub(super) fn starved(shapes: Shapes, lines: &[Line]) -> Finding {
    let mut shape_of: BTreeMap<u64, usize> = BTreeMap::new();
    // Asked, blocked, value.
    let mut sums = [[0.0f64; 3]; 2];
    for line in lines {
        match &line.event {
            Event::Asked { ask, manager, first, .. } => {
                let shape = usize::from(*manager >= shapes.new_from);
                shape_of.insert(*ask, shape);
                sums[shape][0] += f64::from(u8::from(*first));
            }
            Event::Answered { ask, status: 503 } => {
                shape_of.get(ask).into_iter().for_each(|it| sums[*it][1] += 1.0);
            }
            Event::Watched { ask, earned, .. } => {
                shape_of.get(ask).into_iter().for_each(|it| sums[*it][2] += earned);
            }
            _ => {}
        }
    }
    let each = |of: usize| sums.map(|it| it[of] / it[0].max(1.0));
    let (blocked, value) = (each(1), each(2));
    let (most, least) = (f64::max(blocked[0], blocked[1]), f64::min(blocked[0], blocked[1]));
    let mut broken = Vec::new();
    if most > least * shapes.factor + SHARE_SLACK {
        broken
            .push(format!("blocked share {:.3} in the old shape, {:.3} in the new", blocked[0], blocked[1]));
    }
    if f64::max(value[0], value[1]) > f64::min(value[0], value[1]) * shapes.factor {
        broken.push(format!(
            "value a viewing asked {:.2} in the old shape, {:.2} in the new",
            value[0], value[1]
        ));
    }
    let judged = (sums[0][0] + sums[1][0]) as usize;
    Finding { rule: 7, name: "neither shape starves", judged, of: "viewings of both shapes", broken }
}
