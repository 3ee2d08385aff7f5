//! Small statistics that the comparisons of bad ends and of set-up times share.

/// The logarithm of the weighted mean of the evidence for several effect sizes.
pub(super) fn log_mixture(logs: &[f64], weights: &[f64], confidence: f64) -> f64 {
    let greatest = logs.iter().fold(f64::MIN, |greatest, log| greatest.max(log * confidence));
    let sum: f64 =
        logs.iter().zip(weights).map(|(log, weight)| weight * (log * confidence - greatest).exp()).sum();
    greatest + sum.ln()
}

/// The median; 0 without values.
pub(super) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let half = values.len() / 2;
    match values.len() {
        0 => 0.0,
        count if count % 2 == 1 => values[half],
        _ => (values[half - 1] + values[half]) / 2.0,
    }
}
