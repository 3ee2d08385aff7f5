//! The values of keys, each read as what it should be. What can't be read is complained of, and something in
//! range is given in its place, so that the rest of the file is looked at too.

use super::Section;
use crate::settings::error::ProblemKind;
use std::fmt::Display;
use std::ops::RangeInclusive;

impl<'a> Section<'a> {
    fn want(&self, key: &str, expected: &str) -> Option<&'a str> {
        let value = self.get(key).filter(|it| !it.is_empty());
        if value.is_none() && self.part.is_some() {
            let (section, key, expected) = (self.name.to_string(), key.to_string(), expected.to_string());
            self.ini.wrong(self.line(&key), ProblemKind::MissingKey { section, key, expected });
        }
        value
    }

    fn misread(&self, key: &str, expected: impl Into<String>, value: &str) {
        let line = self.line(key);
        let (section, key) = (self.name.to_string(), key.to_string());
        let wrong =
            ProblemKind::InvalidValue { section, expected: expected.into(), value: value.to_string(), key };
        self.ini.wrong(line, wrong);
    }

    pub fn text(&self, key: &str) -> String {
        self.want(key, "a text").unwrap_or_default().to_string()
    }

    /// `host:port`.
    pub fn address(&self, key: &str) -> String {
        let expected = "an address like 127.0.0.1:8080";
        let value = self.want(key, expected).unwrap_or("127.0.0.1:0");
        if value.parse::<std::net::SocketAddr>().is_err() {
            self.misread(key, expected, value);
        }
        value.to_string()
    }

    fn parsed<T>(&self, key: &str, value: &str, range: &RangeInclusive<T>, expected: &str) -> Option<T>
    where
        T: std::str::FromStr + PartialOrd + Display + Copy,
    {
        let number = value.parse::<T>().ok().filter(|it| range.contains(it));
        if number.is_none() {
            let (from, to) = (range.start(), range.end());
            self.misread(key, format!("{expected} from {from} to {to}"), value);
        }
        number
    }

    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> f64 {
        let value = self.want(key, "a number");
        value.and_then(|it| self.parsed(key, it, &range, "a number")).unwrap_or(*range.start())
    }

    pub fn number_or(&self, key: &str, range: RangeInclusive<f64>, absent: f64) -> f64 {
        match self.get(key) {
            Some(value) => self.parsed(key, value, &range, "a number").unwrap_or(absent),
            None => absent,
        }
    }

    pub fn whole(&self, key: &str, range: RangeInclusive<u64>) -> u64 {
        let value = self.want(key, "a whole number");
        value.and_then(|it| self.parsed(key, it, &range, "a whole number")).unwrap_or(*range.start())
    }

    pub fn whole_or(&self, key: &str, range: RangeInclusive<u64>, absent: u64) -> u64 {
        match self.get(key) {
            Some(value) => self.parsed(key, value, &range, "a whole number").unwrap_or(absent),
            None => absent,
        }
    }

    pub fn flag_or(&self, key: &str, absent: bool) -> bool {
        match self.get(key) {
            None => absent,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.misread(key, "yes or no", other);
                absent
            }
        }
    }

    /// One of a few words.
    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> T {
        let names: Vec<&str> = words.iter().map(|it| it.0).collect();
        let expected = format!("one of {}", names.join(", "));
        let value = self.want(key, &expected);
        let found = value.and_then(|value| words.iter().find(|it| it.0 == value));
        if let (Some(value), None) = (value, found) {
            self.misread(key, expected, value);
        }
        found.unwrap_or(&words[0]).1
    }

    /// One of a few words, or that one if the key is absent.
    pub fn word_or<T: Copy>(&self, key: &str, words: &[(&str, T)], absent: T) -> T {
        if self.get(key).is_some() {
            self.word(key, words)
        } else {
            absent
        }
    }

    /// Numbers set apart by commas, at least one.
    pub fn numbers(&self, key: &str, range: RangeInclusive<f64>) -> Vec<f64> {
        let value = self.want(key, "numbers set apart by commas").unwrap_or("");
        let parts = value.split(',').map(str::trim).filter(|it| !it.is_empty());
        parts.filter_map(|it| self.parsed(key, it, &range, "numbers")).collect()
    }

    /// `name:number` pairs set apart by commas, at least one.
    pub fn pairs(&self, key: &str, range: RangeInclusive<f64>) -> Vec<(String, f64)> {
        let value = self.want(key, "pairs like small:20, large:40").unwrap_or("");
        let parts = value.split(',').map(str::trim).filter(|it| !it.is_empty());
        let pair = |it: &str| match it.split_once(':') {
            Some((name, number)) => {
                Some((name.trim().to_string(), self.parsed(key, number.trim(), &range, "numbers")?))
            }
            None => {
                self.misread(key, "pairs like small:20", it);
                None
            }
        };
        parts.filter_map(pair).collect()
    }
}
