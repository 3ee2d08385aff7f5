//! What a run shows over its time, by rack and by title.

use super::event::Event;
use super::Model;
use crate::detail::{band, Detail, Row, Span, SPANS};
use crate::links::ServerNo;

impl Model {
    pub(super) fn detail(&mut self) -> Detail {
        let racks = self.racks.iter().enumerate().map(|(ix, (all, lost, asked))| Row {
            name: ix.to_string(),
            all: *all,
            lost: *lost,
            fill: asked / (*all).max(1) as f64,
        });
        let day = &self.plan.day;
        let titles = self.titles.iter().map(|((package, title), (all, lost))| Row {
            name: format!("{}-{title}", day.packages[*package].name),
            all: *all,
            lost: *lost,
            fill: 0.0,
        });
        let mut titles: Vec<Row> = titles.collect();
        titles.sort_by(|a, b| b.all.cmp(&a.all).then(a.name.cmp(&b.name)));
        titles.truncate(20);
        Detail { spans: std::mem::take(&mut self.spans), racks: racks.collect(), titles }
    }

    pub(super) fn span_ends(&mut self) {
        let (mut links, mut uplinks, mut cold) = (Vec::new(), Vec::new(), 0);
        let mut rungs = vec![0; self.plan.day.rates_kb.len()];
        for ix in 0..self.links.servers.len() {
            if !self.links.servers[ix].alive {
                continue;
            }
            let report = self.links.report(ServerNo(ix));
            links.extend(report.link);
            uplinks.extend(report.uplink);
            cold += u64::from(self.links.warmth(ServerNo(ix), self.now) < 1.0);
            self.links.servers[ix].held.values().for_each(|it| rungs[it.rung] += 1);
        }
        let (now, then) = (&self.figures, &self.span_began);
        self.spans.push(Span {
            until: self.second(),
            asked: now.asked - then.asked,
            played: now.played - then.played,
            blocked: now.blocked - then.blocked,
            aborted: now.aborted - then.aborted,
            links: band(links),
            uplinks: band(uplinks),
            rungs,
            cold,
            cold_set_ups: now.cold_set_ups - then.cold_set_ups,
            waited_ms: std::mem::take(&mut self.waited_ms),
        });
        self.span_began = self.figures.clone();
        if self.spans.len() < SPANS {
            self.after(self.plan.day.seconds * 1e3 / SPANS as f64, Event::Span);
        }
    }
}
