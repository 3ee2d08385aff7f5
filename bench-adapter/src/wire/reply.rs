//! The module's answers as lines.

use ottersail::actions::PlacementActions;
use ottersail::ids::{Rung, ServerId, TimerTag, ViewingId};
use ottersail::time::Ms;
use std::io::{self, Write};

/// Writes each answer as a line of the reply.
pub struct Reply<'a, W: Write> {
    pub to: &'a mut W,
    pub instance: &'a str,
    /// Why a line could not be written: the first cause.
    pub failed: Option<io::Error>,
}

impl<W: Write> Reply<'_, W> {
    pub fn line(&mut self, action: &str, values: std::fmt::Arguments) {
        if let Err(trouble) = writeln!(self.to, "{action} {}{values}", self.instance) {
            self.failed.get_or_insert(trouble);
        }
    }
}

impl<W: Write> PlacementActions for Reply<'_, W> {
    fn tune_in(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms) {
        let cap = (time_out.0 * 1e6).floor().max(1.0) as i64;
        self.line("RELAY", format_args!(" {vw} {cap} {server}"));
    }

    fn step_to(&mut self, vw: &ViewingId, rung: Rung) {
        self.line("STEP_TO", format_args!(" {vw} {}", rung.0));
    }

    fn shed(&mut self, vw: &ViewingId, stay_away: Option<Ms>) {
        match stay_away {
            Some(span) => {
                let ns = (span.0 * 1e6).floor() as i64;
                self.line("SHED", format_args!(" {vw} {ns}"));
            }
            None => self.line("SHED", format_args!(" {vw} -")),
        }
    }

    fn abort(&mut self, vw: &ViewingId) {
        self.line("ERROR", format_args!(" {vw}"));
    }

    fn schedule(&mut self, tag: TimerTag, at: Ms) {
        let ns = (at.0 * 1e6).ceil() as i64;
        self.line("SCHEDULE", format_args!(" {} {ns}", tag.0));
    }

    fn subscribe(&mut self) {
        self.line("SUBSCRIBE", format_args!(" 1"));
    }

    fn probe(&mut self, server: &ServerId) {
        self.line("INSPECT", format_args!(" {server}"));
    }
}
