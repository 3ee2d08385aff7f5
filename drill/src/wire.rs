//! The wire: positional text lines, batches from MARK to FLUSH, one reply for each.

use ottersail::answers::Answers;
use ottersail::brain::Brain;
use ottersail::ids::{BellTag, Cell, Rung, ServerId, TenantIx, TuneInNo, ViewingId};
use ottersail::state::{Availability, Entry, ListMode, Outcome, Topic, Wish};
use ottersail::time::Ms;
use ottersail_platform::load::load;
use ottersail_platform::terms::read_terms;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::str::FromStr;

const EVENTS: [&str; 12] = [
    "BORN",
    "CRASH_NOW",
    "MEMBERS",
    "INCOMING",
    "PREEXISTING",
    "CHANGE",
    "BELL",
    "FIRST",
    "ANSWER",
    "DROPPED",
    "ECHO",
    "DATAGRAM",
];

type Read<T> = Result<T, String>;

fn wanted<T>(read: &str, expected: &str) -> Read<T> {
    let shown: String = read.chars().take(80).collect();
    Err(format!("read '{shown}', expected {expected}"))
}

/// The values of one line, taken in order.
struct Values<'a> {
    line: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Values<'a> {
    fn of(line: &'a str) -> Self {
        Values { line, rest: Some(line) }
    }

    fn text(&mut self, expected: &str) -> Read<&'a str> {
        let Some(rest) = self.rest.filter(|rest| !rest.is_empty()) else {
            return wanted(self.line, expected);
        };
        let (value, rest) = rest.split_once(' ').map_or((rest, None), |(value, rest)| (value, Some(rest)));
        self.rest = rest;
        Ok(value)
    }

    fn optional<T: FromStr>(&mut self, expected: &str) -> Read<Option<T>> {
        match self.text(expected)? {
            "-" => Ok(None),
            value => value.parse().map(Some).or_else(|_| wanted(value, expected)),
        }
    }

    fn number<T: FromStr>(&mut self, expected: &str) -> Read<T> {
        match self.optional(expected)? {
            Some(value) => Ok(value),
            None => wanted("-", expected),
        }
    }

    fn clock(&mut self, expected: &str) -> Read<Ms> {
        Ok(ms(self.number::<i64>(expected)?))
    }

    fn remainder(&mut self, expected: &str) -> Read<&'a str> {
        self.rest.take().map_or_else(|| wanted(self.line, expected), Ok)
    }

    fn end(self) -> Read<()> {
        self.rest.map_or(Ok(()), |rest| wanted(rest, "the end of the line"))
    }
}

/// Exact enough that a time which went out as nanoseconds, rounded up, never comes back earlier.
fn ms(ns: i64) -> Ms {
    Ms(ns as f64 / 1e6)
}

fn outcome(code: &str) -> Read<Outcome> {
    Ok(match code {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::TurnedAway,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::CalledOff,
        "not_sent" => Outcome::NotSent,
        _ => return wanted(code, "an outcome"),
    })
}

fn entry(line: &str) -> Read<Entry> {
    let mut values = Values::of(line);
    match values.text("a list entry")? {
        "M" => {}
        other => return wanted(other, "a list entry starting with M"),
    }
    let entry = Entry {
        kind: values.text("shape")?.into(),
        cell: Cell(values.number("cell")?),
        availability: match values.text("availability")? {
            "U" => Availability::Up,
            "L" => Availability::Leaving,
            "D" => Availability::Gone,
            other => return wanted(other, "U, L or D"),
        },
        server: values.text("server")?.into(),
        started: values.optional::<i64>("started-at-ns")?.filter(|ns| *ns > 0).map(ms),
        weight: values.optional("capacity-hint")?.unwrap_or(1.0),
        zone: values.text("az")?.into(),
    };
    values.end()?;
    Ok(entry)
}

/// Writes each answer as a line of the reply.
struct Reply<'a, W: Write> {
    to: &'a mut W,
    instance: &'a str,
    failed: bool,
}

impl<W: Write> Reply<'_, W> {
    fn line(&mut self, action: &str, values: std::fmt::Arguments) {
        self.failed |= writeln!(self.to, "{action} {}{values}", self.instance).is_err();
    }
}

impl<W: Write> Answers for Reply<'_, W> {
    fn relay(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms) {
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

    fn schedule(&mut self, tag: BellTag, at: Ms) {
        let ns = (at.0 * 1e6).ceil() as i64;
        self.line("SCHEDULE", format_args!(" {} {ns}", tag.0));
    }

    fn subscribe(&mut self) {
        self.line("SUBSCRIBE", format_args!(" 1"));
    }

    fn inspect(&mut self, server: &ServerId) {
        self.line("INSPECT", format_args!(" {server}"));
    }
}

#[derive(Default)]
struct Host {
    brains: BTreeMap<String, Brain>,
    ever_born: BTreeSet<String>,
    sheets: BTreeMap<u64, Rc<[Entry]>>,
}

impl Host {
    /// Carries out one event; the module's panic becomes a PANIC line.
    fn event<W: Write>(&mut self, name: &str, mut values: Values, now: Ms, to: &mut W) -> Read<()> {
        if !EVENTS.contains(&name) {
            return wanted(name, "a known event");
        }
        let instance = values.text("manager-id")?;
        let mut reply = Reply { to, instance, failed: false };
        let told = catch_unwind(AssertUnwindSafe(|| self.tell(name, values, now, instance, &mut reply)));
        if reply.failed {
            return Err("the reply could not be written to standard output".to_string());
        }
        told.unwrap_or_else(|panic| {
            let what = panic.downcast_ref::<&str>().copied();
            let what = what.or(panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown cause");
            reply.line("PANIC", format_args!(" {}", what.replace('\n', " ")));
            Ok(())
        })
    }

    fn tell(
        &mut self,
        name: &str,
        mut values: Values,
        now: Ms,
        instance: &str,
        out: &mut dyn Answers,
    ) -> Read<()> {
        if name == "BORN" {
            let seed = values.number("salt")?;
            let conf = values.remainder("conf")?;
            let conf = serde_json::from_str(conf)
                .or_else(|trouble| wanted(conf, &format!("a settings object ({trouble})")))?;
            self.ever_born.insert(instance.to_string());
            self.brains.insert(instance.to_string(), Brain::born(now, seed, read_terms(&conf), out));
            return Ok(());
        }
        if name == "CRASH_NOW" {
            values.end()?;
            if !self.ever_born.contains(instance) {
                return wanted(instance, "an instance that was born");
            }
            self.brains.remove(instance);
            return Ok(());
        }
        let Some(brain) = self.brains.get_mut(instance) else {
            return wanted(instance, "an instance that was born");
        };
        match name {
            "MEMBERS" => {
                let mode = match values.text("mode")? {
                    "INCREMENTAL" => ListMode::Incremental,
                    "FULL" => ListMode::Full,
                    "SAVED" => ListMode::Saved,
                    "FAILED" => ListMode::Failed,
                    other => return wanted(other, "a list mode"),
                };
                values.optional::<u64>("serial")?;
                let sheet = values.optional::<u64>("sheet")?;
                values.end()?;
                if mode == ListMode::Failed {
                    brain.members(now, mode, &[], out);
                } else {
                    match sheet.and_then(|sheet| self.sheets.get(&sheet)) {
                        Some(entries) => brain.members(now, mode, entries, out),
                        None => return wanted(&format!("{sheet:?}"), "a sheet that was registered"),
                    }
                }
            }
            "INCOMING" => {
                let vw = values.text("handle")?.into();
                let best = Rung(values.number("best-rung")?);
                let bits = values.optional::<u64>("bits")?;
                let lasts = hint(bits, values.optional::<i64>("expected-ns")?);
                let owner = values.text("owner")?;
                let base = values.number("base")?;
                let title = values.text("item")?.into();
                let due = values.clock("due-ns")?;
                let priority = values.text("priority")?;
                let copies = values.number("cells-in-row")?;
                values.text("key")?;
                values.end()?;
                let Some(package) = brain.package_named(priority) else {
                    return wanted(priority, "a class of the settings");
                };
                let tenant = tenant(brain, owner);
                brain.incoming(now, Wish { vw, package, tenant, title, base, copies, best, due, lasts }, out);
            }
            "PREEXISTING" => {
                let vw = values.text("handle")?.into();
                let priority = values.text("priority")?;
                let owner = values.text("owner")?;
                values.text("item")?;
                let title = values.text("title")?.into();
                let due = values.optional::<i64>("due-ns")?.map_or(Ms::LONG_AGO, ms);
                let expected = values.optional::<i64>("expected-ns")?;
                let base = values.number("base")?;
                let copies = values.number("cells-in-row")?;
                let best = Rung(values.number("best-rung")?);
                let lasts = hint(values.optional::<u64>("bits")?, expected);
                let server = values.text("server")?.into();
                values.end()?;
                let Some(package) = brain.package_named(priority) else {
                    return wanted(priority, "a class of the settings");
                };
                let tenant = tenant(brain, owner);
                let wish = Wish { vw, package, tenant, title, base, copies, best, due, lasts };
                brain.preexisting(now, wish, server, out);
            }
            "CHANGE" => {
                let vw = values.text("handle")?.into();
                values.optional::<u64>("leg")?;
                let value = values.number("value")?;
                let topic = match values.number::<u64>("topic")? {
                    1 => Some(Topic::ShareDelivered),
                    2 => Some(Topic::RungInForce),
                    3 => Some(Topic::LinkAsked),
                    4 => Some(Topic::UplinkAsked),
                    _ => None,
                };
                let server = values.text("server")?.into();
                values.end()?;
                if let Some(topic) = topic {
                    brain.change(now, &vw, topic, value, &server, out);
                }
            }
            "BELL" => {
                let tag = BellTag(values.number("tag")?);
                values.end()?;
                brain.bell(now, tag, out);
            }
            "FIRST" => {
                let vw = values.text("handle")?.into();
                values.optional::<i64>("elapsed-ns")?;
                values.optional::<u64>("leg")?;
                let server = values.text("server")?.into();
                values.end()?;
                brain.first(now, &vw, &server, out);
            }
            "ANSWER" => {
                let vw = values.text("handle")?.into();
                let no = TuneInNo(values.number("leg")?);
                let server = values.text("server")?.into();
                let ending = outcome(values.text("ending")?)?;
                values.optional::<i64>("elapsed-ns")?;
                let last = values.optional::<u8>("last")? == Some(1);
                let load = load(values.text("load")?)?;
                values.end()?;
                brain.answer(now, &vw, no, &server, ending, last, load, out);
            }
            "DROPPED" => {
                let vw = values.text("handle")?.into();
                values.end()?;
                brain.dropped(now, &vw, out);
            }
            "ECHO" => {
                let server = values.text("server")?.into();
                let ending = outcome(values.text("ending")?)?;
                values.optional::<i64>("elapsed-ns")?;
                let load = load(values.text("load")?)?;
                values.end()?;
                brain.echo(now, &server, ending, load, out);
            }
            "DATAGRAM" => {
                // The managers of this module tell each other nothing; a message is only checked.
                values.number::<u64>("author")?;
                bytes(values.text("payload")?)?;
                values.end()?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// A hint counts where its bit says that it is valid.
fn hint(bits: Option<u64>, expected: Option<i64>) -> Option<Ms> {
    expected.filter(|_| bits.is_some_and(|bits| bits & 1 == 1)).map(ms)
}

fn tenant(brain: &Brain, owner: &str) -> Option<TenantIx> {
    brain.tenant_named(owner)
}

fn bytes(hex: &str) -> Read<Vec<u8>> {
    if hex == "-" {
        return Ok(Vec::new());
    }
    let pairs = hex.as_bytes().chunks(2);
    pairs
        .map(|pair| std::str::from_utf8(pair).ok().filter(|pair| pair.len() == 2))
        .map(|pair| pair.and_then(|pair| u8::from_str_radix(pair, 16).ok()))
        .collect::<Option<_>>()
        .map_or_else(|| wanted(hex, "pairs of hex digits"), Ok)
}

/// Reads lines until the input ends, counting them.
struct Lines<R> {
    input: R,
    count: u64,
    line: String,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> Read<Option<&str>> {
        self.line.clear();
        self.count += 1;
        match self.input.read_line(&mut self.line) {
            Ok(0) => Ok(None),
            Ok(_) => Ok(Some(self.line.trim_end_matches(['\n', '\r']))),
            Err(trouble) => Err(format!("the line could not be read: {trouble}")),
        }
    }
}

pub fn serve<R: BufRead, W: Write>(input: R, to: &mut W) -> Read<()> {
    let mut lines = Lines { input, count: 0, line: String::new() };
    batches(&mut lines, to).map_err(|trouble| format!("line {}: {trouble}", lines.count))
}

fn batches<R: BufRead, W: Write>(lines: &mut Lines<R>, to: &mut W) -> Read<()> {
    let mut host = Host::default();
    let mut clock: Option<Ms> = None;
    loop {
        let Some(line) = lines.next()? else {
            return clock.map_or(Ok(()), |_| wanted("the end of input", "FLUSH"));
        };
        if line.is_empty() && clock.is_none() {
            continue;
        }
        let mut values = Values::of(line);
        let name = values.text("a message")?;
        match (name, clock) {
            ("MARK", None) => {
                clock = Some(values.clock("a clock time")?);
                values.end()?;
            }
            (other, None) => return wanted(other, "MARK"),
            ("MARK", Some(_)) => return wanted(line, "an event or FLUSH"),
            ("FLUSH", Some(_)) => {
                values.end()?;
                let written = to.write_all(b"FINISHED\n").and_then(|()| to.flush());
                written.map_err(|trouble| format!("the reply could not be written: {trouble}"))?;
                clock = None;
            }
            ("REGISTER", Some(_)) => {
                let sheet = values.number("sheet")?;
                let count = values.number::<usize>("rows-in")?;
                values.end()?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    match lines.next()? {
                        Some(line) => entries.push(entry(line)?),
                        None => return wanted("the end of input", "a list entry"),
                    }
                }
                host.sheets.insert(sheet, entries.into());
            }
            (_, Some(now)) => host.event(name, values, now, to)?,
        }
    }
}

#[cfg(test)]
mod tests;
