//! What stood and is over is told to its client in time, and nothing is left standing.

use super::sessions::{Attempt, Session};
use super::trace::{End, ManagerEvent, Trace};
use super::{since, Broken, Rule, SLACK};
use std::time::{Duration, Instant};

/// After a release that was said, by the server or by the session manager.
const TOLD: Duration = Duration::from_secs(1);
/// After an end of which no release could be said.
const FOUND_OUT: Duration = Duration::from_secs(8);
/// A set-up that was given up and stands all the same is released within this time.
const GIVEN_UP: Duration = Duration::from_secs(8);

pub fn judge(trace: &Trace, session: &Session, broken: &mut Vec<Broken>) {
    let mut push = |rule, at: Instant, what: String| {
        broken.push(Broken { rule, session: session.id.clone(), at: since(trace, at), what });
    };
    if session.releases.len() > 1 && session.request.is_some() {
        push(Rule::Lost, session.releases[1], "released twice to its client".to_string());
    }
    let Some(attempt) = session.attempts.iter().rev().find(|attempt| attempt.stands_at.is_some()) else {
        return;
    };
    if let Some((over, end, could_tell)) = attempt.over {
        if let Some(what) = untold(trace, session, over, end, could_tell) {
            push(Rule::Lost, over, what);
        }
    } else if let Some((from, why)) = nobody_holds(trace, session, attempt) {
        let due = from + GIVEN_UP + SLACK;
        if trace.ended > due && !out_of_reach(trace, session, attempt, from) {
            push(Rule::LeftStanding, from, format!("server {}: plays on though {why}", attempt.server));
        }
    }
}

/// What is wrong, if its client was not told in time of an end.
fn untold(trace: &Trace, session: &Session, over: Instant, end: End, could_tell: bool) -> Option<String> {
    let accepted = session.accepted_at()?;
    let within = if could_tell || end == End::Released { TOLD } else { FOUND_OUT };
    let due = over.max(accepted) + within + SLACK;
    let told = session.releases.first();
    let excused = session.gave_up_at.is_some_and(|at| at <= due)
        || trace.ended < due
        || manager_ended(trace, session, due);
    if excused || told.is_some_and(|at| *at <= due) {
        return None;
    }
    Some(match told {
        Some(at) => {
            format!("over ({end:?}, could tell: {could_tell}), its client told {:?} later", *at - over)
        }
        None => format!("over ({end:?}, could tell: {could_tell}), its client never told"),
    })
}

/// Its manager was killed without a word, or its time after SIGTERM was up.
fn manager_ended(trace: &Trace, session: &Session, due: Instant) -> bool {
    let Some(request) = &session.request else {
        return true;
    };
    trace.managers.iter().any(|event| match event {
        ManagerEvent::Killed { at, manager } => {
            *manager == request.manager && *at >= request.at && *at <= due
        }
        ManagerEvent::Terminated { .. } => false,
    })
}

/// Its server was cut off until its manager had ended: nobody was left to tell it.
fn out_of_reach(trace: &Trace, session: &Session, attempt: &Attempt, from: Instant) -> bool {
    let Some(request) = &session.request else {
        return false;
    };
    let ends = trace.managers.iter().filter_map(|event| match event {
        ManagerEvent::Killed { at, manager } if *manager == request.manager && *at >= from => Some(*at),
        _ => None,
    });
    let Some(ended) = ends.min() else {
        return false;
    };
    let cut = trace.terms.cut_off.iter().filter(|cut| cut.0 == attempt.server);
    cut.into_iter().any(|cut| cut.1 <= from && cut.2 >= ended)
}

/// From when on nobody holds a session that still plays, and why.
fn nobody_holds(trace: &Trace, session: &Session, attempt: &Attempt) -> Option<(Instant, &'static str)> {
    let stands = attempt.stands_at?;
    if let Some(at) = session.releases.first() {
        return Some((*at, "its client was told that it is over"));
    }
    if let Some(at) = session.gave_up_at {
        return Some((at.max(stands), "its client gave it up"));
    }
    if session.accepted_at().is_none() {
        let request = session.request?;
        if manager_ended(trace, session, trace.ended) {
            return None;
        }
        return Some(((request.at + request.patience).max(stands), "it was never answered to its client"));
    }
    None
}
