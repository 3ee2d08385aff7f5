//! What a run showed over its time, by rack and by title, for reports.

use serde::{Deserialize, Serialize};

/// So many spans a day is cut into.
pub const SPANS: usize = 120;

/// Of all servers that run: a tenth lie below the first, half below the second, nine in ten below the third.
pub type Band = [f64; 3];

/// One span of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// Its end, in seconds from the day's beginning.
    pub until: f64,
    pub asked: u64,
    pub played: u64,
    pub blocked: u64,
    pub aborted: u64,
    /// What is asked over what is given, at the span's end.
    pub links: Band,
    pub uplinks: Band,
    /// Viewings held, by rung.
    pub rungs: Vec<u64>,
    /// Servers that warm up, and set-ups sent there.
    pub cold: u64,
    pub cold_set_ups: u64,
    /// From request to answer of those that play, summed, in milliseconds.
    pub waited_ms: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub name: String,
    /// Racks: server-samples. Titles: requests.
    pub all: u64,
    /// Racks: of those, short. Titles: blocked.
    pub lost: u64,
    /// Racks: mean of what is asked over what the uplink gives. Titles: 0.
    pub fill: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Detail {
    pub spans: Vec<Span>,
    pub racks: Vec<Row>,
    /// Those asked for most.
    pub titles: Vec<Row>,
}

/// Where a tenth, half, and nine tenths of the values lie below; zeros without any.
pub fn band(mut values: Vec<f64>) -> Band {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| {
        values.get(((values.len().max(1) - 1) as f64 * part).round() as usize).copied().unwrap_or(0.0)
    };
    [at(0.1), at(0.5), at(0.9)]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_band_holds_eight_in_ten() {
        assert_eq!(band((0..=100).rev().map(f64::from).collect()), [10.0, 50.0, 90.0]);
        assert_eq!(band(vec![]), [0.0; 3]);
        assert_eq!(band(vec![2.0]), [2.0; 3]);
    }
}
