//! When a viewer counts as gone, how far ahead a playlist is published, and how patience is shared with the
//! way of the answer.

use ottersail::time::Ms;

/// This part of a viewer's patience is left for the answer's way back and for what waits before it.
const WAY_BACK: f64 = 1.0 / 16.0;
/// Targets' worth of segments published ahead of where the viewing is by the clock. A player keeps three (RFC
/// 8216, 6.3.3); a step is seen that much later.
const AHEAD: f64 = 3.0;
/// A player reloads after a target, or half of one where nothing was new (6.3.4); after so many without, it
/// left.
const SILENT: f64 = 4.0;
/// After the end has been published a player reloads no more; it is given this many targets to play it out.
const PLAY_OUT: f64 = 2.0;
/// Until it reloads for the first time a player may read other things first.
const SETTLE: f64 = 2.0;

/// What the module is told as the end of patience.
pub fn due(asked: Ms, patience: Ms) -> Ms {
    asked + patience * (1.0 - WAY_BACK)
}

/// Milliseconds into the title up to which segments are published.
pub fn publish_to(played: Ms, target: Ms) -> Ms {
    played + target * AHEAD
}

/// Until when the next reload must come.
pub fn silent_until(last: Ms, target: Ms, first: bool) -> Ms {
    last + target * (SILENT + if first { SETTLE } else { 0.0 })
}

/// When a viewing whose playlist is closed is over, with that much left to play.
pub fn over_at(now: Ms, left: Ms, target: Ms) -> Ms {
    now + left + target * PLAY_OUT
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_answers_way_is_left() {
        assert_eq!(due(Ms(1000.0), Ms(4000.0)), Ms(4750.0));
    }

    #[test]
    fn a_reload_each_target_keeps_a_viewing() {
        let target = Ms(2000.0);
        assert!(silent_until(Ms(0.0), target, false) > target * 2.0);
        assert!(silent_until(Ms(0.0), target, true) > silent_until(Ms(0.0), target, false));
        assert!(publish_to(Ms(0.0), target) >= target * 3.0);
    }
}
