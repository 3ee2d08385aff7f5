use super::*;
use std::io::ErrorKind as IoErrorKind;
use test_case::test_case;

fn settings_error() -> ErrorKind {
    let source = serde_json::from_str::<serde_json::Value>("{").unwrap_err();
    ErrorKind::Settings { read: "{".into(), source }
}

#[test_case(
    ErrorKind::Unexpected { read: "SING".into(), expected: "a known event" },
    ["read 'SING', expected a known event", "send that"];
    "unexpected value"
)]
#[test_case(
    settings_error(), ["read '{', expected a settings object", "send a complete object"];
    "settings"
)]
#[test_case(
    ErrorKind::from(LoadReportError { pair: 2, found: "x".into() }),
    ["read 'x', expected name:value in pair 2", "let its sender write"];
    "load"
)]
#[test_case(
    ErrorKind::Input(IoErrorKind::InvalidData.into()), ["could not be read: invalid data", "send UTF-8"];
    "input"
)]
#[test_case(
    ErrorKind::Output(IoErrorKind::BrokenPipe.into()),
    ["could not be written: broken pipe", "keep standard output open"];
    "output"
)]
fn a_message_says_what_is_wrong_where_and_what_to_try(kind: ErrorKind, parts: [&str; 2]) {
    let message = WireError { line: 7, kind }.to_string();
    assert!(message.starts_with("line 7: "), "{message}");
    for part in parts {
        assert!(message.contains(part), "{message}");
    }
    assert_eq!(message.lines().count(), 1, "{message}");
}
