//! Each set-up that a server received, from its lines in the record.

use crate::record::{Event, Line};
use std::collections::BTreeMap;

pub(super) struct SetUp<'a> {
    pub at: f64,
    pub until: f64,
    pub manager: usize,
    pub ask: u64,
    pub vw: &'a str,
    pub no: usize,
    pub title: &'a str,
    pub package: &'a str,
    pub rung: usize,
    /// What the server answered, and when it or its manager was done with it.
    pub status: Option<u16>,
    pub out_until: f64,
}

/// Each set-up that a server received, with when it was out and when its viewing was over there.
pub(super) fn set_ups(lines: &[Line]) -> Vec<SetUp<'_>> {
    let mut all: Vec<SetUp> = Vec::new();
    let mut open: BTreeMap<(&str, &str), Vec<usize>> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::SetUp { server, manager, ask, vw, no, title, package, rung } => {
                open.entry((server, vw)).or_default().push(all.len());
                all.push(SetUp {
                    at: line.at,
                    until: f64::INFINITY,
                    manager: *manager,
                    ask: *ask,
                    vw,
                    no: *no,
                    title,
                    package,
                    rung: *rung,
                    status: None,
                    out_until: f64::INFINITY,
                });
            }
            Event::SetUpAnswered { server, vw, no, status } => {
                for ix in open.get(&(server.as_str(), vw.as_str())).into_iter().flatten() {
                    let it = &mut all[*ix];
                    if it.no == *no {
                        it.status = Some(*status);
                        it.out_until = it.out_until.min(line.at);
                        if *status >= 400 {
                            it.until = it.until.min(line.at);
                        }
                    }
                }
            }
            Event::SetUpClosed { server, vw, no } => {
                for ix in open.get(&(server.as_str(), vw.as_str())).into_iter().flatten() {
                    let it = &mut all[*ix];
                    if it.no == *no {
                        it.out_until = it.out_until.min(line.at);
                        it.until = it.until.min(line.at);
                    }
                }
            }
            Event::Ended { server, vw } => {
                for ix in open.remove(&(server.as_str(), vw.as_str())).unwrap_or_default() {
                    all[ix].until = all[ix].until.min(line.at);
                    all[ix].out_until = all[ix].out_until.min(line.at);
                }
            }
            Event::ServerEnded { server } | Event::Fell { server } => {
                let there: Vec<_> = open.keys().filter(|it| it.0 == server).copied().collect();
                for key in there {
                    for ix in open.remove(&key).unwrap_or_default() {
                        all[ix].until = all[ix].until.min(line.at);
                        all[ix].out_until = all[ix].out_until.min(line.at);
                    }
                }
            }
            _ => {}
        }
    }
    all
}
