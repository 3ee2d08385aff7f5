//! What the counts that are kept save, measured.

use super::plain::{askers, bound, mean, split};
use super::*;

/// Microseconds by viewings held, the kept form beside the plain one. The plain one's are only those of what
/// a decision needs of counts: for a set-up the askers, bound and split of two holders, for a note the
/// askers, who goes next, and the mean of all that was noted.
/// `cargo test --release -p ottersail what_a_decision_costs -- --ignored --nocapture`
#[test]
#[ignore = "it measures, for half a minute"]
fn what_a_decision_costs() {
    const SERVERS: usize = 280;
    println!("  held   set-up: kept   plain     note: kept   plain   (us, {SERVERS} servers)");
    let mut kept_set_ups = Vec::new();
    for held in [280, 2_800, 28_000, 140_000] {
        let link = 5.0 * (held as f64 / SERVERS as f64).max(8.0);
        let ample = PlacementConfig {
            link_unit_kb: link,
            uplink_kb: 1e9,
            cells: SERVERS as u64,
            places_by_kind: [(HardwareKind::from("k"), 1e6)].into(),
            ..terms()
        };
        let mut it = placement(ample, SERVERS);
        let mut said = Said::default();
        let mut set_up = |it: &mut Placement, no: usize| {
            let (vw, now) = (format!("v{no}"), it.now + Ms(0.01));
            let (title, base) = (format!("t{}", no * 31 % 1000), (no * 31 % 1000 * 7 % SERVERS) as u64);
            let (package, due) = (PackageIndex(no % 2), now + Ms(4000.0));
            it.request_viewing(
                now,
                ViewingRequest {
                    title: title.as_str().into(),
                    first_cell: base,
                    package,
                    deadline: due,
                    ..wish(&vw)
                },
                &mut said,
            );
            let id = ViewingId::from(vw.as_str());
            if let Some(server) = it.viewings.get(&id).and_then(|it| it.place().cloned()) {
                it.viewing_started(now, &id, &server, &mut said);
            }
            said.0.clear();
        };
        (0..held).for_each(|no| set_up(&mut it, no));
        let id = |no: usize| ServerId::from(format!("s{}", no % SERVERS).as_str());
        let mut spent = [0.0; 4];
        let mut lap = |of: usize, tries: usize, one: &mut dyn FnMut(usize)| {
            // Each by itself, after a few that warm it: the plain one's walk empties every cache.
            (0..tries / 4).for_each(&mut *one);
            let clock = std::time::Instant::now();
            (0..tries).for_each(&mut *one);
            spent[of] = clock.elapsed().as_secs_f64() * 1e6 / tries as f64;
        };
        let tries = if held > 10_000 { 40 } else { 400 };
        let mut next = held;
        lap(0, (held / 2).min(2_000), &mut |_| {
            set_up(&mut it, next);
            next += 1;
        });
        let holders: Vec<(ViewingId, ServerId)> = it
            .viewings
            .values()
            .step_by(held / 140)
            .filter_map(|vw| Some((vw.wish.viewing.clone(), vw.place()?.clone())))
            .collect();
        lap(2, 2_000, &mut |no| {
            let (vw, at) = &holders[no % holders.len()];
            let now = it.now + Ms(0.01);
            it.note_received(now, vw, Topic::LinkAsked, 0.5, at, &mut Said::default());
        });
        lap(1, tries, &mut |no| {
            for holder in [no * 7, no * 7 + 1] {
                let mut askers: Vec<Asker> = askers(&it, &id(holder)).into_iter().map(|it| it.1).collect();
                let asks = bound(&it, &askers);
                split(&it, &mut askers, link.min(asks), 0.5);
                std::hint::black_box(askers);
            }
        });
        lap(3, tries, &mut |no| {
            let there = askers(&it, &id(no));
            std::hint::black_box(there.iter().max_by(|a, b| it.goes_down(&a.1, &b.1)));
            let after = it.fresh_from();
            let seen = it.servers.values().filter_map(|it| it.seen.filter(|it| it.at > after));
            std::hint::black_box(mean(seen.map(|it| it.asked)));
        });
        let count = it.viewings.len();
        println!("{count:>6} {:>14.1} {:>7.1} {:>14.1} {:>7.1}", spent[0], spent[1], spent[2], spent[3]);
        assert!(count >= held * 9 / 10, "{count} of {held} are held");
        kept_set_ups.push((spent[0], spent[2]));
    }
    let (few, many) = (kept_set_ups[0], kept_set_ups[3]);
    println!("from 280 to 140,000: set-up x {:.2}, note x {:.2}", many.0 / few.0, many.1 / few.1);
}
