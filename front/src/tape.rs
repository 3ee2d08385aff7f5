//! What a front was told and what it wanted, a line each, so that it can be told the same again.

use crate::front::Front;
use crate::orders::{AskId, Asked, Orders, Part, Reply, SetUp, SetUpEnd, WatchId};
use ottersail::ids::{Rung, ServerId, ViewingId};
use ottersail::time::Ms;
use ottersail_wire::catalogue::{Listed, Title};
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use serde::{Deserialize, Serialize};

/// One call of a method of [`Front`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    Asked {
        ask: AskId,
        asked: Asked,
    },
    Reloaded {
        ask: AskId,
        watch: WatchId,
        unread: Option<u64>,
    },
    Left {
        ask: AskId,
    },
    SetUpEnded {
        vw: String,
        no: usize,
        end: SetUpEnd,
        report: Report,
    },
    RungChanged {
        vw: String,
        rung: usize,
        playlist: Option<String>,
    },
    LetGo {
        vw: String,
    },
    Noted {
        server: String,
        note: Note,
    },
    ServerLost {
        server: String,
    },
    Listed {
        index: u64,
        list: Vec<Listed>,
    },
    ListFailed,
    /// The answer to a probe; `None` if there was none.
    Probed {
        server: String,
        report: Option<Report>,
    },
    Titled {
        titles: Vec<Title>,
    },
    Part {
        part: Part,
    },
    TimeHasCome,
    Drain,
    Resume,
}

impl Told {
    /// Makes the call.
    pub fn tell(&self, front: &mut Front, now: Ms, out: &mut dyn Orders) {
        let id = |vw: &String| ViewingId::from(vw.as_str());
        match self {
            Told::Asked { ask, asked } => front.asked(now, *ask, asked.clone(), out),
            Told::Reloaded { ask, watch, unread } => front.reloaded(now, *ask, watch, *unread, out),
            Told::Left { ask } => front.left(now, *ask, out),
            Told::SetUpEnded { vw, no, end, report } => {
                front.set_up_ended(now, &id(vw), *no, end.clone(), *report, out);
            }
            Told::RungChanged { vw, rung, playlist } => {
                front.rung_changed(now, &id(vw), *rung, playlist.as_deref(), out);
            }
            Told::LetGo { vw } => front.let_go(now, &id(vw), out),
            Told::Noted { server, note } => front.noted(now, &server.as_str().into(), note, out),
            Told::ServerLost { server } => front.server_lost(now, &server.as_str().into(), out),
            Told::Listed { index, list } => front.listed(now, *index, list, out),
            Told::ListFailed => front.list_failed(now, out),
            Told::Probed { server, report } => front.probed(now, &server.as_str().into(), *report, out),
            Told::Titled { titles } => front.titled(now, titles),
            Told::Part { part } => front.part(now, part.clone()),
            Told::TimeHasCome => front.time_has_come(now, out),
            Told::Drain => front.drain(now),
            Told::Resume => front.resume(now),
        }
    }
}

/// Writes down each wish, and passes it on.
pub struct Scribe<'a> {
    pub lines: &'a mut Vec<String>,
    pub out: Option<&'a mut dyn Orders>,
}

impl Scribe<'_> {
    fn line(&mut self, text: String) {
        self.lines.push(text);
    }
}

impl Orders for Scribe<'_> {
    fn set_up(&mut self, it: &SetUp) {
        self.line(format!(
            "set_up {} {} {} {} {} {} {} {:?} {}",
            it.vw, it.no, it.server, it.address, it.title, it.package, it.rung.0, it.ask, it.send_by.0
        ));
        if let Some(out) = &mut self.out {
            out.set_up(it);
        }
    }

    fn call_off(&mut self, vw: &ViewingId, no: usize, server: &ServerId, address: &str) {
        self.line(format!("call_off {vw} {no} {server} {address}"));
        if let Some(out) = &mut self.out {
            out.call_off(vw, no, server, address);
        }
    }

    fn change_rung(&mut self, vw: &ViewingId, server: &ServerId, address: &str, rung: Rung) {
        self.line(format!("change_rung {vw} {server} {address} {}", rung.0));
        if let Some(out) = &mut self.out {
            out.change_rung(vw, server, address, rung);
        }
    }

    fn let_go(&mut self, vw: &ViewingId, server: &ServerId, address: &str) {
        self.line(format!("let_go {vw} {server} {address}"));
        if let Some(out) = &mut self.out {
            out.let_go(vw, server, address);
        }
    }

    fn reply(&mut self, ask: AskId, reply: Reply) {
        self.line(format!("reply {} {reply:?}", ask.0));
        if let Some(out) = &mut self.out {
            out.reply(ask, reply);
        }
    }

    fn listen(&mut self, server: &ServerId, address: &str) {
        self.line(format!("listen {server} {address}"));
        if let Some(out) = &mut self.out {
            out.listen(server, address);
        }
    }

    fn hang_up(&mut self, server: &ServerId) {
        self.line(format!("hang_up {server}"));
        if let Some(out) = &mut self.out {
            out.hang_up(server);
        }
    }

    fn probe(&mut self, server: &ServerId, address: &str) {
        self.line(format!("probe {server} {address}"));
        if let Some(out) = &mut self.out {
            out.probe(server, address);
        }
    }
}
