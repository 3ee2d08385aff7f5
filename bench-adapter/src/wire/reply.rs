//! Formats the actions of the decisions as reply lines.

use ottersail::actions::PlacementActions;
use ottersail::ids::{Rung, ServerId, TimerTag, ViewingId};
use ottersail::time::Ms;
use std::io::{self, Write};

/// Writes each action of one instance as a line.
pub struct Reply<'a, W: Write> {
    pub output: &'a mut W,
    pub instance: &'a str,
    /// The first error of a write.
    pub error: Option<io::Error>,
}

impl<W: Write> Reply<'_, W> {
    /// Writes a line that starts with the action and the instance.
    pub fn line(&mut self, action: &str, values: std::fmt::Arguments) {
        if let Err(error) = writeln!(self.output, "{action} {}{values}", self.instance) {
            self.error.get_or_insert(error);
        }
    }
}

impl<W: Write> PlacementActions for Reply<'_, W> {
    fn tune_in(&mut self, viewing: &ViewingId, server: &ServerId, time_out: Ms) {
        let time_out_ns = (time_out.0 * 1e6).floor().max(1.0) as i64;
        self.line("RELAY", format_args!(" {viewing} {time_out_ns} {server}"));
    }

    fn step_to(&mut self, viewing: &ViewingId, rung: Rung) {
        self.line("STEP_TO", format_args!(" {viewing} {}", rung.0));
    }

    fn shed(&mut self, viewing: &ViewingId, stay_away: Option<Ms>) {
        match stay_away {
            Some(span) => {
                let span_ns = (span.0 * 1e6).floor() as i64;
                self.line("SHED", format_args!(" {viewing} {span_ns}"));
            }
            None => self.line("SHED", format_args!(" {viewing} -")),
        }
    }

    fn abort(&mut self, viewing: &ViewingId) {
        self.line("ERROR", format_args!(" {viewing}"));
    }

    fn schedule(&mut self, tag: TimerTag, at: Ms) {
        let at_ns = (at.0 * 1e6).ceil() as i64;
        self.line("SCHEDULE", format_args!(" {} {at_ns}", tag.0));
    }

    fn subscribe(&mut self) {
        self.line("SUBSCRIBE", format_args!(" 1"));
    }

    fn probe(&mut self, server: &ServerId) {
        self.line("INSPECT", format_args!(" {server}"));
    }
}
