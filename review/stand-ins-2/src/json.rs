//! Reads single fields of the one-line JSON objects that a session manager writes. Inside a string every quote is
//! escaped, so that `"name":` occurs only as a key.

/// The text of a string field, unescaped only as far as the cases need it.
pub fn text(line: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":\"");
    let start = line.find(&key)? + key.len();
    let mut escaped = false;
    let end = line[start..].find(|char| {
        let ends = char == '"' && !escaped;
        escaped = char == '\\' && !escaped;
        ends
    })?;
    Some(line[start..start + end].to_string())
}
