//! Which attempts may be made: one at a time, no second one where the class forbids it, none to a server that
//! is closed to them, none for a client that has gone.

use super::sessions::{Attempt, Session};
use super::trace::{Class, Trace};
use super::{since, Broken, Rule, SLACK};
use std::time::{Duration, Instant};

/// What is on its way as its client gives up may still arrive.
const ON_ITS_WAY: Duration = Duration::from_millis(200);

pub fn judge(trace: &Trace, session: &Session, broken: &mut Vec<Broken>) {
    let mut push = |rule, at: Instant, what: String| {
        broken.push(Broken { rule, session: session.id.clone(), at: since(trace, at), what });
    };
    for attempt in &session.attempts {
        if let Some(closed) = closed_from(trace, attempt.server) {
            if attempt.at > closed + SLACK {
                push(Rule::Drain, attempt.at, format!("sent to server {} past its grace", attempt.server));
            }
        }
        if session.gave_up_at.is_some_and(|gone| attempt.at > gone + ON_ITS_WAY) {
            let what = format!("sent to server {} after its client had gone", attempt.server);
            push(Rule::Abandoned, attempt.at, what);
        }
    }
    let once = session
        .request
        .is_some_and(|request| trace.terms.classes.get(request.class) == Some(&Class::AtMostOnce));
    for pair in session.attempts.windows(2) {
        let (earlier, later) = (&pair[0], &pair[1]);
        if once && earlier.refused_at.is_none() {
            let what = format!("at servers {} and {}, and may run once", earlier.server, later.server);
            push(Rule::Duplicate, later.at, what);
        } else if is_out(earlier, later.at) {
            let what = format!("at servers {} and {} at a time", earlier.server, later.server);
            push(Rule::Duplicate, later.at, what);
        }
    }
}

fn closed_from(trace: &Trace, server: usize) -> Option<Instant> {
    trace.terms.closed_from.iter().filter(|closed| closed.0 == server).map(|closed| closed.1).min()
}

/// Whether an attempt was still out at that moment: not refused, not given up, not over.
fn is_out(attempt: &Attempt, at: Instant) -> bool {
    let ended = [attempt.refused_at, attempt.given_up_at, attempt.over.map(|over| over.0)];
    let ended = ended.into_iter().flatten().min();
    ended.is_none_or(|ended| ended > at + ON_ITS_WAY)
}
