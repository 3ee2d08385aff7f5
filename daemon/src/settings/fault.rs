//! `[fault NAME]`: what goes wrong on a day, and when.

use super::ini_file::{IniFile, Section};
use ottersail_fake_servers::{Fault, Ways, FAR_ENDS, FAULT_KINDS, WAYS};

const SECONDS: std::ops::RangeInclusive<f64> = 0.0..=3600.0;

pub(super) fn faults(ini: &IniFile) -> Vec<Fault> {
    ini.sections("fault").iter().map(|(name, it)| fault(name, it)).collect()
}

fn fault(name: &str, it: &Section) -> Fault {
    let (start, end) = (it.number("start-s", SECONDS), it.number("end-s", SECONDS));
    if end <= start {
        it.add_problem("end-s", "must be after start-s");
    }
    Fault {
        name: name.to_string(),
        kind: it.word("kind", FAULT_KINDS),
        start,
        end,
        part: it.number_or("part", 0.0..=1.0, 0.2),
        size: it.number_or("size", 0.0..=1e6, 1.0),
        managers: it.number_or("managers", 0.0..=1.0, 1.0),
        ways: it.word_or("way", WAYS, Ways::Both),
        to_list: it.word_or("to", FAR_ENDS, false),
    }
}
