//! The figures as lines of text.

use crate::spread::figures::{Spread, Times};
use std::fmt::Write;

impl Spread {
    /// The lines that are printed.
    pub fn table(&self) -> String {
        let mut text = format!("\nover {} servers          herd index   largest over mean\n", self.servers);
        for it in &self.swings {
            _ = writeln!(text, "set-ups in {:>6} ms {:>13.2} {:>19.1}", it.window, it.herd, it.largest);
        }
        let after = [
            ("notes", self.after_notes),
            ("changes of the list", self.after_changes),
            ("faults end", self.after_returns),
        ];
        for (what, herd) in after.iter().filter_map(|it| Some((it.0, it.1?))) {
            _ = writeln!(text, "herd index in the second after {what}: {herd:.2}");
        }
        _ = writeln!(text, "idle for over three mean gaps: {:.3} of the time (chance: 0.050)", self.idle);
        if let Some((wasted, all)) = self.wasted {
            _ = writeln!(text, "turned away: {all}, while another holder had room: {wasted}");
        }
        _ = writeln!(
            text,
            "\nviewings over link or uplink       fullest  99th of 100  emptiest, over the mean"
        );
        let rows = match &self.compared {
            None => vec![("as it was", self.standing)],
            Some(it) => vec![
                ("as it was", it.as_it_was),
                ("had an oracle picked", it.oracle),
                ("two picks, fresh loads", it.two_fresh),
                ("two picks, loads as reported", it.two_old),
                ("one random pick", it.random),
            ],
        };
        for (name, it) in rows {
            _ = writeln!(text, "{name:<32} {:>9.2} {:>12.2} {:>9.2}", it.largest, it.most, it.least);
        }
        let Times { half, nine_of_ten, most, thousandth } = self.times;
        _ = writeln!(
            text,
            "ms until a viewing plays: half {half:.1}, 90 in 100 {nine_of_ten:.1}, 99 {most:.1}, \
             99.9 {thousandth:.1}"
        );
        if let Some((memory, wakes, cpu)) = self.rest {
            let memory = memory / 1024.0;
            _ = writeln!(
                text,
                "a manager at rest: {memory:.1} MB, {wakes:.1} wake-ups and {cpu:.2} ms of processor a second"
            );
        }
        if let Some(cpu) = self.cpu_a_set_up {
            _ = writeln!(text, "processor time of the managers a set-up: {cpu:.2} ms");
        }
        text
    }
}
