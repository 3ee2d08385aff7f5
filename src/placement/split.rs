//! The split: which rung each viewing at a server should have, the bound on their rates, and the rung of a
//! new viewing.

use super::*;

impl Placement {
    /// Factor from a rung's ladder rate to the rate of a viewing of the package. A live viewing counts as one
    /// more viewer of an existing stream; the stream itself appears in the other managers' demand, whoever
    /// started it.
    pub(super) fn rate_factor(&self, package: PackageIndex) -> f64 {
        let package = &self.config.packages[package.0];
        package.rate_scale * if package.live { self.config.live_join_share } else { 1.0 }
    }

    /// The highest rung that a viewing may be given.
    pub(super) fn max_rung(&self, viewing: &Viewing) -> Rung {
        let package = self.package(viewing);
        viewing.request.max_rung.min(package.top).max(package.floor)
    }

    /// Value of the step between rung `upper` and the one below, for each unit of the rate that it takes.
    /// Without configured rung values, the package's value over the rung's rate.
    fn value_per_kb(&self, package: PackageIndex, upper: usize) -> f64 {
        let rung_value = |rung: usize| self.config.rung_values.get(rung).copied();
        let value = self.config.packages[package.0].value;
        let (high_rate, low_rate) =
            (self.rate(package, Rung(upper)), self.rate(package, Rung(upper.saturating_sub(1))));
        match (rung_value(upper), rung_value(upper.saturating_sub(1))) {
            (Some(high), Some(low)) => value * (high - low) / (high_rate - low_rate).max(1e-9),
            _ => value / high_rate.max(1e-9),
        }
    }

    /// Upper bound on the rates of these viewings, with a margin: the sum over rungs of rate times
    /// (n + RATE_QUANTILE * sqrt(n)), where n is the number of viewings at the rung.
    pub(super) fn rate_bound(&self, counts: &[ClassCount]) -> f64 {
        let mut by_rung: BTreeMap<(PackageIndex, Rung), f64> = BTreeMap::new();
        for (class, count) in counts {
            *by_rung.entry((class.package, class.rung)).or_default() += count;
        }
        let bound = |((package, rung), count): (&(PackageIndex, Rung), &f64)| {
            self.rate(*package, *rung) * (count + RATE_QUANTILE * count.sqrt())
        };
        by_rung.iter().map(bound).sum()
    }

    /// Rate that a step down of the class frees for each unit of value lost.
    pub(super) fn rate_per_value(&self, class: &DemandClass) -> f64 {
        1.0 / self.value_per_kb(class.package, class.rung.0.max(1)).max(1e-12)
    }

    /// Orders classes such that the greatest steps down first: first those in excess of their tenant's
    /// allowance, then those whose step loses least value for the rate that it frees. Within one package
    /// whose ladder gains less value per rate the higher it goes, that is the top rung.
    pub(super) fn step_down_order(&self, a: &DemandClass, b: &DemandClass) -> Ordering {
        let lost_value = |class: &DemandClass| self.value_per_kb(class.package, class.rung.0);
        let by_value = lost_value(b).total_cmp(&lost_value(a));
        a.over_share.cmp(&b.over_share).then(by_value).then(b.below().cmp(&a.below()))
    }

    /// Orders classes such that the greatest steps up first: the one furthest below its request, then within
    /// its tenant's allowance, then with the most value for the rate that the step takes.
    pub(super) fn step_up_order(&self, a: &DemandClass, b: &DemandClass) -> Ordering {
        let gained_value = |class: &DemandClass| self.value_per_kb(class.package, class.rung.0 + 1);
        let by_distance = a.below().cmp(&b.below()).then(b.over_share.cmp(&a.over_share));
        by_distance.then(gained_value(a).total_cmp(&gained_value(b)))
    }

    /// Gives each viewing its highest rung, and then moves viewings down one rung at a time in
    /// `step_down_order` until the rate bound holds. Viewings of one class are moved together, by bisection
    /// over their number: the bound is concave in that number, so once it holds it holds for more of them.
    /// The last viewing moves only if the remaining excess is more than the fraction `threshold` of its step.
    pub(super) fn split(&self, counts: &[ClassCount], capacity: f64, threshold: f64) -> Vec<ClassCount> {
        let mut split: Vec<ClassCount> = Vec::new();
        for (class, count) in counts {
            add_count(&mut split, DemandClass { rung: class.max_rung, ..*class }, *count);
        }
        while self.rate_bound(&split) > capacity {
            let above_floor =
                |(class, _): &&ClassCount| class.rung > self.config.packages[class.package.0].floor;
            let movable = split.iter().filter(above_floor);
            let first = movable.max_by(|(a, _), (b, _)| self.step_down_order(a, b));
            let Some((class, count)) = first.copied() else { break };
            let bound_after =
                |moved: f64| self.rate_bound(&with_moved(&split, class, moved, class.rung.0 - 1));
            let (mut too_few, mut enough) = (0.0, count);
            while bound_after(count) <= capacity && enough - too_few > 1.0 {
                let middle = ((too_few + enough) / 2.0_f64).floor();
                *(if bound_after(middle) > capacity { &mut too_few } else { &mut enough }) = middle;
            }
            let (one_fewer, bound) = (bound_after(enough - 1.0), bound_after(enough));
            let keep_last = bound <= capacity && one_fewer - capacity < threshold * (one_fewer - bound);
            let count = if keep_last { enough - 1.0 } else { enough };
            split = with_moved(&split, class, count, class.rung.0 - 1);
            if keep_last {
                break;
            }
        }
        split
    }

    /// Draws a new viewing's rung: with the probability of the fraction that each rung has, in the split with
    /// the new viewing, among the viewings that differ only in their rung.
    pub(super) fn draw_rung(&mut self, viewing: &Viewing, server_id: &ServerId) -> Rung {
        let new_class = self.demand_class(viewing);
        let server = &self.servers[server_id];
        let mut counts = server.viewings.counts();
        counts.push((new_class, 1.0));
        let units = self.rate_factor(viewing.request.package);
        let (link, uplink) = (self.link_state(server), self.uplink_state(server));
        let (link_units, uplink_units) = (server.demand.units + units, uplink.demand.units + units);
        let link_share = self.fair_share_kb(&link, link_units, ADMIT_LOAD);
        let uplink_share = self.uplink_share_kb(&uplink, uplink_units, ADMIT_LOAD);
        let share = link_share.min(uplink_share * link_units / uplink_units);
        // In a crowd the other viewings do not step down in time, so a new one gets no more than is free now.
        let capacity = share.min(server.demand.kb + self.free_kb(server, RELIEVED_LOAD).max(0.0));
        let threshold = self.rng.unit();
        let mut alike = self.split(&counts, capacity, threshold);
        alike.retain(|(class, _)| DemandClass { rung: new_class.rung, ..*class } == new_class);
        let total: f64 = alike.iter().map(|(_, count)| count).sum();
        let drawn = self.rng.below(total as usize) as f64;
        let index = index_at(alike.iter().map(|(_, count)| *count), drawn);
        index.map_or(new_class.max_rung, |index| alike[index].0.rung)
    }
}
