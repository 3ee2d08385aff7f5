//! When a viewer counts as gone, how far ahead a playlist is published, and which part of the patience is
//! reserved for delivering the answer.

use ottersail::time::Ms;

/// Part of the patience that is reserved for delivering the answer and for delays before that.
const DELIVERY_SHARE: f64 = 1.0 / 16.0;
/// Target durations of segments published ahead of the nominal playing position. A player buffers three (RFC
/// 8216, section 6.3.3); a change of rung becomes visible that much later.
const PUBLISH_AHEAD_TARGETS: f64 = 3.0;
/// A player reloads after one target duration, or half of one if nothing was new (RFC 8216, section 6.3.4).
/// After this many without a reload it counts as gone.
const MAX_SILENT_TARGETS: f64 = 4.0;
/// Additional target durations until the first reload, since a player may fetch other resources first.
const FIRST_RELOAD_TARGETS: f64 = 2.0;
/// After the end of the list a player does not reload any more; it is given this many target durations to
/// play the rest.
const PLAY_OUT_TARGETS: f64 = 2.0;

/// The deadline that the decisions are given for an answer.
pub fn answer_deadline(requested: Ms, patience: Ms) -> Ms {
    requested + patience * (1.0 - DELIVERY_SHARE)
}

/// Position in the title up to which segments are published.
pub fn publish_to(played: Ms, target: Ms) -> Ms {
    played + target * PUBLISH_AHEAD_TARGETS
}

/// Time by which the next reload must arrive.
pub fn reload_deadline(last: Ms, target: Ms, first: bool) -> Ms {
    last + target * (MAX_SILENT_TARGETS + if first { FIRST_RELOAD_TARGETS } else { 0.0 })
}

/// When a viewing with a complete playlist has been played, with that much left to play.
pub fn played_out_at(now: Ms, left: Ms, target: Ms) -> Ms {
    now + left + target * PLAY_OUT_TARGETS
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn part_of_the_patience_is_reserved_for_delivery() {
        assert_eq!(answer_deadline(Ms(1000.0), Ms(4000.0)), Ms(4750.0));
    }

    #[test]
    fn a_reload_in_each_target_duration_is_in_time() {
        let target = Ms(2000.0);
        let deadline = |first| reload_deadline(Ms(0.0), target, first);
        assert!(deadline(false) > target * 2.0);
        assert!(deadline(true) > deadline(false));
        assert!(publish_to(Ms(0.0), target) >= target * 3.0);
    }
}
