//! Lines that a server says of its sessions.

use serde_json::json;

pub fn started(session: &str) -> String {
    line(&json!({ "verb": "STARTED", "tag": session, "opts": {}, "blob": format!("for {session}\r\n") }))
}

pub fn finish(session: &str, cause: u16) -> String {
    line(&json!({ "verb": "FINISH", "tag": session, "opts": {}, "rc": cause }))
}

pub fn note(session: &str, topic: &str, value: f64) -> String {
    line(&json!({ "verb": "NOTICE", "tag": session, "opts": { "note": topic, "value": value } }))
}

pub fn echoed(tag: &str) -> String {
    line(&json!({ "verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1 }))
}

fn line(value: &serde_json::Value) -> String {
    format!("{value}\n")
}
