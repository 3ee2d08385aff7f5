//! Parameters of the decisions: ratios to configured quantities, and quantiles of the standard normal
//! distribution for safety margins. A quantile `z` reserves `z * sqrt(n)` above an expected count of `n`.

/// Quantile of the margin on the number of viewings of each rung at a server.
pub(super) const RATE_QUANTILE: f64 = 0.1;
/// Quantile of the margin on the random number of steps up that all managers together make after one note.
pub(super) const STEP_UP_QUANTILE: f64 = 1.645;
/// Loads of a link or uplink: up to which new viewings are admitted, above which playing viewings step down,
/// that they step down to, and up to which they may step up. The distances between them keep fluctuations of
/// the actual rates from causing steps.
pub(super) const ADMIT_LOAD: f64 = 0.92;
pub(super) const STEP_DOWN_LOAD: f64 = 1.04;
pub(super) const RELIEVED_LOAD: f64 = 1.0;
pub(super) const STEP_UP_LOAD: f64 = 0.85;
/// A new viewing is admitted while the load, with it and with all viewings at their floors, stays below this.
pub(super) const ADMIT_FLOOR_LOAD: f64 = 0.65;
/// A link explains short delivery if its load is at least this fraction of the load that would cause the
/// shortage.
pub(super) const EXPLAINED_SHARE: f64 = 0.92;
/// A step up requires that the server's bound has held for this multiple of the time between notes, plus this
/// multiple of the cost of a rung change, because a step up has to earn its cost.
pub(super) const SETTLED_NOTE_GAPS: f64 = 0.5;
pub(super) const SETTLED_CHANGE_COSTS: f64 = 3.0;
/// Time between two steps up at a server, as a fraction of the report interval.
pub(super) const STEP_UP_SPACING: f64 = 0.15;
/// Quantile of the margin on a tenant's allowance.
pub(super) const ALLOWANCE_QUANTILE: f64 = 2.0;
/// Age, in multiples of the time between notes, beyond which a note is ignored.
pub(super) const STALE_NOTE_GAPS: f64 = 2.5;
/// Time constant, in multiples of the time between notes, with which the shortfall of an unreported uplink
/// decays.
pub(super) const SHORTFALL_DECAY_NOTE_GAPS: f64 = 20.0;
/// Time-out of a tune-in after which another is possible, as a fraction of the join target.
pub(super) const RETRIABLE_TIME_OUT_SHARE: f64 = 0.35;
/// Load added to a holder in another zone, for each unit of the cross-zone price.
pub(super) const CROSS_ZONE_LOAD_FACTOR: f64 = 2.0;
/// Interval at which servers and waiting viewings are reviewed, as a fraction of the shortest join target.
pub(super) const REVIEW_INTERVAL_SHARE: f64 = 0.1;
/// How long a server that turned a set-up away is avoided, in multiples of the time between notes.
pub(super) const TURNED_AWAY_NOTE_GAPS: f64 = 0.5;
/// Where load is reported only to probes: how long a report counts as known, in multiples of the report
/// delay, and how long a new viewing waits for one, as a fraction of its join target.
pub(super) const PROBE_VALIDITY_DELAYS: f64 = 14.0;
pub(super) const PROBE_WAIT_SHARE: f64 = 0.2;
/// Replaces `STEP_UP_LOAD` where load is reported only to probes: reports are noisy, and the lowest of many
/// causes the step.
pub(super) const PROBED_STEP_UP_LOAD: f64 = 0.65;
/// Time from a step up to the next probe, which looks for room for another, in multiples of the report delay.
pub(super) const REPROBE_DELAYS: f64 = 1.5;
/// Age of a report when it answers a probe, in multiples of the report delay.
pub(super) const PROBE_REPORT_AGE_DELAYS: f64 = 0.5;
/// Time within which the list contains all servers that started before this manager did, in multiples of the
/// fall window of the rule on cold servers.
pub const LIST_LAG_FALL_WINDOWS: f64 = 2.0;
/// A server that has been off the list for this multiple of the warm-up, the fall window and the report delay
/// is forgotten.
pub(super) const FORGET_GONE_FACTOR: f64 = 3.0;
/// The growth of this manager's demand is an estimate of the growth of the other managers': it is damped as
/// if this many more viewings were held throughout, and limited to this factor.
pub(super) const GROWTH_PRIOR_VIEWINGS: f64 = 4.0;
pub(super) const MAX_GROWTH: f64 = 2.0;
