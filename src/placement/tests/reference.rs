//! Reference implementations of the split, the counts and the means, directly by their definitions and
//! without any index. The indexed ones must give the same results.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The viewings at a server with their classes.
pub(super) fn classes_at(placement: &Placement, server: &ServerId) -> Vec<(ViewingId, DemandClass)> {
    let viewings = placement.viewings.values();
    let at_server = viewings.filter(|viewing| viewing.current_server() == Some(server));
    at_server.map(|viewing| (viewing.request.viewing.clone(), placement.demand_class(viewing))).collect()
}

pub(super) fn rate_bound(placement: &Placement, classes: &[DemandClass]) -> f64 {
    let mut counts: BTreeMap<(PackageIndex, Rung), f64> = BTreeMap::new();
    classes.iter().for_each(|class| *counts.entry((class.package, class.rung)).or_default() += 1.0);
    let bound = |((package, rung), count): (&(PackageIndex, Rung), &f64)| {
        placement.rate(*package, *rung) * (count + RATE_QUANTILE * count.sqrt())
    };
    counts.iter().map(bound).sum()
}

/// Moves one viewing at a time, each found by a search among all.
pub(super) fn split(placement: &Placement, classes: &mut [DemandClass], capacity: f64, threshold: f64) {
    classes.iter_mut().for_each(|class| class.rung = class.max_rung);
    let mut bound = rate_bound(placement, classes);
    while bound > capacity {
        let above_floor = |index: &usize| {
            let class = &classes[*index];
            class.rung > placement.config.packages[class.package.0].floor
        };
        let movable = (0..classes.len()).filter(above_floor);
        let order = |a: &usize, b: &usize| placement.step_down_order(&classes[*a], &classes[*b]);
        let Some(index) = movable.max_by(order) else {
            return;
        };
        classes[index].rung.0 -= 1;
        let lower = rate_bound(placement, classes);
        if bound - capacity < threshold * (bound - lower) {
            classes[index].rung.0 += 1;
            return;
        }
        bound = lower;
    }
}

fn counted(classes: impl Iterator<Item = DemandClass>) -> BTreeMap<DemandClass, usize> {
    classes.fold(BTreeMap::new(), |mut counts, class| {
        *counts.entry(class).or_default() += 1;
        counts
    })
}

fn whole_counts(counts: &[ClassCount]) -> BTreeMap<DemandClass, usize> {
    counts.iter().fold(BTreeMap::new(), |mut whole, (class, count)| {
        *whole.entry(*class).or_default() += *count as usize;
        whole
    })
}

pub(super) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then_some(sum / count)
}

fn check_all(placement: &mut Placement, capacity: f64, threshold: f64) -> Result<(), TestCaseError> {
    let ids: Vec<ServerId> = placement.servers.keys().cloned().collect();
    let mut holding = Vec::new();
    for id in &ids {
        if check_server(placement, id, capacity, threshold)? {
            holding.push(id.clone());
        }
    }
    prop_assert_eq!(placement.review_queue.len(), holding.len());
    check_means(placement, &holding)?;
    check_seats(placement)
}

/// Returns whether the server holds a viewing.
fn check_server(
    placement: &Placement,
    id: &ServerId,
    capacity: f64,
    threshold: f64,
) -> Result<bool, TestCaseError> {
    let expected = classes_at(placement, id);
    let classes: Vec<DemandClass> = expected.iter().map(|(_, class)| *class).collect();
    let viewings = &placement.servers[id].viewings;
    prop_assert_eq!(whole_counts(&viewings.counts()), counted(classes.iter().copied()));
    let bound = placement.rate_bound(&viewings.counts());
    prop_assert!((bound - rate_bound(placement, &classes)).abs() < 1e-6);
    // Among equals the choice is by id and not by rung, so it has to be the same as well.
    let plays = |row: &&(ViewingId, DemandClass)| placement.viewings[&row.0].phase == Phase::Playing;
    for order in [Placement::step_down_order, Placement::step_up_order] {
        let searched = expected.iter().filter(plays).max_by(|a, b| order(placement, &a.1, &b.1));
        let indexed = viewings.playing().max_by(|a, b| order(placement, &a.0, &b.0).then(a.1.cmp(b.1)));
        prop_assert_eq!(searched.map(|(id, _)| id), indexed.map(|(_, id)| id));
    }
    let mut one_by_one = classes.clone();
    split(placement, &mut one_by_one, capacity, threshold);
    let at_once = placement.split(&viewings.counts(), capacity, threshold);
    let rungs = |counts: BTreeMap<DemandClass, usize>| {
        counts.into_iter().fold(BTreeMap::new(), |mut rungs, (class, count)| {
            let rate = placement.rate(class.package, class.rung);
            *rungs.entry((rate.to_bits(), class.over_share)).or_insert(0) += count;
            rungs
        })
    };
    prop_assert_eq!(rungs(whole_counts(&at_once)), rungs(counted(one_by_one.into_iter())));
    let queued = placement.review_queue.iter().any(|(_, queued)| queued == id);
    prop_assert_eq!(queued, !classes.is_empty());
    if !classes.is_empty() {
        let next_review = placement.servers[id].next_review;
        prop_assert!(placement.review_queue.contains(&(next_review, id.clone())));
    }
    Ok(!classes.is_empty())
}

fn check_means(placement: &mut Placement, holding: &[ServerId]) -> Result<(), TestCaseError> {
    let after = placement.fresh_since();
    let fresh =
        |sample: Option<LoadSample>| sample.filter(|sample| sample.at > after).map(|sample| sample.load);
    let links = mean(holding.iter().filter_map(|id| fresh(placement.servers[id].sample)));
    let uplink_sample = |id: &ServerId| placement.uplink_of(&placement.servers[id]).sample;
    let uplinks = mean(holding.iter().filter_map(|id| fresh(uplink_sample(id))));
    let near = |a: Option<f64>, b: Option<f64>| {
        a.is_some() == b.is_some() && a.zip(b).is_none_or(|(a, b)| (a - b).abs() < 1e-9)
    };
    let link_mean = placement.link_loads.mean(after);
    let uplink_mean = placement.uplink_loads.mean(after);
    prop_assert!(
        near(links, link_mean) && near(uplinks, uplink_mean),
        "{:?} {:?} {:?} {:?}",
        links,
        link_mean,
        uplinks,
        uplink_mean
    );
    Ok(())
}

fn check_seats(placement: &Placement) -> Result<(), TestCaseError> {
    let title_and_package = |viewing: &Viewing| (viewing.request.title.clone(), viewing.request.package);
    for viewing in placement.viewings.values() {
        let key = title_and_package(viewing);
        let takes_seat = |other: &&Viewing| other.has_open_tune_in() && title_and_package(other) == key;
        let expected = placement.viewings.values().filter(takes_seat).count();
        prop_assert_eq!(placement.seats_taken.get(&key).copied().unwrap_or(0), expected);
    }
    Ok(())
}

fn apply_input(placement: &mut Placement, number: usize, (kind, which, value): (u8, usize, f64)) {
    let mut actions = RecordedActions::default();
    let ids: Vec<ViewingId> = placement.viewings.keys().cloned().collect();
    let chosen = ids.get(which % ids.len().max(1)).cloned();
    let server_id = ServerId::from(format!("s{}", which % 4).as_str());
    placement.now = placement.now + Ms(value * 40.0);
    let now = placement.now;
    match (kind, chosen) {
        (0..=3, _) => {
            let request = ViewingRequest {
                package: PackageIndex(which % 2),
                title: if which % 3 == 0 { "film" } else { "show" }.into(),
                max_rung: Rung(which % 4),
                tenant: (which % 5 == 0).then_some(TenantIndex(0)),
                deadline: now + Ms(4000.0),
                ..request(&format!("v{number}"))
            };
            placement.request_viewing(now, request, &mut actions);
        }
        (4 | 5, Some(id)) => {
            if let Some(server) = placement.viewings[&id].current_server().cloned() {
                placement.viewing_started(now, &id, &server, &mut actions);
            }
        }
        (6, Some(id)) => {
            if let Some(server) = placement.viewings[&id].current_server().cloned() {
                let tune_in = TuneInIndex(placement.viewings[&id].tune_ins.len() - 1);
                let last = placement.viewings[&id].phase == Phase::Playing || which % 2 == 0;
                let (outcome, load) = (Outcome::TurnedAway, Load::default());
                placement.tune_in_ended(now, &id, tune_in, &server, outcome, last, load, &mut actions);
            }
        }
        (7, Some(id)) => placement.viewer_left(now, &id, &mut actions),
        (8, Some(id)) => {
            let topic = [Topic::LinkAsked, Topic::UplinkAsked, Topic::ShareDelivered][which % 3];
            placement.note_received(now, &id, topic, value / 8.0, &server_id, &mut actions);
        }
        (9, _) => {
            let mut entry = entry(&server_id.to_string(), (which % 6) as u64);
            entry.started = (which % 4 == 1).then_some(now);
            placement.update_servers(now, ListMode::Incremental, &[entry], &mut actions);
        }
        _ => placement.timer_fired(now, TimerTag(0), &mut actions),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn aggregates_match_their_definitions(
        inputs in proptest::collection::vec((0u8..11, 0usize..60, 0.0..9.0f64), 1..90),
        capacity in 0.0..90.0f64,
        threshold in 0.001..1.0f64,
    ) {
        let mut config = config();
        config.packages[1].seats = 3;
        config.packages[1].floor = Rung(1);
        let mut placement = placement_with(PlacementConfig { link_unit_kb: 40.0, ..config }, 4);
        for (number, input) in inputs.into_iter().enumerate() {
            apply_input(&mut placement, number, input);
            check_all(&mut placement, capacity, threshold)?;
        }
    }

    /// Also with large classes, with packages of one value, and on any ladder.
    #[test]
    fn viewings_of_a_class_moved_together_end_as_if_moved_one_by_one(
        rows in proptest::collection::vec((0usize..2, 0usize..4, any::<bool>(), 1usize..40), 1..8),
        ladder_steps in proptest::collection::vec(0.1..4.0f64, 4),
        capacity_share in 0.0..1.2f64,
        threshold in 0.001..1.0f64,
    ) {
        let mut rate = 0.0;
        let ladder_kb = ladder_steps.iter().map(|step| { rate += step; rate }).collect();
        let placement = placement_with(PlacementConfig { ladder_kb, ..config() }, 0);
        let counts: Vec<ClassCount> = rows
            .iter()
            .map(|(package, rung, over, count)| (class_at(*package, *rung, *over), *count as f64))
            .collect();
        let mut one_by_one: Vec<DemandClass> =
            counts.iter().flat_map(|(class, count)| vec![*class; *count as usize]).collect();
        let capacity = rate_bound(&placement, &one_by_one) * capacity_share;
        split(&placement, &mut one_by_one, capacity, threshold);
        let at_once = placement.split(&counts, capacity, threshold);
        prop_assert_eq!(whole_counts(&at_once), counted(one_by_one.into_iter()));
    }
}
