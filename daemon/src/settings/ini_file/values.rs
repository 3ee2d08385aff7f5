//! Typed values of keys. An invalid value is added to the problems and replaced with a value in range, so that
//! the rest of the file is checked too.

use super::Section;
use crate::settings::error::ProblemKind;
use std::fmt::Display;
use std::ops::RangeInclusive;

impl<'a> Section<'a> {
    /// The value of a required key; a problem if it is missing or empty, unless the whole section is missing.
    fn required(&self, key: &str, expected: &str) -> Option<&'a str> {
        let value = self.get(key).filter(|text| !text.is_empty());
        if value.is_none() && self.data.is_some() {
            let (section, key, expected) = (self.name.to_string(), key.to_string(), expected.to_string());
            self.ini.push_problem(self.line(&key), ProblemKind::MissingKey { section, key, expected });
        }
        value
    }

    fn invalid(&self, key: &str, expected: impl Into<String>, value: &str) {
        let line = self.line(key);
        let (section, key) = (self.name.to_string(), key.to_string());
        let kind =
            ProblemKind::InvalidValue { section, expected: expected.into(), value: value.to_string(), key };
        self.ini.push_problem(line, kind);
    }

    /// A required text.
    pub fn text(&self, key: &str) -> String {
        self.required(key, "a text").unwrap_or_default().to_string()
    }

    /// A required socket address, `host:port`.
    pub fn address(&self, key: &str) -> String {
        let expected = "an address like 127.0.0.1:8080";
        let value = self.required(key, expected).unwrap_or("127.0.0.1:0");
        if value.parse::<std::net::SocketAddr>().is_err() {
            self.invalid(key, expected, value);
        }
        value.to_string()
    }

    /// Parses a number in `range`; `expected` names it in the problem.
    fn parsed<T>(&self, key: &str, value: &str, range: &RangeInclusive<T>, expected: &str) -> Option<T>
    where
        T: std::str::FromStr + PartialOrd + Display + Copy,
    {
        let number = value.parse::<T>().ok().filter(|number| range.contains(number));
        if number.is_none() {
            let (from, to) = (range.start(), range.end());
            self.invalid(key, format!("{expected} from {from} to {to}"), value);
        }
        number
    }

    /// A required number.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> f64 {
        let value = self.required(key, "a number");
        value.and_then(|text| self.parsed(key, text, &range, "a number")).unwrap_or(*range.start())
    }

    /// A number, or `default` if the key is missing.
    pub fn number_or(&self, key: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        match self.get(key) {
            Some(value) => self.parsed(key, value, &range, "a number").unwrap_or(default),
            None => default,
        }
    }

    /// A required whole number.
    pub fn whole(&self, key: &str, range: RangeInclusive<u64>) -> u64 {
        let value = self.required(key, "a whole number");
        value.and_then(|text| self.parsed(key, text, &range, "a whole number")).unwrap_or(*range.start())
    }

    /// A whole number, or `default` if the key is missing.
    pub fn whole_or(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        match self.get(key) {
            Some(value) => self.parsed(key, value, &range, "a whole number").unwrap_or(default),
            None => default,
        }
    }

    /// `yes` or `no`, or `default` if the key is missing.
    pub fn flag_or(&self, key: &str, default: bool) -> bool {
        match self.get(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.invalid(key, "yes or no", other);
                default
            }
        }
    }

    /// The value of a required key that is one of `words`.
    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> T {
        let names: Vec<&str> = words.iter().map(|word| word.0).collect();
        let expected = format!("one of {}", names.join(", "));
        let value = self.required(key, &expected);
        let found = value.and_then(|value| words.iter().find(|word| word.0 == value));
        if let (Some(value), None) = (value, found) {
            self.invalid(key, expected, value);
        }
        found.unwrap_or(&words[0]).1
    }

    /// The value of a key that is one of `words`, or `default` if the key is missing.
    pub fn word_or<T: Copy>(&self, key: &str, words: &[(&str, T)], default: T) -> T {
        if self.get(key).is_some() {
            self.word(key, words)
        } else {
            default
        }
    }

    /// A required list of numbers, separated by commas.
    pub fn numbers(&self, key: &str, range: RangeInclusive<f64>) -> Vec<f64> {
        let value = self.required(key, "numbers separated by commas").unwrap_or("");
        let parts = value.split(',').map(str::trim).filter(|text| !text.is_empty());
        parts.filter_map(|part| self.parsed(key, part, &range, "numbers")).collect()
    }

    /// A required list of `name:number` pairs, separated by commas.
    pub fn pairs(&self, key: &str, range: RangeInclusive<f64>) -> Vec<(String, f64)> {
        let value = self.required(key, "pairs like small:20, large:40").unwrap_or("");
        let parts = value.split(',').map(str::trim).filter(|text| !text.is_empty());
        let pair = |part: &str| match part.split_once(':') {
            Some((name, number)) => {
                Some((name.trim().to_string(), self.parsed(key, number.trim(), &range, "numbers")?))
            }
            None => {
                self.invalid(key, "pairs like small:20", part);
                None
            }
        };
        parts.filter_map(pair).collect()
    }
}
