//! Any text is read, and all that is wrong with it is told.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    // The same cases each time; more by PROPTEST_CASES.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Any text is read, and every problem names a line that the text has.
    #[test]
    fn any_text_is_read_without_harm(text in "(\\[?[a-c ]{0,4}\\]?(=[0-9a-z.,:-]{0,6})?\n){0,12}\\PC{0,20}") {
        let ini = IniFile::read("f", &text);
        let a = ini.section("a");
        a.numbers("b", 0.0..=9.0);
        a.pairs("c", 0.0..=9.0);
        a.whole("a", 0..=9);
        let lines = text.lines().count();
        for problem in ini.problems() {
            let line = problem.split(':').nth(1).and_then(|it| it.parse::<usize>().ok());
            prop_assert!(line.is_none_or(|it| it >= 1 && it <= lines.max(1)), "{} of {}", problem, lines);
        }
    }
}

#[test]
fn all_that_is_wrong_is_told_at_once_with_its_line() {
    let text =
        "stray = 1\n[a]\n; a remark\ncount = 12x\nodd = 1\ncount = 3\n[b\n[c]\nnothing\nword = maybe\n[d]\n";
    let ini = IniFile::read("f.ini", text);
    let a = ini.section("a");
    assert_eq!(a.whole("count", 1..=9), 3);
    a.number("lacking", 0.0..=1.0);
    ini.section("c").word("word", &[("yes", 1), ("no", 0)]);
    ini.section("e");
    let told = ini.problems().join("\n");
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
    let ini = IniFile::read("f.ini", "[a]\nx = 5\ny = NaN\nz = 1, 2, 30\n");
    let a = ini.section("a");
    a.number("x", 0.0..=1.0);
    a.number("y", 0.0..=1.0);
    assert_eq!(a.numbers("z", 0.0..=9.0), [1.0, 2.0]);
    let told = ini.problems();
    assert_eq!(told.len(), 3, "{told:?}");
    assert!(told[0].contains("expected a number from 0 to 1, read \"5\""), "{told:?}");
}

#[test]
fn a_heading_that_is_there_twice_is_told_once() {
    let ini = IniFile::read("f.ini", "[a]\nx = 1\n[a]\nx = 2\n");
    assert_eq!(ini.section("a").whole("x", 0..=9), 1);
    let told = ini.problems();
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].starts_with("f.ini:3: [a] is there already, at line 1;"), "{told:?}");
}
