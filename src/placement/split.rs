//! Who plays at which rung of a server: the split, its bound, and a newcomer's rung.

use super::*;

impl Placement {
    /// What a viewing asks over the ladder's rate. A live one is taken as a further one on its stream: the
    /// stream itself, whoever began it, shows in what others ask.
    pub(super) fn size(&self, package: PackageIndex) -> f64 {
        let package = &self.terms.packages[package.0];
        package.rate_scale * if package.live { self.terms.live_join_share } else { 1.0 }
    }

    /// The highest rung that a viewing is given.
    pub(super) fn best(&self, viewing: &Viewing) -> Rung {
        let package = self.package(viewing);
        viewing.wish.max_rung.min(package.top).max(package.floor)
    }

    /// Worth of the step between a rung and the one under it, for each kB a second that it takes; where worth
    /// is not told, as if a rung earned the same for any rate.
    fn earns(&self, package: PackageIndex, upper: usize) -> f64 {
        let worth = |rung: usize| self.terms.rung_values.get(rung).copied();
        let value = self.terms.packages[package.0].value;
        let (high, low) =
            (self.rate(package, Rung(upper)), self.rate(package, Rung(upper.saturating_sub(1))));
        match (worth(upper), worth(upper.saturating_sub(1))) {
            (Some(more), Some(less)) => value * (more - less) / (high - low).max(1e-9),
            _ => value / high.max(1e-9),
        }
    }

    /// Summed over rungs: rate x (count + phi x root of count).
    pub(super) fn bound(&self, askers: &[Counted]) -> f64 {
        let mut counts: BTreeMap<(PackageIndex, Rung), f64> = BTreeMap::new();
        for (asker, n) in askers {
            *counts.entry((asker.package, asker.rung)).or_default() += n;
        }
        counts.iter().map(|((package, rung), n)| self.rate(*package, *rung) * (n + PHI * n.sqrt())).sum()
    }

    /// Rate that a step down from here frees for each worth lost.
    pub(super) fn spared(&self, asker: &Asker) -> f64 {
        1.0 / self.earns(asker.package, asker.rung.0.max(1)).max(1e-12)
    }

    /// Who goes down first is greatest: the one over its tenant's share, then the one whose step costs least
    /// worth for the rate that it frees. In one package, whose ladder earns less the higher it goes, that is
    /// the top rung.
    pub(super) fn goes_down(&self, a: &Asker, b: &Asker) -> Ordering {
        let costs = |it: &Asker| self.earns(it.package, it.rung.0);
        let first = a.over_share.cmp(&b.over_share).then(costs(b).total_cmp(&costs(a)));
        first.then(b.below().cmp(&a.below()))
    }

    /// Who goes up first is greatest: the one furthest below its request, within its tenant's share, whose
    /// step earns most for the rate that it takes.
    pub(super) fn goes_up(&self, a: &Asker, b: &Asker) -> Ordering {
        let earns = |it: &Asker| self.earns(it.package, it.rung.0 + 1);
        let low = a.below().cmp(&b.below()).then(b.over_share.cmp(&a.over_share));
        low.then(earns(a).total_cmp(&earns(b)))
    }

    /// The design's split: those who go down first move a rung, one at a time, until the bound holds; those
    /// alike at once, since the bound over their number is concave: once it holds, it holds for more of them.
    /// The last one moves only if what is still over is more than the lot's part of its step.
    pub(super) fn split(&self, askers: &[Counted], capacity: f64, lot: f64) -> Vec<Counted> {
        let mut split: Vec<Counted> = Vec::new();
        askers.iter().for_each(|(it, n)| put(&mut split, Asker { rung: it.best, ..*it }, *n));
        while self.bound(&split) > capacity {
            let movable = split.iter().filter(|it| it.0.rung > self.terms.packages[it.0.package.0].floor);
            let Some((asker, n)) = movable.max_by(|a, b| self.goes_down(&a.0, &b.0)).copied() else { break };
            let after = |count: f64| self.bound(&moved(&split, asker, count, asker.rung.0 - 1));
            let (mut breaks, mut holds) = (0.0, n);
            while after(n) <= capacity && holds - breaks > 1.0 {
                let middle = ((breaks + holds) / 2.0_f64).floor();
                *(if after(middle) > capacity { &mut breaks } else { &mut holds }) = middle;
            }
            let (asks, less) = (after(holds - 1.0), after(holds));
            let last = less <= capacity && asks - capacity < lot * (asks - less);
            split = moved(&split, asker, if last { holds - 1.0 } else { holds }, asker.rung.0 - 1);
            if last {
                break;
            }
        }
        split
    }

    /// A new viewing's rung, drawn by the shares of those who ask for the same at the server.
    pub(super) fn draw(&mut self, viewing: &Viewing, server: &ServerId) -> Rung {
        let mine = self.asker(viewing);
        let it = &self.servers[server];
        let mut askers = it.census.counts();
        askers.push((mine, 1.0));
        let size = self.size(viewing.wish.package);
        let (link, uplink) = (self.link(it), self.uplink(it));
        let (n, all) = (it.own.1 + size, uplink.own.1 + size);
        let part = self.claim(&link, n, FILL).min(self.uplink_claim(&uplink, all, FILL) * n / all);
        // In a crowd others do not step down in time: a newcomer asks for no more than is free now.
        let capacity = part.min(it.own.0 + self.free_kb(it, EASED).max(0.0));
        let lot = self.chance.part();
        let mut alike = self.split(&askers, capacity, lot);
        alike.retain(|it| Asker { rung: mine.rung, ..it.0 } == mine);
        let count: f64 = alike.iter().map(|it| it.1).sum();
        let drawn = self.chance.below(count as usize) as f64;
        along(alike.iter().map(|it| it.1), drawn).map_or(mine.best, |ix| alike[ix].0.rung)
    }
}
