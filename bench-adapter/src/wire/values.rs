//! Parses the values of a line.

use super::errors::ErrorKind;
use ottersail::ids::Cell;
use ottersail::state::{Availability, Outcome, ServerEntry};
use ottersail::time::Ms;
use ottersail_platform::errors::excerpt;
use std::str::FromStr;

/// A parsed value or the reason why there is none.
pub type ParseResult<T> = Result<T, ErrorKind>;

/// The error for an unexpected value.
pub fn unexpected<T>(read: &str, expected: &'static str) -> ParseResult<T> {
    Err(ErrorKind::Unexpected { read: excerpt(read), expected })
}

/// The values of one line, separated by single spaces and read in order. The `expected` argument of the
/// methods names the value in errors.
pub struct Values<'a> {
    line: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Values<'a> {
    /// The values of the line, none of them read yet.
    pub fn new(line: &'a str) -> Self {
        Values { line, rest: Some(line) }
    }

    /// The next value as it stands.
    pub fn text(&mut self, expected: &'static str) -> ParseResult<&'a str> {
        let Some(rest) = self.rest.filter(|rest| !rest.is_empty()) else {
            return unexpected(self.line, expected);
        };
        let (value, rest) = rest.split_once(' ').map_or((rest, None), |(value, rest)| (value, Some(rest)));
        self.rest = rest;
        Ok(value)
    }

    /// The next value, where `-` means that there is none.
    pub fn optional<T: FromStr>(&mut self, expected: &'static str) -> ParseResult<Option<T>> {
        match self.text(expected)? {
            "-" => Ok(None),
            value => value.parse().map(Some).or_else(|_| unexpected(value, expected)),
        }
    }

    /// The next value, which must be present.
    pub fn number<T: FromStr>(&mut self, expected: &'static str) -> ParseResult<T> {
        match self.optional(expected)? {
            Some(value) => Ok(value),
            None => unexpected("-", expected),
        }
    }

    /// A time in nanoseconds.
    pub fn time(&mut self, expected: &'static str) -> ParseResult<Ms> {
        Ok(ms(self.number::<i64>(expected)?))
    }

    /// All that is left of the line.
    pub fn remainder(&mut self, expected: &'static str) -> ParseResult<&'a str> {
        self.rest.take().map_or_else(|| unexpected(self.line, expected), Ok)
    }

    /// Checks that no value is left.
    pub fn end(self) -> ParseResult<()> {
        self.rest.map_or(Ok(()), |rest| unexpected(rest, "the end of the line"))
    }
}

/// Nanoseconds as milliseconds, precise enough that a time that was sent as nanoseconds, rounded up, never
/// comes back earlier.
pub fn ms(ns: i64) -> Ms {
    Ms(ns as f64 / 1e6)
}

/// The expected duration of a viewing, if its validity bit is set.
pub fn duration_hint(bits: Option<u64>, expected_ns: Option<i64>) -> Option<Ms> {
    expected_ns.filter(|_| bits.is_some_and(|bits| bits & 1 == 1)).map(ms)
}

/// Bytes from pairs of hex digits; `-` is empty.
pub fn bytes(hex: &str) -> ParseResult<Vec<u8>> {
    if hex == "-" {
        return Ok(Vec::new());
    }
    let pairs = hex.as_bytes().chunks(2);
    pairs
        .map(|pair| std::str::from_utf8(pair).ok().filter(|pair| pair.len() == 2))
        .map(|pair| pair.and_then(|pair| u8::from_str_radix(pair, 16).ok()))
        .collect::<Option<_>>()
        .map_or_else(|| unexpected(hex, "pairs of hex digits"), Ok)
}

/// The outcome of a code.
pub fn outcome(code: &str) -> ParseResult<Outcome> {
    Ok(match code {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::TurnedAway,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::CalledOff,
        "not_sent" => Outcome::NotSent,
        _ => return unexpected(code, "an outcome"),
    })
}

/// One line of a server list.
pub fn entry(line: &str) -> ParseResult<ServerEntry> {
    let mut values = Values::new(line);
    match values.text("a list entry")? {
        "M" => {}
        other => return unexpected(other, "a list entry starting with M"),
    }
    let entry = ServerEntry {
        kind: values.text("shape")?.into(),
        cell: Cell(values.number("cell")?),
        availability: match values.text("availability")? {
            "U" => Availability::Up,
            "L" => Availability::Leaving,
            "D" => Availability::Gone,
            other => return unexpected(other, "U, L or D"),
        },
        server: values.text("server")?.into(),
        started: values.optional::<i64>("started-at-ns")?.filter(|ns| *ns > 0).map(ms),
        weight: values.optional("capacity-hint")?.unwrap_or(1.0),
        zone: values.text("az")?.into(),
    };
    values.end()?;
    Ok(entry)
}
