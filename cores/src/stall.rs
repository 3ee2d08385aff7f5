//! When a core counts as standing still, and when another answers in its place.

/// A core that has not moved for so long, in milliseconds, stands still.
pub const STALL_MS: f64 = 250.0;
/// Each core shows this often that it moves, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: f64 = STALL_MS / 12.5;
/// Each core looks this often for others that stand still, in milliseconds.
pub const CHECK_INTERVAL_MS: f64 = 2.0 * HEARTBEAT_INTERVAL_MS;
/// If the owner has said nothing when so much of patience is left, its core answers in the owner's place.
const LAST_CALL: f64 = 1.0 / 32.0;

/// When a request that came at `began` is answered at the latest, all in milliseconds.
pub fn fallback_deadline(began: f64, patience: f64) -> f64 {
    began + patience * (1.0 - LAST_CALL)
}

/// Whether a core that moved last at `moved` stands still.
pub fn is_stalled(now: f64, moved: f64) -> bool {
    now - moved >= STALL_MS
}

/// Whether another core answers now for one that stands still: at once if the owner has spoken, else at the
/// last look before the last call, since the core may move again in time and the owner may still place the
/// viewing.
pub fn should_answer_for(now: f64, last_call: f64, has_reply: bool) -> bool {
    has_reply || now + CHECK_INTERVAL_MS > last_call
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(0.0, 249.0 => false)]
    #[test_case(0.0, 250.0 => true)]
    fn a_core_stands_still(moved: f64, now: f64) -> bool {
        is_stalled(now, moved)
    }

    #[test_case(900.0, false => false; "the owner may still speak")]
    #[test_case(500.0, true => true; "it has spoken")]
    #[test_case(928.0, false => false; "there is one more look")]
    #[test_case(929.0, false => true; "the last look before the last call")]
    fn one_answers_for_it(now: f64, has_reply: bool) -> bool {
        should_answer_for(now, fallback_deadline(0.0, 1_000.0), has_reply)
    }
}
