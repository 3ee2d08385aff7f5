//! Reads single fields of the one-line JSON objects that a session manager writes.

/// The text of a string field; escapes are not resolved, which ids, verbs and classes do not need.
pub fn text<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let rest = value(line, field)?.strip_prefix('"')?;
    rest.split('"').next()
}

/// A whole number, also one in quotes.
pub fn number(line: &str, field: &str) -> Option<i64> {
    let rest = value(line, field)?.trim_start_matches('"');
    let end = rest.find(|char: char| !char.is_ascii_digit() && char != '-').unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn value<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let name = format!("\"{field}\"");
    let rest = line[line.find(&name)? + name.len()..].trim_start();
    Some(rest.strip_prefix(':')?.trim_start())
}
