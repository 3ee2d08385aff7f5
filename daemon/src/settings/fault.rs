//! `[fault NAME]`: the faults that are injected during a day.

use super::ini_file::{IniFile, Section};
use ottersail_fake_servers::{Fault, Ways, FAR_ENDS, FAULT_KINDS, WAYS};

/// Range of times within a day, in seconds.
const TIME_RANGE_S: std::ops::RangeInclusive<f64> = 0.0..=3600.0;

/// Reads all faults.
pub(super) fn faults(ini: &IniFile) -> Vec<Fault> {
    ini.sections("fault").iter().map(|(name, section)| fault(name, section)).collect()
}

fn fault(name: &str, section: &Section) -> Fault {
    let (start, end) = (section.number("start-s", TIME_RANGE_S), section.number("end-s", TIME_RANGE_S));
    if end <= start {
        section.add_problem("end-s", "must be after start-s");
    }
    Fault {
        name: name.to_string(),
        kind: section.word("kind", FAULT_KINDS),
        start,
        end,
        part: section.number_or("part", 0.0..=1.0, 0.2),
        size: section.number_or("size", 0.0..=1e6, 1.0),
        managers: section.number_or("managers", 0.0..=1.0, 1.0),
        ways: section.word_or("way", WAYS, Ways::Both),
        to_list: section.word_or("to", FAR_ENDS, false),
    }
}
