//! What the judge found, as figures and as a table.

use crate::spread::Spread;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One rule, what it was judged on, and where it was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    pub rule: u8,
    pub name: &'static str,
    /// Cases that could have broken it.
    pub judged: usize,
    pub of: &'static str,
    pub broken: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    pub findings: Vec<Finding>,
    /// Requests asked, played, blocked, aborted, left; steps up and down.
    pub counts: BTreeMap<&'static str, usize>,
    /// Playlists that broke the format's rules.
    pub flaws: Vec<String>,
    /// Worth earned over worth offered, by those who played.
    pub value: Option<f64>,
    /// How evenly set-ups went over the servers.
    pub spread: Option<Spread>,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.findings.iter().all(|it| it.broken.is_empty()) && self.flaws.is_empty()
    }

    /// The table that is printed.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for (name, count) in &self.counts {
            _ = writeln!(text, "{name:<22} {count:>8}");
        }
        if let Some(value) = self.value {
            _ = writeln!(text, "{:<22} {:>8.3}", "value played", value);
        }
        if let Some(spread) = &self.spread {
            text += &spread.table();
        }
        _ = writeln!(text, "\nrule                          judged on                          broken");
        for it in &self.findings {
            let what = format!("{} {}", it.judged, it.of);
            _ = writeln!(text, "{} {:<27} {what:<34} {}", it.rule, it.name, it.broken.len());
        }
        for flaw in self.flaws.iter().take(10) {
            _ = writeln!(text, "  playlist: {flaw}");
        }
        for it in &self.findings {
            for broken in it.broken.iter().take(10) {
                _ = writeln!(text, "  rule {}: {broken}", it.rule);
            }
        }
        text
    }
}
