//! A measurement of what the indexes and aggregates save.

use super::reference::{classes_at, mean, rate_bound, split};
use super::*;

/// Prints microseconds by the number of viewings held, of the indexed implementation beside the reference
/// one. The reference figures cover only the counts that a decision needs: for a set-up the classes, rate
/// bound and split of two holders; for a note the classes, the next to step, and the mean of all samples.
/// `cargo test --release -p ottersail cost_of_a_decision -- --ignored --nocapture`
#[test]
#[ignore = "it measures, for half a minute"]
fn cost_of_a_decision_by_viewings_held() {
    const SERVERS: usize = 280;
    println!("  held   set-up: indexed reference   note: indexed reference   (us, {SERVERS} servers)");
    let mut indexed_costs = Vec::new();
    for held in [280, 2_800, 28_000, 140_000] {
        let link_kb = 5.0 * (held as f64 / SERVERS as f64).max(8.0);
        let ample = PlacementConfig {
            link_unit_kb: link_kb,
            uplink_kb: 1e9,
            cells: SERVERS as u64,
            places_by_kind: [(HardwareKind::from("k"), 1e6)].into(),
            ..config()
        };
        let mut placement = placement_with(ample, SERVERS);
        let mut actions = RecordedActions::default();
        let mut set_up = |placement: &mut Placement, number: usize| {
            let (id, now) = (format!("v{number}"), placement.now + Ms(0.01));
            let title = number * 31 % 1000;
            let request = ViewingRequest {
                title: format!("t{title}").as_str().into(),
                first_cell: (title * 7 % SERVERS) as u64,
                package: PackageIndex(number % 2),
                deadline: now + Ms(4000.0),
                ..request(&id)
            };
            placement.request_viewing(now, request, &mut actions);
            let id = ViewingId::from(id.as_str());
            let viewing = placement.viewings.get(&id);
            if let Some(server) = viewing.and_then(|viewing| viewing.current_server().cloned()) {
                placement.viewing_started(now, &id, &server, &mut actions);
            }
            actions.0.clear();
        };
        (0..held).for_each(|number| set_up(&mut placement, number));
        let server_id = |number: usize| ServerId::from(format!("s{}", number % SERVERS).as_str());
        let mut spent = [0.0; 4];
        let mut measure = |column: usize, rounds: usize, operation: &mut dyn FnMut(usize)| {
            // Each is measured by itself after a warm-up, because the reference evicts the processor's
            // caches.
            (0..rounds / 4).for_each(&mut *operation);
            let clock = std::time::Instant::now();
            (0..rounds).for_each(&mut *operation);
            spent[column] = clock.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        };
        let rounds = if held > 10_000 { 40 } else { 400 };
        let mut next = held;
        measure(0, (held / 2).min(2_000), &mut |_| {
            set_up(&mut placement, next);
            next += 1;
        });
        let placed: Vec<(ViewingId, ServerId)> = placement
            .viewings
            .values()
            .step_by(held / 140)
            .filter_map(|viewing| Some((viewing.request.viewing.clone(), viewing.current_server()?.clone())))
            .collect();
        measure(2, 2_000, &mut |number| {
            let (id, server) = &placed[number % placed.len()];
            let (now, mut actions) = (placement.now + Ms(0.01), RecordedActions::default());
            placement.note_received(now, id, Topic::LinkAsked, 0.5, server, &mut actions);
        });
        measure(1, rounds, &mut |number| {
            for holder in [number * 7, number * 7 + 1] {
                let at_holder = classes_at(&placement, &server_id(holder));
                let mut classes: Vec<DemandClass> = at_holder.into_iter().map(|(_, class)| class).collect();
                let bound = rate_bound(&placement, &classes);
                split(&placement, &mut classes, link_kb.min(bound), 0.5);
                std::hint::black_box(classes);
            }
        });
        measure(3, rounds, &mut |number| {
            let classes = classes_at(&placement, &server_id(number));
            let next = classes.iter().max_by(|a, b| placement.step_down_order(&a.1, &b.1));
            std::hint::black_box(next);
            let after = placement.fresh_since();
            let samples = placement.servers.values().filter_map(|server| server.sample);
            let fresh = samples.filter(|sample| sample.at > after);
            std::hint::black_box(mean(fresh.map(|sample| sample.load)));
        });
        let count = placement.viewings.len();
        println!("{count:>6} {:>15.1} {:>9.1} {:>15.1} {:>9.1}", spent[0], spent[1], spent[2], spent[3]);
        assert!(count >= held * 9 / 10, "{count} of {held} are held");
        indexed_costs.push((spent[0], spent[2]));
    }
    let (few, many) = (indexed_costs[0], indexed_costs[3]);
    println!("from 280 to 140,000: set-up x {:.2}, note x {:.2}", many.0 / few.0, many.1 / few.1);
}
