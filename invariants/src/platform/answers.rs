//! Each request that was taken has one whole final answer, in time.

use super::sessions::{Request, Session};
use super::trace::{ManagerEvent, Trace};
use super::{since, Broken, Rule, SLACK};
use std::time::{Duration, Instant};

/// Up to so long after its time an answer only earns nothing.
const LATE: Duration = Duration::from_millis(500);
/// A set-up that crosses a close within this time is sent once more by its client.
const CROSSING: Duration = Duration::from_millis(50);

pub fn judge(trace: &Trace, session: &Session, broken: &mut Vec<Broken>) {
    let mut lost = |at: Instant, what: String| {
        broken.push(Broken { rule: Rule::Lost, session: session.id.clone(), at: since(trace, at), what });
    };
    for (at, what) in &session.unexpected {
        lost(*at, what.clone());
    }
    let Some(request) = &session.request else {
        return;
    };
    if let Some((at, status, _)) = session.answers.get(1) {
        lost(*at, format!("a second answer, {status}"));
    }
    for (at, status, body) in &session.answers {
        if *status == 200 && !body.contains(&session.id) {
            lost(*at, format!("the description {body:?} was made for another session"));
        }
    }
    let due = request.at + request.patience + LATE + SLACK;
    let answered = session.answers.first().map(|answer| answer.0);
    if answered.is_some_and(|at| at <= due) || is_excused(trace, session, request, due) {
        return;
    }
    match (answered, session.disconnected) {
        (Some(at), _) => {
            lost(at, format!("answered {:?} after its time", at - request.at - request.patience))
        }
        (None, Some((at, reset))) => {
            let how = if reset { "was reset" } else { "was closed" };
            let after = at - request.at;
            lost(
                at,
                format!(
                    "its connection {how} {after:?} after it was written; {}",
                    whereabouts(trace, session)
                ),
            );
        }
        (None, None) => lost(due, format!("no answer; {}", whereabouts(trace, session))),
    }
}

/// Its client gave it up in time or sends it again, its manager was killed before it was due, or the trial ended first.
fn is_excused(trace: &Trace, session: &Session, request: &Request, due: Instant) -> bool {
    let gave_up = session.gave_up_at.is_some_and(|at| at < due);
    gave_up
        || crossed_a_close(session, request)
        || trace.ended < due
        || killed_unannounced(trace, request, due)
}

/// It was written as its connection was closed, and not read, as the reset shows: its client sends it again.
fn crossed_a_close(session: &Session, request: &Request) -> bool {
    let crossed = |(at, reset): (Instant, bool)| reset && at <= request.at + CROSSING;
    session.attempts.is_empty() && session.disconnected.is_some_and(crossed)
}

/// SIGKILL without SIGTERM before it: what the manager holds is gone, and that is no fault of it.
fn killed_unannounced(trace: &Trace, request: &Request, due: Instant) -> bool {
    let mut announced = false;
    for event in &trace.managers {
        match event {
            ManagerEvent::Terminated { at, manager } if *manager == request.manager && *at <= due => {
                announced = true;
            }
            ManagerEvent::Killed { at, manager } if *manager == request.manager => {
                if *at >= request.at && *at <= due {
                    return !announced;
                }
                announced = false;
            }
            _ => {}
        }
    }
    false
}

fn whereabouts(trace: &Trace, session: &Session) -> String {
    let attempts = session.attempts.iter().map(|attempt| {
        format!("server {} at {:.3} s", attempt.server, since(trace, attempt.at).as_secs_f64())
    });
    let attempts: Vec<String> = attempts.collect();
    if attempts.is_empty() {
        "never forwarded".to_string()
    } else {
        format!("attempts: {}", attempts.join(", "))
    }
}
