//! The events of a trace, session by session.

use super::trace::{ClientEvent, End, ServerEvent, Trace};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A set-up as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at: Instant,
    pub manager: usize,
    pub class: usize,
    pub patience: Duration,
}

/// One stretch of a session at a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub server: usize,
    pub at: Instant,
    /// It did not run: refused.
    pub refused_at: Option<Instant>,
    pub given_up_at: Option<Instant>,
    pub stands_at: Option<Instant>,
    pub over: Option<(Instant, End, bool)>,
}

/// All that was seen of a session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    pub id: String,
    pub request: Option<Request>,
    pub answers: Vec<(Instant, u16, String)>,
    pub gave_up_at: Option<Instant>,
    /// When its connection ended, and whether by a reset.
    pub disconnected: Option<(Instant, bool)>,
    pub releases: Vec<Instant>,
    pub unexpected: Vec<(Instant, String)>,
    pub attempts: Vec<Attempt>,
}

impl Session {
    /// When it was answered that it stands.
    pub fn accepted_at(&self) -> Option<Instant> {
        self.answers.iter().find(|answer| answer.1 == 200).map(|answer| answer.0)
    }
}

pub fn collect(trace: &Trace) -> BTreeMap<String, Session> {
    let mut sessions: BTreeMap<String, Session> = BTreeMap::new();
    for event in &trace.clients {
        add_client_event(&mut sessions, event);
    }
    for event in &trace.servers {
        add_server_event(&mut sessions, event);
    }
    sessions
}

fn entry<'a>(sessions: &'a mut BTreeMap<String, Session>, id: &str) -> &'a mut Session {
    let session = sessions.entry(id.to_string()).or_default();
    session.id = id.to_string();
    session
}

fn add_client_event(sessions: &mut BTreeMap<String, Session>, event: &ClientEvent) {
    match event {
        ClientEvent::SetUp { at, manager, session, class, patience } => {
            let request = Request { at: *at, manager: *manager, class: *class, patience: *patience };
            entry(sessions, session).request = Some(request);
        }
        ClientEvent::Answer { at, session, status, body } => {
            entry(sessions, session).answers.push((*at, *status, body.clone()));
        }
        ClientEvent::GaveUp { at, session } => {
            entry(sessions, session).gave_up_at.get_or_insert(*at);
        }
        ClientEvent::Disconnected { at, session, reset } => {
            entry(sessions, session).disconnected.get_or_insert((*at, *reset));
        }
        ClientEvent::Released { at, session } => entry(sessions, session).releases.push(*at),
        ClientEvent::Unexpected { at, session, what } => {
            entry(sessions, session).unexpected.push((*at, what.clone()));
        }
    }
}

fn add_server_event(sessions: &mut BTreeMap<String, Session>, event: &ServerEvent) {
    let (server, session) = match event {
        ServerEvent::Accepted { .. } => return,
        ServerEvent::SetUp { server, session, .. }
        | ServerEvent::Refused { server, session, .. }
        | ServerEvent::Stands { server, session, .. }
        | ServerEvent::Over { server, session, .. }
        | ServerEvent::GivenUp { server, session, .. } => (*server, session),
    };
    let session = entry(sessions, session);
    if let ServerEvent::SetUp { at, .. } = event {
        let attempt =
            Attempt { server, at: *at, refused_at: None, given_up_at: None, stands_at: None, over: None };
        session.attempts.push(attempt);
        return;
    }
    let Some(attempt) = session.attempts.iter_mut().rev().find(|attempt| attempt.server == server) else {
        return;
    };
    match event {
        ServerEvent::Refused { at, .. } => attempt.refused_at = Some(*at),
        ServerEvent::GivenUp { at, .. } => attempt.given_up_at = Some(*at),
        ServerEvent::Stands { at, .. } => attempt.stands_at = Some(*at),
        ServerEvent::Over { at, end, could_tell, .. } => attempt.over = Some((*at, *end, *could_tell)),
        ServerEvent::SetUp { .. } | ServerEvent::Accepted { .. } => {}
    }
}
