//! Estimation of the load of uplinks.

use super::*;
use test_case::test_case;

fn unreported(uplink_kb: f64) -> PlacementConfig {
    PlacementConfig { uplinks_reported: false, uplink_kb, ..config() }
}

/// With the tolerance of a link, a burst leaves an uplink at 0.88 of the demand for seconds.
#[test_case(true, 1.1, 52.0; "a reported uplink is relieved from 1.04 on")]
#[test_case(false, 1.1, 52.0; "so is one known by short delivery")]
#[test_case(true, 0.8, 46.0; "a reported uplink is filled further than a link")]
#[test_case(false, 0.8, 40.0; "an unreported one is filled like a link")]
fn uplinks_are_relieved_sooner_than_links(uplinks_reported: bool, load: f64, expected: f64) {
    let mut placement = placement_with(PlacementConfig { uplinks_reported, ..config() }, 1);
    placement.config.link_unit_kb = 1e6;
    insert_playing(&mut placement, "a", "s0", 0);
    let demand = Demand { kb: 50.0, units: 1.0 };
    let sample = Some(LoadSample { load: 1.0, demand, at: placement.now });
    let uplink = placement.uplinks.get_mut(&Rack(0)).unwrap();
    (uplink.sample, uplink.demand) = (sample, demand);
    server_mut(&mut placement, "s0").demand = demand;
    let capacity = placement.capacity_kb(&placement.servers[&"s0".into()], load);
    assert!((capacity - expected).abs() < 1e-9);
}

/// Otherwise a note about an uplink costs a look at every server of its rack, including those without demand.
#[test]
fn only_servers_with_viewings_are_summed_for_an_uplink() {
    let mut placement = placement_with(config(), 40);
    let mut most = 0;
    for step in 0..200_usize {
        placement.now = placement.now + Ms(70.0);
        let (name, server) = (format!("v{}", step % 7), format!("s{}", step % 40));
        placement.update_viewing(&ViewingId::from(name.as_str()), |viewing| {
            viewing.phase = Phase::Over;
            viewing.tune_ins.iter_mut().for_each(|tune_in| tune_in.outcome = Some(Outcome::Served));
        });
        if step % 11 < 7 {
            insert_playing(&mut placement, &name, &server, step % 4);
        }
        placement.record_uplink_load(&server.as_str().into(), 0.5, placement.now);
        let uplink = &placement.uplinks[&placement.rack(&placement.servers[&server.as_str().into()])];
        for at in [placement.now, placement.now - Ms(200.0)] {
            let sum = |ids: &BTreeSet<ServerId>| {
                let demands = ids.iter().map(|id| placement.servers[id].demand_at(at));
                demands.fold(Demand::ZERO, Demand::plus)
            };
            assert_eq!(sum(&uplink.servers), sum(&uplink.with_demand));
        }
        most = most.max(uplink.with_demand.len());
    }
    assert!((2..20).contains(&most), "{most} of 20 servers summed");
}

/// Estimates that are off by a fifth would make the managers of an unreported uplink step down again and
/// again.
#[test]
fn an_estimated_uplink_load_makes_no_playing_viewing_step_down() {
    let mut placement = placement_with(unreported(10.0), 1);
    insert_playing(&mut placement, "a", "s0", 3);
    assert!(placement.uplink_sample(&placement.uplinks[&Rack(0)]).load > 1.5);
    let capacity = |load| placement.capacity_kb(&placement.servers[&"s0".into()], load);
    assert!(capacity(STEP_DOWN_LOAD) > 8.0 && capacity(STEP_UP_LOAD) < 8.0);
}

#[test_case(0.0, 0.5; "load of the rack's links over the uplink's capacity")]
#[test_case(0.4, 0.7; "increased by the shortfall")]
fn an_unreported_uplink_is_estimated_from_its_links(shortfall: f64, expected: f64) {
    let mut placement = placement_with(unreported(200.0), 3);
    for id in ["s0", "s2"] {
        placement.record_link_load(&id.into(), 0.5, placement.now);
    }
    let shortfall = Shortfall { share: shortfall, at: placement.now };
    placement.uplinks.get_mut(&Rack(0)).unwrap().shortfall = shortfall;
    assert!((placement.uplink_sample(&placement.uplinks[&Rack(0)]).load - expected).abs() < 1e-9);
}

/// A decision by the number of short servers in the rack fails where only one of its servers holds a viewing:
/// it attributes every short link to the uplink.
#[test_case(0.5, 99_000.0, Some(1.25), None; "an older note on the link proves nothing")]
#[test_case(1.3, 100_000.0, Some(1.25), None; "a full link explains it")]
#[test_case(0.5, 100_000.0, None, Some(1.25); "a free link leaves the uplink")]
fn short_delivery_is_attributed_to_link_or_uplink(
    note: f64,
    at: f64,
    link_load: Option<f64>,
    uplink_load: Option<f64>,
) {
    let mut placement = placement_with(config(), 1);
    server_mut(&mut placement, "s0").link_note = LinkNote { load: note, at: Ms(at) };
    placement.record_delivered(&"s0".into(), 0.8, Ms(99_500.0));
    assert_eq!(placement.servers[&"s0".into()].sample.map(|sample| sample.load), link_load);
    assert_eq!(placement.uplinks[&Rack(0)].sample.map(|sample| sample.load), uplink_load);
}

/// Otherwise, when one link loses most of its rate in a slightly short rack, all of the loss is attributed to
/// the uplink and the rack gets no viewings.
#[test_case(0.3, Some(1.0 / 0.3), None; "far below the best of the rack: the link")]
#[test_case(0.88, None, Some(1.0 / 0.9); "near the best of the rack: the uplink")]
fn a_loss_at_a_single_link_is_not_attributed_to_the_uplink(
    share: f64,
    link_load: Option<f64>,
    uplink_load: Option<f64>,
) {
    let mut placement = placement_with(config(), 3);
    let now = placement.now;
    server_mut(&mut placement, "s2").delivered = Delivered { share: 0.9, at: Ms(99_500.0) };
    server_mut(&mut placement, "s0").link_note = LinkNote { load: 0.5, at: now };
    placement.record_delivered(&"s0".into(), share, Ms(99_500.0));
    assert_eq!(placement.servers[&"s0".into()].sample.map(|sample| sample.load), link_load);
    assert_eq!(placement.uplinks[&Rack(0)].sample.map(|sample| sample.load), uplink_load);
}

/// Otherwise links with a demand of four times their capacity make their rack look full.
#[test]
fn a_link_passes_no_more_than_its_capacity() {
    let mut placement = placement_with(unreported(200.0), 3);
    placement.record_link_load(&"s0".into(), 4.0, placement.now);
    placement.record_link_load(&"s2".into(), 0.2, placement.now);
    assert!((placement.links_load(&placement.uplinks[&Rack(0)]) - 0.6).abs() < 1e-9);
}

/// The links of a rack are summed once for each time; demand that this manager adds meanwhile counts at once.
#[test]
fn the_links_of_a_rack_are_summed_once_for_each_time() {
    let mut placement = placement_with(unreported(1000.0), 4);
    let (rack, before) = (Rack(0), placement.links_load(&placement.uplinks[&Rack(0)]));
    insert_playing(&mut placement, "one", "s0", 3);
    let after = placement.links_load(&placement.uplinks[&rack]);
    assert!((after - before - 8.0 / 1000.0).abs() < 1e-9, "{before} then {after}");
    server_mut(&mut placement, "s2").entry.availability = Availability::Gone;
    assert_eq!(after, placement.links_load(&placement.uplinks[&rack]));
    placement.now = placement.now + Ms(1.0);
    assert!(placement.links_load(&placement.uplinks[&rack]) < after);
}
