//! How long viewings took until they played.

use crate::record::{Event, Line};
use crate::spread::figures::Times;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Times are counted up to an hour, in microseconds, to three digits.
const LONGEST_US: u64 = 3_600_000_000;

/// Milliseconds until a viewing that was asked for played.
pub(super) fn times(lines: &[Line]) -> Times {
    let mut asked: BTreeMap<u64, f64> = BTreeMap::new();
    let Ok(mut seen) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3) else {
        return Times::default();
    };
    for line in lines {
        match line.event {
            Event::Asked { ask, first: true, .. } => _ = asked.insert(ask, line.at),
            Event::Answered { ask, status: 200 } => {
                if let Some(at) = asked.remove(&ask) {
                    seen.saturating_record((((line.at - at) * 1e3) as u64).max(1));
                }
            }
            _ => {}
        }
    }
    let at = |part: f64| if seen.is_empty() { 0.0 } else { seen.value_at_quantile(part) as f64 / 1e3 };
    Times { half: at(0.5), nine_of_ten: at(0.9), most: at(0.99), thousandth: at(0.999) }
}
