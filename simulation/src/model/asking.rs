//! Viewers that ask: requests, answers, and who gives up.

use super::event::{Event, Step};
use super::kept::Viewer;
use super::Model;
use crate::links::Manager;
use crate::player::read;
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, RequestId, TitleRequest, WatchId};

/// Stalled for so long a viewer leaves, in milliseconds.
const STARVED: f64 = 20_000.0;

impl Model {
    /// Sends a request, for which an answer is owed.
    pub(super) fn ask(
        &mut self,
        viewer: usize,
        first: bool,
        told: impl FnOnce(RequestId, &Viewer) -> FrontInput,
    ) {
        self.asks += 1;
        let ask = self.asks;
        let package = self.viewers[viewer].wanted.package;
        let patience = self.plan.day.packages[package].patience;
        let impatient = first && self.rng.f64() < self.plan.day.impatient;
        let leaves = if impatient { self.rng.f64() * 60.0 } else { f64::INFINITY };
        let now = self.now;
        let it = &mut self.viewers[viewer];
        it.ask = Some((ask, now, first));
        let (manager, told) = (it.manager, told(RequestId(ask), it));
        let title = self.viewers[viewer].wanted.title;
        if first {
            self.titles.entry((package, title)).or_default().0 += 1;
            self.figures.asked += 1;
            self.parts.iter_mut().for_each(|it| it.arrived(manager.0));
        } else {
            self.figures.reloads += 1;
        }
        self.after(patience.min(leaves), Event::GiveUp { viewer, ask, leaves: leaves < patience });
        if self.posts[manager.0].front.is_none() {
            // Nobody listens there.
            return self.gives_up(viewer, ask, false);
        }
        self.posts[manager.0].asks.insert(ask, viewer);
        self.notify(manager, 0.0, told);
    }

    pub(super) fn gives_up(&mut self, viewer: usize, ask: u64, leaves: bool) {
        let Some((_, _, first)) = self.viewers[viewer].ask.take_if(|it| it.0 == ask) else {
            return;
        };
        let manager = self.viewers[viewer].manager;
        let dead = self.posts[manager.0].front.is_none();
        if self.posts[manager.0].asks.remove(&ask).is_some() {
            self.notify(manager, 0.0, FrontInput::RequestClosed { request: RequestId(ask) });
        }
        if first {
            *(if leaves {
                &mut self.figures.left
            } else if dead {
                &mut self.figures.broken
            } else {
                &mut self.figures.gave_up
            }) += 1;
        }
        if leaves {
            self.leaves(viewer);
        } else {
            self.viewers[viewer].watch = None;
            self.again(viewer, 600.0);
        }
    }

    /// A number below that one; as the day says it, viewers lean to the first managers.
    fn one_of(&mut self, count: usize) -> usize {
        match self.plan.day.lean {
            lean if lean > 0.0 => (self.rng.f64().powf(1.0 + lean) * count as f64) as usize,
            _ => self.rng.usize(..count),
        }
    }

    pub(super) fn step(&mut self, viewer: usize, step: Step) {
        let now = self.now;
        match step {
            Step::Ask => {
                let zone = self.viewers[viewer].wanted.zone;
                let (zones, count) = (self.plan.day.zones.len(), self.posts.len());
                // One of the managers of its zone, or any if the zone has none.
                let near = (count + zones - 1 - zone) / zones;
                let manager = if near > 0 { zone + zones * self.one_of(near) } else { self.one_of(count) };
                let day = &self.plan.day;
                let it = &mut self.viewers[viewer];
                it.manager = Manager(manager);
                it.tries += 1;
                (it.asked_at, it.failures) = (now, 0);
                let package = &day.packages[it.wanted.package];
                let asked = TitleRequest {
                    title: format!("{}-{}", package.name, it.wanted.title),
                    package: package.name.clone(),
                    tenant: it.wanted.tenant.clone(),
                    max_rung: it.wanted.best,
                    patience_ms: package.patience,
                };
                self.ask(viewer, true, |ask, _| FrontInput::TitleRequested {
                    request: ask,
                    title_request: asked,
                });
            }
            Step::Reload => {
                let it = &self.viewers[viewer];
                let Some(watch) = it.watch.clone() else {
                    return self.again(viewer, 0.0);
                };
                if now - it.began > it.wanted.leaves || it.buffer.stalled > STARVED {
                    return self.leaves(viewer);
                }
                self.ask(viewer, false, |ask, it| FrontInput::PlaylistRequested {
                    request: ask,
                    watch,
                    next_sequence: Some(it.buffer.next),
                });
            }
            Step::Fetch => self.fetch(viewer),
            Step::Fetched => self.fetched(viewer),
        }
    }

    pub(super) fn replied(&mut self, viewer: usize, ask: u64, reply: Reply) {
        let Some((_, _, first)) = self.viewers[viewer].ask.take_if(|it| it.0 == ask) else {
            return;
        };
        let may_repeat = self.plan.day.packages[self.viewers[viewer].wanted.package].may_repeat;
        match (reply, first) {
            (Reply::Playlist(text), true) => {
                self.figures.played += 1;
                self.waited_ms += self.now - self.viewers[viewer].asked_at;
                self.figures.most_at_once = self.figures.most_at_once.max(self.watching);
                let id = text.lines().find_map(|line| {
                    let path = line.strip_prefix("http://")?.split_once("/viewing/")?.1;
                    path.split_once(".m3u8").map(|it| WatchId(it.0.to_string()))
                });
                let it = &mut self.viewers[viewer];
                (it.watch, it.began) = (id, self.now);
                let done = std::mem::take(&mut it.buffer);
                self.count(viewer, &done);
                self.step(viewer, Step::Reload);
            }
            (Reply::Playlist(text), false) => {
                let Some(listing) = read(&text) else {
                    return self.leaves(viewer);
                };
                let it = &mut self.viewers[viewer];
                let next = it.buffer.next;
                it.fetch = listing.segments.into_iter().filter(|it| it.at >= next).collect();
                (it.ended, it.fetched) = (listing.ended, false);
                self.fetch(viewer);
            }
            (Reply::Blocked { stay_away }, true) => {
                self.figures.blocked += 1;
                let wanted = &self.viewers[viewer].wanted;
                self.titles.entry((wanted.package, wanted.title)).or_default().1 += 1;
                // The header knows whole seconds only.
                let pause = stay_away.map_or(1e3, |it| (it / 1e3).ceil() * 1e3);
                self.again(viewer, pause.max(500.0));
            }
            (Reply::Aborted { .. }, true) => {
                self.figures.aborted += 1;
                if may_repeat {
                    self.again(viewer, 800.0);
                } else {
                    self.leaves(viewer);
                }
            }
            (Reply::Blocked { .. } | Reply::Aborted { .. }, false) if self.viewers[viewer].failures < 3 => {
                self.viewers[viewer].failures += 1;
                self.next(viewer, 1_000.0, Step::Reload);
            }
            (_, first) => {
                // No such watch any more, or a request that was unfit.
                self.figures.aborted += u64::from(first);
                self.viewers[viewer].watch = None;
                self.again(viewer, 0.0);
            }
        }
    }
}
