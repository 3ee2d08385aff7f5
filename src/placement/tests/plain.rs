//! The split, the counts and the means as they are defined, without any index: the indexed ones must say the
//! same.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

pub(super) fn askers(it: &Placement, server: &ServerId) -> Vec<(ViewingId, Asker)> {
    let there = it.viewings.values().filter(|vw| vw.place() == Some(server));
    there.map(|vw| (vw.wish.viewing.clone(), it.asker(vw))).collect()
}

pub(super) fn bound(it: &Placement, askers: &[Asker]) -> f64 {
    let ones: Vec<Counted> = askers.iter().map(|asker| (*asker, 1.0)).collect();
    let mut counts: BTreeMap<(PackageIndex, Rung), f64> = BTreeMap::new();
    ones.iter().for_each(|one| *counts.entry((one.0.package, one.0.rung)).or_default() += 1.0);
    counts.iter().map(|((package, rung), n)| it.rate(*package, *rung) * (n + PHI * n.sqrt())).sum()
}

/// One at a time, each looked for among all.
pub(super) fn split(it: &Placement, askers: &mut [Asker], capacity: f64, lot: f64) {
    askers.iter_mut().for_each(|asker| asker.rung = asker.best);
    let mut asks = bound(it, askers);
    while asks > capacity {
        let floor = |ix: &usize| askers[*ix].rung > it.terms.packages[askers[*ix].package.0].floor;
        let movable = (0..askers.len()).filter(floor);
        let Some(ix) = movable.max_by(|a, b| it.goes_down(&askers[*a], &askers[*b])) else {
            return;
        };
        askers[ix].rung.0 -= 1;
        let less = bound(it, askers);
        if asks - capacity < lot * (asks - less) {
            askers[ix].rung.0 += 1;
            return;
        }
        asks = less;
    }
}

fn counted(askers: impl Iterator<Item = Asker>) -> BTreeMap<Asker, usize> {
    askers.fold(BTreeMap::new(), |mut all, asker| {
        *all.entry(asker).or_default() += 1;
        all
    })
}

fn whole(askers: &[Counted]) -> BTreeMap<Asker, usize> {
    askers.iter().fold(BTreeMap::new(), |mut all, it| {
        *all.entry(it.0).or_default() += it.1 as usize;
        all
    })
}

pub(super) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0.0), |(sum, n), it| (sum + it, n + 1.0));
    (n > 0.0).then_some(sum / n)
}

fn same(it: &mut Placement, capacity: f64, lot: f64) -> Result<(), TestCaseError> {
    let ids: Vec<ServerId> = it.servers.keys().cloned().collect();
    let mut holding = Vec::new();
    for id in &ids {
        let plainly = askers(it, id);
        let rows: Vec<Asker> = plainly.iter().map(|it| it.1).collect();
        let census = &it.servers[id].census;
        prop_assert_eq!(whole(&census.counts()), counted(rows.iter().copied()));
        prop_assert!((it.bound(&census.counts()) - bound(it, &rows)).abs() < 1e-6);
        // Also among equals the same one goes: by its id, as good as any, and not by its rung.
        let plays = |row: &&(ViewingId, Asker)| it.viewings[&row.0].phase == Phase::Playing;
        for order in [Placement::goes_down, Placement::goes_up] {
            let plain = plainly.iter().filter(plays).max_by(|a, b| order(it, &a.1, &b.1));
            let kept = census.playing().max_by(|a, b| order(it, &a.0, &b.0).then(a.1.cmp(b.1)));
            prop_assert_eq!(plain.map(|it| &it.0), kept.map(|it| it.1));
        }
        let mut one_by_one = rows.clone();
        split(it, &mut one_by_one, capacity, lot);
        let at_once = it.split(&census.counts(), capacity, lot);
        let rungs = |all: BTreeMap<Asker, usize>| {
            all.into_iter().fold(BTreeMap::new(), |mut rungs, (asker, n)| {
                *rungs
                    .entry((it.rate(asker.package, asker.rung).to_bits(), asker.over_share))
                    .or_insert(0) += n;
                rungs
            })
        };
        prop_assert_eq!(rungs(whole(&at_once)), rungs(counted(one_by_one.into_iter())));
        prop_assert_eq!(it.held_at.iter().any(|held| held.1 == *id), !rows.is_empty());
        if !rows.is_empty() {
            prop_assert!(it.held_at.contains(&(it.servers[id].look_at, id.clone())));
            holding.push(id.clone());
        }
    }
    prop_assert_eq!(it.held_at.len(), holding.len());
    let after = it.fresh_from();
    let fresh = |seen: Option<Seen>| seen.filter(|it| it.at > after).map(|it| it.asked);
    let links = mean(holding.iter().filter_map(|id| fresh(it.servers[id].seen)));
    let uplinks = mean(holding.iter().filter_map(|id| fresh(it.uplink_of(&it.servers[id]).seen)));
    let near = |a: Option<f64>, b: Option<f64>| {
        a.is_some() == b.is_some() && a.zip(b).is_none_or(|(a, b)| (a - b).abs() < 1e-9)
    };
    let (known, shared) = (it.links.mean(after), it.shared.mean(after));
    prop_assert!(
        near(links, known) && near(uplinks, shared),
        "{:?} {:?} {:?} {:?}",
        links,
        known,
        uplinks,
        shared
    );
    for viewing in it.viewings.values() {
        let of = |other: &&Viewing| {
            other.out()
                && (&other.wish.title, other.wish.package) == (&viewing.wish.title, viewing.wish.package)
        };
        let seated = it.viewings.values().filter(of).count();
        let kept = it.seated.get(&(viewing.wish.title.clone(), viewing.wish.package)).copied().unwrap_or(0);
        prop_assert_eq!(kept, seated);
    }
    Ok(())
}

fn step(it: &mut Placement, no: usize, (kind, which, value): (u8, usize, f64)) {
    let mut said = Said::default();
    let names: Vec<ViewingId> = it.viewings.keys().cloned().collect();
    let one = names.get(which % names.len().max(1)).cloned();
    let id = ServerId::from(format!("s{}", which % 4).as_str());
    it.now = it.now + Ms(value * 40.0);
    let now = it.now;
    match (kind, one) {
        (0..=3, _) => {
            let package = PackageIndex(which % 2);
            let title = if which % 3 == 0 { "film" } else { "show" };
            let (best, due) = (Rung(which % 4), now + Ms(4000.0));
            let tenant = (which % 5 == 0).then_some(TenantIndex(0));
            let vw = format!("v{no}");
            it.request_viewing(
                now,
                ViewingRequest {
                    package,
                    title: title.into(),
                    max_rung: best,
                    tenant,
                    deadline: due,
                    ..wish(&vw)
                },
                &mut said,
            );
        }
        (4 | 5, Some(vw)) => {
            if let Some(server) = it.viewings[&vw].place().cloned() {
                it.viewing_started(now, &vw, &server, &mut said);
            }
        }
        (6, Some(vw)) => {
            if let Some(server) = it.viewings[&vw].place().cloned() {
                let no = TuneInIndex(it.viewings[&vw].tune_ins.len() - 1);
                let last = it.viewings[&vw].phase == Phase::Playing || which % 2 == 0;
                it.tune_in_ended(
                    now,
                    &vw,
                    no,
                    &server,
                    Outcome::TurnedAway,
                    last,
                    Load::default(),
                    &mut said,
                );
            }
        }
        (7, Some(vw)) => it.viewer_left(now, &vw, &mut said),
        (8, Some(vw)) => {
            let topic = [Topic::LinkAsked, Topic::UplinkAsked, Topic::ShareDelivered][which % 3];
            it.note_received(now, &vw, topic, value / 8.0, &id, &mut said);
        }
        (9, _) => {
            let mut entry = entry(&id.to_string(), (which % 6) as u64);
            entry.started = (which % 4 == 1).then_some(now);
            it.update_servers(now, ListMode::Incremental, &[entry], &mut said);
        }
        _ => it.timer_fired(now, TimerTag(0), &mut said),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_is_kept_is_what_is_defined(
        steps in proptest::collection::vec((0u8..11, 0usize..60, 0.0..9.0f64), 1..90),
        capacity in 0.0..90.0f64,
        lot in 0.001..1.0f64,
    ) {
        let mut terms = terms();
        terms.packages[1].seats = 3;
        terms.packages[1].floor = Rung(1);
        let mut it = placement(PlacementConfig { link_unit_kb: 40.0, ..terms }, 4);
        for (no, one) in steps.into_iter().enumerate() {
            step(&mut it, no, one);
            same(&mut it, capacity, lot)?;
        }
    }

    /// Also with many who are alike, with packages of one value, and on any ladder.
    #[test]
    fn those_alike_move_at_once(
        rows in proptest::collection::vec((0usize..2, 0usize..4, any::<bool>(), 1usize..40), 1..8),
        ladder in proptest::collection::vec(0.1..4.0f64, 4),
        part in 0.0..1.2f64,
        lot in 0.001..1.0f64,
    ) {
        let mut rate = 0.0;
        let ladder_kb = ladder.iter().map(|it| { rate += it; rate }).collect();
        let it = placement(PlacementConfig { ladder_kb, ..terms() }, 0);
        let counts: Vec<Counted> = rows.iter()
            .map(|(package, best, over, n)| (asker(*package, *best, *over), *n as f64)).collect();
        let mut one_by_one: Vec<Asker> =
            counts.iter().flat_map(|it| vec![it.0; it.1 as usize]).collect();
        let capacity = bound(&it, &one_by_one) * part;
        split(&it, &mut one_by_one, capacity, lot);
        let at_once = it.split(&counts, capacity, lot);
        prop_assert_eq!(whole(&at_once), counted(one_by_one.into_iter()));
    }
}
