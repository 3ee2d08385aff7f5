//! Recordings: the inputs of a front, which can be replayed, and the effects that it requested, one line
//! each.

use crate::effects::{Effects, Reply, RequestId, SetUp, SetUpEnd, SlotShare, TitleRequest, WatchId};
use crate::front::Front;
use ottersail::ids::{Rung, ServerId, ViewingId};
use ottersail::time::Ms;
use ottersail_wire::catalogue::{CatalogueServer, Title};
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use serde::{Deserialize, Serialize};

/// One call of a method of [`Front`]. The serialised names are those of existing recordings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FrontInput {
    #[serde(rename = "asked")]
    TitleRequested {
        #[serde(rename = "ask")]
        request: RequestId,
        #[serde(rename = "asked")]
        title_request: TitleRequest,
    },
    #[serde(rename = "reloaded")]
    PlaylistRequested {
        #[serde(rename = "ask")]
        request: RequestId,
        watch: WatchId,
        /// Media sequence number that the player wants next, if it says so.
        #[serde(rename = "unread")]
        next_sequence: Option<u64>,
    },
    #[serde(rename = "left")]
    RequestClosed {
        #[serde(rename = "ask")]
        request: RequestId,
    },
    SetUpEnded {
        #[serde(rename = "vw")]
        viewing: String,
        #[serde(rename = "no")]
        tune_in: usize,
        end: SetUpEnd,
        report: Report,
    },
    RungChanged {
        #[serde(rename = "vw")]
        viewing: String,
        rung: usize,
        playlist: Option<String>,
    },
    #[serde(rename = "let_go")]
    EndConfirmed {
        #[serde(rename = "vw")]
        viewing: String,
    },
    #[serde(rename = "noted")]
    NoteReceived {
        server: String,
        note: Note,
    },
    ServerLost {
        server: String,
    },
    #[serde(rename = "listed")]
    ServersListed {
        index: u64,
        list: Vec<CatalogueServer>,
    },
    ListFailed,
    /// The answer to a probe, or `None` if there was none.
    #[serde(rename = "probed")]
    ProbeEnded {
        server: String,
        report: Option<Report>,
    },
    #[serde(rename = "titled")]
    TitlesListed {
        titles: Vec<Title>,
    },
    #[serde(rename = "part")]
    SlotShareChanged {
        #[serde(rename = "part")]
        share: SlotShare,
    },
    #[serde(rename = "time_has_come")]
    TimersDue,
    Drain,
    Resume,
}

impl FrontInput {
    /// Calls the method with the recorded arguments.
    pub fn apply(&self, front: &mut Front, now: Ms, effects: &mut dyn Effects) {
        let viewing_id = |viewing: &String| ViewingId::from(viewing.as_str());
        match self {
            FrontInput::TitleRequested { request, title_request } => {
                front.request_title(now, *request, title_request.clone(), effects);
            }
            FrontInput::PlaylistRequested { request, watch, next_sequence } => {
                front.request_playlist(now, *request, watch, *next_sequence, effects);
            }
            FrontInput::RequestClosed { request } => front.request_closed(now, *request, effects),
            FrontInput::SetUpEnded { viewing, tune_in, end, report } => {
                front.set_up_ended(now, &viewing_id(viewing), *tune_in, end.clone(), *report, effects);
            }
            FrontInput::RungChanged { viewing, rung, playlist } => {
                front.rung_changed(now, &viewing_id(viewing), *rung, playlist.as_deref(), effects);
            }
            FrontInput::EndConfirmed { viewing } => front.end_confirmed(now, &viewing_id(viewing), effects),
            FrontInput::NoteReceived { server, note } => {
                front.note_received(now, &server.as_str().into(), note, effects);
            }
            FrontInput::ServerLost { server } => front.server_lost(now, &server.as_str().into(), effects),
            FrontInput::ServersListed { index, list } => front.servers_listed(now, *index, list, effects),
            FrontInput::ListFailed => front.list_failed(now, effects),
            FrontInput::ProbeEnded { server, report } => {
                front.probe_ended(now, &server.as_str().into(), *report, effects);
            }
            FrontInput::TitlesListed { titles } => front.titles_listed(now, titles),
            FrontInput::SlotShareChanged { share } => front.set_slot_share(now, share.clone()),
            FrontInput::TimersDue => front.run_due_timers(now, effects),
            FrontInput::Drain => front.drain(now),
            FrontInput::Resume => front.resume(now),
        }
    }
}

/// Records each requested effect as a line of text, and passes it on where another receiver is given.
pub struct EffectRecorder<'a> {
    pub lines: &'a mut Vec<String>,
    pub effects: Option<&'a mut dyn Effects>,
}

impl EffectRecorder<'_> {
    fn line(&mut self, text: String) {
        self.lines.push(text);
    }
}

impl Effects for EffectRecorder<'_> {
    fn set_up(&mut self, set_up: &SetUp) {
        let SetUp { viewing, tune_in, server, address, title, package, rung, request, send_by } = set_up;
        self.line(format!(
            "set_up {viewing} {tune_in} {server} {address} {title} {package} {} {request:?} {}",
            rung.0, send_by.0
        ));
        if let Some(effects) = &mut self.effects {
            effects.set_up(set_up);
        }
    }

    fn cancel_set_up(&mut self, viewing: &ViewingId, tune_in: usize, server: &ServerId, address: &str) {
        self.line(format!("call_off {viewing} {tune_in} {server} {address}"));
        if let Some(effects) = &mut self.effects {
            effects.cancel_set_up(viewing, tune_in, server, address);
        }
    }

    fn change_rung(&mut self, viewing: &ViewingId, server: &ServerId, address: &str, rung: Rung) {
        self.line(format!("change_rung {viewing} {server} {address} {}", rung.0));
        if let Some(effects) = &mut self.effects {
            effects.change_rung(viewing, server, address, rung);
        }
    }

    fn end_viewing(&mut self, viewing: &ViewingId, server: &ServerId, address: &str) {
        self.line(format!("let_go {viewing} {server} {address}"));
        if let Some(effects) = &mut self.effects {
            effects.end_viewing(viewing, server, address);
        }
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        self.line(format!("reply {} {reply:?}", request.0));
        if let Some(effects) = &mut self.effects {
            effects.reply(request, reply);
        }
    }

    fn open_notes(&mut self, server: &ServerId, address: &str) {
        self.line(format!("listen {server} {address}"));
        if let Some(effects) = &mut self.effects {
            effects.open_notes(server, address);
        }
    }

    fn close_notes(&mut self, server: &ServerId) {
        self.line(format!("hang_up {server}"));
        if let Some(effects) = &mut self.effects {
            effects.close_notes(server);
        }
    }

    fn probe(&mut self, server: &ServerId, address: &str) {
        self.line(format!("probe {server} {address}"));
        if let Some(effects) = &mut self.effects {
            effects.probe(server, address);
        }
    }
}
