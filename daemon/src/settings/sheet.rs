//! An INI file with the line of each thing in it, and the complaints about it, all told in one go.

use ini_core::{Item, Parser};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;

#[derive(Clone, Debug)]
struct Slot {
    line: usize,
    value: String,
    used: RefCell<bool>,
}

#[derive(Debug)]
struct Part {
    name: String,
    line: usize,
    keys: BTreeMap<String, Slot>,
    used: RefCell<bool>,
}

/// A settings file as it was read.
#[derive(Debug)]
pub struct Sheet {
    file: String,
    parts: Vec<Part>,
    complaints: RefCell<Vec<(usize, String)>>,
}

/// One part of a sheet, by its heading.
pub struct Section<'a> {
    sheet: &'a Sheet,
    part: Option<&'a Part>,
    name: &'a str,
}

impl Sheet {
    pub fn read(file: &str, text: &str) -> Sheet {
        let mut parts: Vec<Part> = Vec::new();
        let mut complaints = Vec::new();
        let mut line = 0;
        for item in Parser::new(text) {
            line += usize::from(!matches!(item, Item::SectionEnd));
            match item {
                Item::Section(name) => {
                    let name = name.trim().to_string();
                    if let Some(part) = parts.iter().find(|it| it.name == name) {
                        complaints.push((line, format!("[{name}] is there already, at line {}", part.line)));
                    }
                    parts.push(Part { name, line, keys: BTreeMap::new(), used: RefCell::new(false) });
                }
                Item::Property(key, Some(value)) => {
                    let (key, value) = (key.trim().to_string(), value.trim().to_string());
                    let slot = Slot { line, value, used: RefCell::new(false) };
                    match parts.last_mut() {
                        None => complaints.push((line, format!("{key} stands before the first [section]"))),
                        Some(part) => {
                            if let Some(before) = part.keys.insert(key.clone(), slot) {
                                complaints
                                    .push((line, format!("{key} is there already, at line {}", before.line)));
                            }
                        }
                    }
                }
                Item::Property(key, None) if !key.trim().is_empty() => {
                    complaints.push((
                        line,
                        format!("{key:?} has no value; write key = value, or ; before a remark"),
                    ));
                }
                Item::Error(text) => complaints.push((line, format!("{text:?} is no heading; write [name]"))),
                _ => {}
            }
        }
        Sheet { file: file.to_string(), parts, complaints: RefCell::new(complaints) }
    }

    /// A section that must be there; that it is missing is told once, by the first key that is asked for.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        let part = self.parts.iter().find(|it| it.name == name);
        match part {
            Some(part) => *part.used.borrow_mut() = true,
            None => self.complain(0, format!("[{name}] is missing")),
        }
        Section { sheet: self, part, name }
    }

    /// A section that may be left out.
    pub fn section_if<'a>(&'a self, name: &'a str) -> Option<Section<'a>> {
        self.parts.iter().any(|it| it.name == name).then(|| self.section(name))
    }

    /// The sections with that first word, and what comes after it.
    pub fn sections<'a>(&'a self, kind: &'a str) -> Vec<(&'a str, Section<'a>)> {
        let named = |part: &'a Part| {
            let (first, rest) = part.name.split_once(' ')?;
            (first == kind).then(|| {
                *part.used.borrow_mut() = true;
                (rest.trim(), Section { sheet: self, part: Some(part), name: &part.name })
            })
        };
        self.parts.iter().filter_map(named).collect()
    }

    pub fn complain(&self, line: usize, text: String) {
        self.complaints.borrow_mut().push((line, text));
    }

    /// Everything that is wrong, by line, what nobody asked for included; empty if all is well.
    pub fn complaints(&self) -> Vec<String> {
        let mut all = self.complaints.borrow().clone();
        for part in &self.parts {
            if !*part.used.borrow() {
                all.push((part.line, format!("[{}] is not known here", part.name)));
                continue;
            }
            let unused = part.keys.iter().filter(|it| !*it.1.used.borrow());
            all.extend(
                unused.map(|(key, slot)| (slot.line, format!("{key} is not known in [{}]", part.name))),
            );
        }
        all.sort();
        all.dedup();
        let place = |line: usize| match line {
            0 => self.file.clone(),
            line => format!("{}:{line}", self.file),
        };
        all.into_iter().map(|(line, text)| format!("{}: {text}", place(line))).collect()
    }
}

impl<'a> Section<'a> {
    pub fn line(&self, key: &str) -> usize {
        let slot = self.part.and_then(|it| it.keys.get(key));
        slot.map(|it| it.line).or(self.part.map(|it| it.line)).unwrap_or(0)
    }

    /// Something is wrong with a key's value.
    pub fn complain(&self, key: &str, text: impl Display) {
        self.sheet.complain(self.line(key), format!("{key}: {text}"));
    }

    pub fn get(&self, key: &str) -> Option<&'a str> {
        let slot = self.part?.keys.get(key)?;
        *slot.used.borrow_mut() = true;
        Some(&slot.value)
    }

    /// All that it holds; each counts as asked for.
    pub fn all(&self) -> Vec<(&'a str, &'a str)> {
        let keys = self.part.into_iter().flat_map(|it| &it.keys);
        keys.map(|(key, slot)| {
            *slot.used.borrow_mut() = true;
            (key.as_str(), slot.value.as_str())
        })
        .collect()
    }

    fn want(&self, key: &str, what: &str) -> Option<&'a str> {
        let value = self.get(key).filter(|it| !it.is_empty());
        if value.is_none() && self.part.is_some() {
            self.sheet.complain(self.line(key), format!("[{}] lacks {key}; expected {what}", self.name));
        }
        value
    }

    pub fn text(&self, key: &str) -> String {
        self.want(key, "a text").unwrap_or_default().to_string()
    }

    /// `host:port`.
    pub fn address(&self, key: &str) -> String {
        let what = "an address like 127.0.0.1:8080";
        let value = self.want(key, what).unwrap_or("127.0.0.1:0");
        if value.parse::<std::net::SocketAddr>().is_err() {
            self.complain(key, format!("expected {what}, read {value:?}"));
        }
        value.to_string()
    }

    fn parsed<T>(&self, key: &str, value: &str, range: &RangeInclusive<T>, what: &str) -> Option<T>
    where
        T: std::str::FromStr + PartialOrd + Display + Copy,
    {
        let number = value.parse::<T>().ok().filter(|it| range.contains(it));
        if number.is_none() {
            let (from, to) = (range.start(), range.end());
            self.complain(key, format!("expected {what} from {from} to {to}, read {value:?}"));
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
                self.complain(key, format!("expected yes or no, read {other:?}"));
                absent
            }
        }
    }

    /// One of a few words.
    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> T {
        let names: Vec<&str> = words.iter().map(|it| it.0).collect();
        let what = format!("one of {}", names.join(", "));
        let value = self.want(key, &what);
        let found = value.and_then(|value| words.iter().find(|it| it.0 == value));
        if let (Some(value), None) = (value, found) {
            self.complain(key, format!("expected {what}, read {value:?}"));
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
                self.complain(key, format!("expected pairs like small:20, read {it:?}"));
                None
            }
        };
        parts.filter_map(pair).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        // The same cases each time; more by PROPTEST_CASES.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Any text is read, and every complaint names a line that the text has.
        #[test]
        fn any_text_is_read_without_harm(text in "(\\[?[a-c ]{0,4}\\]?(=[0-9a-z.,:-]{0,6})?\n){0,12}\\PC{0,20}") {
            let sheet = Sheet::read("f", &text);
            let a = sheet.section("a");
            a.numbers("b", 0.0..=9.0);
            a.pairs("c", 0.0..=9.0);
            a.whole("a", 0..=9);
            let lines = text.lines().count();
            for complaint in sheet.complaints() {
                let line = complaint.split(':').nth(1).and_then(|it| it.parse::<usize>().ok());
                prop_assert!(line.is_none_or(|it| it >= 1 && it <= lines.max(1)), "{} of {}", complaint, lines);
            }
        }
    }

    #[test]
    fn all_that_is_wrong_is_told_at_once_with_its_line() {
        let text = "stray = 1\n[a]\n; a remark\ncount = 12x\nodd = 1\ncount = 3\n[b\n[c]\nnothing\nword = maybe\n[d]\n";
        let sheet = Sheet::read("f.ini", text);
        let a = sheet.section("a");
        assert_eq!(a.whole("count", 1..=9), 3);
        a.number("lacking", 0.0..=1.0);
        sheet.section("c").word("word", &[("yes", 1), ("no", 0)]);
        sheet.section("e");
        let told = sheet.complaints().join("\n");
        for expected in [
            "f.ini: [e] is missing",
            "f.ini:1: stray stands before",
            "f.ini:2: [a] lacks lacking; expected a number",
            "f.ini:6: count is there already, at line 4",
            "f.ini:5: odd is not known in [a]",
            "f.ini:7: \"[b\" is no heading",
            "f.ini:9: \"nothing\" has no value",
            "f.ini:10: word: expected one of yes, no, read \"maybe\"",
            "f.ini:11: [d] is not known here",
        ] {
            assert!(told.contains(expected), "{expected} in\n{told}");
        }
        assert_eq!(told.lines().count(), 9, "{told}");
    }

    #[test]
    fn ranges_are_told() {
        let sheet = Sheet::read("f.ini", "[a]\nx = 5\ny = NaN\nz = 1, 2, 30\n");
        let a = sheet.section("a");
        a.number("x", 0.0..=1.0);
        a.number("y", 0.0..=1.0);
        assert_eq!(a.numbers("z", 0.0..=9.0), [1.0, 2.0]);
        let told = sheet.complaints();
        assert_eq!(told.len(), 3, "{told:?}");
        assert!(told[0].contains("expected a number from 0 to 1, read \"5\""), "{told:?}");
    }
}
