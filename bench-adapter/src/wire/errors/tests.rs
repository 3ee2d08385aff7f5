use super::*;
use std::io::ErrorKind;
use test_case::test_case;

fn settings() -> Flaw {
    Flaw::Settings { read: "{".into(), source: serde_json::from_str::<serde_json::Value>("{").unwrap_err() }
}

/// What is wrong, and what to try; where it is stands before each.
#[test_case(
    Flaw::Wanted { read: "SING".into(), expected: "a known event" },
    ["read 'SING', expected a known event", "send it so"];
    "another value"
)]
#[test_case(settings(), ["read '{', expected a settings object", "send the object whole"]; "settings")]
#[test_case(
    Flaw::from(LoadReportError { pair: 2, found: "x".into() }),
    ["read 'x', expected name:value in pair 2", "let its sender write"];
    "load"
)]
#[test_case(
    Flaw::Input(ErrorKind::InvalidData.into()), ["could not be read: invalid data", "send UTF-8"];
    "input"
)]
#[test_case(
    Flaw::Output(ErrorKind::BrokenPipe.into()),
    ["could not be written: broken pipe", "leave standard output open"];
    "output"
)]
fn a_text_says_what_where_and_what_to_try(what: Flaw, parts: [&str; 2]) {
    let told = WireError { line: 7, what }.to_string();
    assert!(told.starts_with("line 7: "), "{told}");
    for part in parts {
        assert!(told.contains(part), "{told}");
    }
    assert_eq!(told.lines().count(), 1, "{told}");
}
