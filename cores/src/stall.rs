//! When a core counts as stalled, and when another answers in its place. All times are in milliseconds.

/// A core without a heartbeat for this time is stalled.
pub const STALL_MS: f64 = 250.0;
/// Interval of each core's heartbeats.
pub const HEARTBEAT_INTERVAL_MS: f64 = STALL_MS / 12.5;
/// Interval at which each core checks for stalled cores.
pub const CHECK_INTERVAL_MS: f64 = 2.0 * HEARTBEAT_INTERVAL_MS;
/// If the owner has not replied when this part of the viewer's patience is left, the core that holds the
/// connection answers in the owner's place.
const FALLBACK_MARGIN: f64 = 1.0 / 32.0;

/// When a request that arrived at `began` is answered at the latest.
pub fn fallback_deadline(began: f64, patience: f64) -> f64 {
    began + patience * (1.0 - FALLBACK_MARGIN)
}

/// Whether a core whose last heartbeat was at `last_heartbeat` is stalled.
pub fn is_stalled(now: f64, last_heartbeat: f64) -> bool {
    now - last_heartbeat >= STALL_MS
}

/// Whether another core answers now for a stalled one: at once if the owner has replied, else at the last
/// check before the deadline, since the core may recover in time and the owner may still place the viewing.
pub fn should_answer_for(now: f64, deadline: f64, has_reply: bool) -> bool {
    has_reply || now + CHECK_INTERVAL_MS > deadline
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(0.0, 249.0 => false)]
    #[test_case(0.0, 250.0 => true)]
    fn a_core_is_stalled(last_heartbeat: f64, now: f64) -> bool {
        is_stalled(now, last_heartbeat)
    }

    #[test_case(900.0, false => false; "the owner may still reply")]
    #[test_case(500.0, true => true; "the owner has replied")]
    #[test_case(928.0, false => false; "there is one more check")]
    #[test_case(929.0, false => true; "the last check before the deadline")]
    fn another_core_answers(now: f64, has_reply: bool) -> bool {
        should_answer_for(now, fallback_deadline(0.0, 1_000.0), has_reply)
    }
}
