//! The values of a line, and what is told where one can't be read.

use super::errors::Flaw;
use ottersail::ids::Cell;
use ottersail::state::{Availability, Outcome, ServerEntry};
use ottersail::time::Ms;
use ottersail_platform::errors::excerpt;
use std::str::FromStr;

pub type Read<T> = Result<T, Flaw>;

pub fn wanted<T>(read: &str, expected: &'static str) -> Read<T> {
    Err(Flaw::Wanted { read: excerpt(read), expected })
}

/// The values of one line, taken in order.
pub struct Values<'a> {
    line: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Values<'a> {
    pub fn of(line: &'a str) -> Self {
        Values { line, rest: Some(line) }
    }

    pub fn text(&mut self, expected: &'static str) -> Read<&'a str> {
        let Some(rest) = self.rest.filter(|rest| !rest.is_empty()) else {
            return wanted(self.line, expected);
        };
        let (value, rest) = rest.split_once(' ').map_or((rest, None), |(value, rest)| (value, Some(rest)));
        self.rest = rest;
        Ok(value)
    }

    pub fn optional<T: FromStr>(&mut self, expected: &'static str) -> Read<Option<T>> {
        match self.text(expected)? {
            "-" => Ok(None),
            value => value.parse().map(Some).or_else(|_| wanted(value, expected)),
        }
    }

    pub fn number<T: FromStr>(&mut self, expected: &'static str) -> Read<T> {
        match self.optional(expected)? {
            Some(value) => Ok(value),
            None => wanted("-", expected),
        }
    }

    pub fn clock(&mut self, expected: &'static str) -> Read<Ms> {
        Ok(ms(self.number::<i64>(expected)?))
    }

    pub fn remainder(&mut self, expected: &'static str) -> Read<&'a str> {
        self.rest.take().map_or_else(|| wanted(self.line, expected), Ok)
    }

    pub fn end(self) -> Read<()> {
        self.rest.map_or(Ok(()), |rest| wanted(rest, "the end of the line"))
    }
}

/// Exact enough that a time which went out as nanoseconds, rounded up, never comes back earlier.
pub fn ms(ns: i64) -> Ms {
    Ms(ns as f64 / 1e6)
}

/// A hint counts where its bit says that it is valid.
pub fn hint(bits: Option<u64>, expected: Option<i64>) -> Option<Ms> {
    expected.filter(|_| bits.is_some_and(|bits| bits & 1 == 1)).map(ms)
}

pub fn bytes(hex: &str) -> Read<Vec<u8>> {
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

pub fn outcome(code: &str) -> Read<Outcome> {
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

pub fn entry(line: &str) -> Read<ServerEntry> {
    let mut values = Values::of(line);
    match values.text("a list entry")? {
        "M" => {}
        other => return wanted(other, "a list entry starting with M"),
    }
    let entry = ServerEntry {
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
