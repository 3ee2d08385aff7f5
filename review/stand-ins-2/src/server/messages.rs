//! What a video server does with the messages of a session manager.

use super::{Server, Start, State};
use crate::json;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;

impl Server {
    pub(super) fn message(self: Arc<Server>, state: &mut State, number: u64, line: &str) {
        let (verb, tag) = (json::text(line, "verb"), json::text(line, "tag"));
        let (Some(verb), Some(tag)) = (verb, tag) else { return };
        let now = self.record.now();
        match verb.as_str() {
            "START" => {
                let title = json::text(line, "key").unwrap_or_default();
                let rung = json::text(line, "rung").unwrap_or_default();
                let left = json::text(line, "left").unwrap_or_default();
                self.record.line(&format!(
                    "server {}: START {tag} title {title} rung {rung} left {left} on {number}",
                    state.id
                ));
                state.starts.push(Start { at: now, session: tag.clone() });
                state.pending.insert(tag.clone(), number);
                let (work_ms, process) = (state.work_ms, state.process);
                std::thread::spawn(move || self.answer(work_ms, process, number, &tag));
            }
            "FINISH" => {
                let pending = state.pending.remove(&tag).is_some();
                let stood = state.standing.remove(&tag).is_some();
                self.record.line(&format!("server {}: got FINISH {tag}, pending {pending}, stood {stood}", state.id));
                write(state, number, &format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n"));
            }
            "ECHO" => {
                let echo = "\"opts\":{\"load\":\"util:0.1;x0:0.1;x1:0.1\"},\"rc\":1";
                write(state, number, &format!("{{\"verb\":\"ECHOED\",\"tag\":\"{tag}\",{echo}}}\n"));
            }
            _ => {}
        }
    }

    fn answer(&self, work_ms: u64, process: u64, number: u64, tag: &str) {
        crate::sleep_ms(work_ms);
        while self.stands_still() {
            crate::sleep_ms(3);
        }
        let mut state = self.state.lock().unwrap();
        if state.process != process || state.pending.remove(tag).is_none() {
            return;
        }
        state.standing.insert(tag.to_string(), number);
        let blob = format!("{tag}\\r\\nc=IN IP4 {}\\r\\n", self.address.ip());
        let load = "{\"load\":\"util:0.1;x0:0.1;x1:0.1\"}";
        let line = format!("{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{load},\"blob\":\"{blob}\"}}\n");
        let sent = write(&state, number, &line);
        self.record.line(&format!("server {}: answers {tag}, sent: {sent}", state.id));
    }
}

pub(super) fn write(state: &State, number: u64, line: &str) -> bool {
    state.connections.get(&number).is_some_and(|stream| {
        let mut stream: &TcpStream = stream;
        stream.write_all(line.as_bytes()).is_ok()
    })
}
