//! Any text can be parsed, and all of its problems are reported.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    // The seed is fixed, so that each run has the same cases. PROPTEST_CASES sets their number.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Parsing never panics, and every problem names a line that the text has.
    #[test]
    fn any_text_is_parsed_and_problems_name_lines_of_it(text in "(\\[?[a-c ]{0,4}\\]?(=[0-9a-z.,:-]{0,6})?\n){0,12}\\PC{0,20}") {
        let ini = IniFile::read("f", &text);
        let a = ini.section("a");
        a.numbers("b", 0.0..=9.0);
        a.pairs("c", 0.0..=9.0);
        a.whole("a", 0..=9);
        let lines = text.lines().count();
        for problem in ini.problems() {
            let line = problem.split(':').nth(1).and_then(|number| number.parse::<usize>().ok());
            prop_assert!(line.is_none_or(|line| line >= 1 && line <= lines.max(1)), "{} of {}", problem, lines);
        }
    }
}

#[test]
fn all_problems_are_reported_at_once_with_their_lines() {
    let text =
        "stray = 1\n[a]\n; a comment\ncount = 12x\nodd = 1\ncount = 3\n[b\n[c]\nnothing\nword = maybe\n[d]\n";
    let ini = IniFile::read("f.ini", text);
    let a = ini.section("a");
    assert_eq!(a.whole("count", 1..=9), 3);
    a.number("lacking", 0.0..=1.0);
    ini.section("c").word("word", &[("yes", 1), ("no", 0)]);
    ini.section("e");
    let problems = ini.problems().join("\n");
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
        assert!(problems.contains(expected), "{expected} in\n{problems}");
    }
    assert_eq!(problems.lines().count(), 9, "{problems}");
}

#[test]
fn values_out_of_range_are_reported() {
    let ini = IniFile::read("f.ini", "[a]\nx = 5\ny = NaN\nz = 1, 2, 30\n");
    let a = ini.section("a");
    a.number("x", 0.0..=1.0);
    a.number("y", 0.0..=1.0);
    assert_eq!(a.numbers("z", 0.0..=9.0), [1.0, 2.0]);
    let problems = ini.problems();
    assert_eq!(problems.len(), 3, "{problems:?}");
    assert!(problems[0].contains("expected a number from 0 to 1, read \"5\""), "{problems:?}");
}

#[test]
fn a_duplicate_heading_is_one_problem() {
    let ini = IniFile::read("f.ini", "[a]\nx = 1\n[a]\nx = 2\n");
    assert_eq!(ini.section("a").whole("x", 0..=9), 1);
    let problems = ini.problems();
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert!(problems[0].starts_with("f.ini:3: [a] is there already, at line 1;"), "{problems:?}");
}
