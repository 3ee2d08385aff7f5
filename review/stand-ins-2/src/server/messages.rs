//! What a video server does with the messages of a session manager.

use super::{Mood, Server, Start, State};
use crate::json;
use crate::sys;
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
                let rung = json::text(line, "rung").and_then(|rung| rung.parse().ok());
                let left = json::text(line, "left").unwrap_or_default();
                self.record.line(&format!(
                    "server {}: START {tag} title {title} rung {rung:?} left {left} on {number}",
                    state.id
                ));
                state.starts.push(Start { at: now, session: tag.clone(), title, rung });
                state.pending.insert(tag.clone(), number);
                let (mood, process) = (state.mood, state.process);
                std::thread::spawn(move || self.answer(mood, process, number, &tag));
            }
            "FINISH" => {
                let pending = state.pending.remove(&tag).is_some();
                let stood = state.standing.remove(&tag).is_some();
                if stood {
                    state.spans.entry(tag.clone()).and_modify(|span| span.1 = Some(now));
                }
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

    fn answer(&self, mood: Mood, process: u64, number: u64, tag: &str) {
        let wait = match mood {
            Mood::Well(wait) | Mood::Full(wait) | Mood::Failing(wait) => wait,
            Mood::Silent => return,
            Mood::Lost | Mood::Noise | Mood::Twice => 40,
        };
        crate::sleep_ms(wait);
        while self.state.lock().unwrap().hung {
            crate::sleep_ms(3);
        }
        let mut state = self.state.lock().unwrap();
        if state.process != process || state.pending.remove(tag).is_none() {
            return;
        }
        let refusal = |cause: u32| format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":{cause}}}\n");
        let line = match mood {
            Mood::Full(_) => refusal(34),
            Mood::Failing(_) => refusal(47),
            _ => {
                state.standing.insert(tag.to_string(), number);
                let now = self.record.now();
                state.spans.insert(tag.to_string(), (now, None));
                let blob = format!("{tag}\\r\\nc=IN IP4 {}\\r\\n", self.address.ip());
                format!("{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{\"load\":\"util:0.1;x0:0.1;x1:0.1\"}},\"blob\":\"{blob}\"}}\n")
            }
        };
        let line = match mood {
            Mood::Noise => "{\"verb\":\"STAR".to_string() + &"\u{1}x".repeat(20) + "\n",
            Mood::Twice => line.clone() + &line,
            _ => line,
        };
        if mood == Mood::Lost {
            if let Some(stream) = state.connections.remove(&number) {
                sys::reset_on_close(&stream);
                _ = stream.shutdown(std::net::Shutdown::Read);
            }
        }
        let sent = write(&mut state, number, &line);
        self.record.line(&format!("server {}: answers {tag} ({mood:?}), sent: {sent}", state.id));
    }
}

pub(super) fn write(state: &mut State, number: u64, line: &str) -> bool {
    if state.cut_off {
        state.held.push((number, line.to_string()));
        return true;
    }
    state.connections.get(&number).is_some_and(|stream| {
        let mut stream: &TcpStream = stream;
        stream.write_all(line.as_bytes()).is_ok()
    })
}
