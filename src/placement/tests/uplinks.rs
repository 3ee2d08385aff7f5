//! What is learnt of uplinks.

use super::*;
use test_case::test_case;

// A burst left an uplink at 0.88 of what was asked for seconds: the tolerance of a link is too much for it.
#[test_case(true, 1.1, 52.0; "a reported one is brought down from 1.04")]
#[test_case(false, 1.1, 52.0; "so is one that short delivery shows")]
#[test_case(true, 0.8, 46.0; "a reported one is filled further than a link")]
#[test_case(false, 0.8, 40.0; "one that is not is filled like a link")]
fn uplinks_come_down_sooner(reported: bool, fill: f64, expected: f64) {
    let mut it = placement(PlacementConfig { uplinks_reported: reported, ..terms() }, 1);
    it.terms.link_unit_kb = 1e6;
    playing(&mut it, "a", "s0", 0);
    let seen = Some(Seen { asked: 1.0, own: (50.0, 1.0), at: it.now });
    let uplink = it.uplinks.get_mut(&Rack(0)).unwrap();
    (uplink.seen, uplink.own) = (seen, (50.0, 1.0));
    server(&mut it, "s0").own = (50.0, 1.0);
    assert!((it.capacity(&it.servers[&"s0".into()], fill) - expected).abs() < 1e-9);
}

/// Guards against: a note of an uplink costs a look at each server of its rack, whether asked for anything or not.
#[test]
fn servers_without_viewings_add_nothing_to_what_is_asked_of_an_uplink() {
    let mut it = placement(terms(), 40);
    let mut most = 0;
    for step in 0..200_usize {
        it.now = it.now + Ms(70.0);
        let (name, server) = (format!("v{}", step % 7), format!("s{}", step % 40));
        it.amend(&ViewingId::from(name.as_str()), |viewing| {
            viewing.phase = Phase::Over;
            viewing.tune_ins.iter_mut().for_each(|tune_in| tune_in.outcome = Some(Outcome::Served));
        });
        if step % 11 < 7 {
            playing(&mut it, &name, &server, step % 4);
        }
        it.note_uplink(&server.as_str().into(), 0.5, it.now);
        let uplink = &it.uplinks[&it.rack(&it.servers[&server.as_str().into()])];
        for at in [it.now, it.now - Ms(200.0)] {
            let sum = |ids: &BTreeSet<ServerId>| {
                ids.iter().map(|id| it.servers[id].own_at(at)).fold((0.0, 0.0), added)
            };
            assert_eq!(sum(&uplink.servers), sum(&uplink.asked));
        }
        most = most.max(uplink.asked.len());
    }
    assert!((2..20).contains(&most), "{most} of 20 servers looked at");
}

// Counts off by a fifth made the managers of an unreported uplink step down again and again.
#[test]
fn a_count_takes_nothing_from_viewings_that_play() {
    let mut it = placement(PlacementConfig { uplinks_reported: false, uplink_kb: 10.0, ..terms() }, 1);
    playing(&mut it, "a", "s0", 3);
    assert!(it.uplink_seen(&it.uplinks[&Rack(0)]).asked > 1.5);
    assert!(
        it.capacity(&it.servers[&"s0".into()], DOWN_FILL) > 8.0
            && it.capacity(&it.servers[&"s0".into()], UP_FILL) < 8.0
    );
}

#[test_case(0.0, 0.5; "a rack's links, over the uplink")]
#[test_case(0.4, 0.7; "times what short delivery showed to be missing")]
fn an_unreported_uplink_is_counted(missing: f64, expected: f64) {
    let mut it = placement(PlacementConfig { uplinks_reported: false, uplink_kb: 200.0, ..terms() }, 3);
    for id in ["s0", "s2"] {
        it.note_link(&id.into(), 0.5, it.now);
    }
    it.uplinks.get_mut(&Rack(0)).unwrap().missing = (missing, it.now);
    assert!((it.uplink_seen(&it.uplinks[&Rack(0)]).asked - expected).abs() < 1e-9);
}

// With one viewing in a rack, "most servers held there" was one: each short link was laid to the uplink.
#[test_case(0.5, 99_000.0, Some(1.25), None; "an older note on the link clears nothing")]
#[test_case(1.3, 100_000.0, Some(1.25), None; "a full link explains it")]
#[test_case(0.5, 100_000.0, None, Some(1.25); "a free link leaves it to the uplink")]
fn short_delivery_is_laid_to_link_or_uplink(note: f64, at: f64, link: Option<f64>, uplink: Option<f64>) {
    let mut it = placement(terms(), 1);
    server(&mut it, "s0").link_note = (note, Ms(at));
    it.note_delivered(&"s0".into(), 0.8, Ms(99_500.0));
    assert_eq!(it.servers[&"s0".into()].seen.map(|it| it.asked), link);
    assert_eq!(it.uplinks[&Rack(0)].seen.map(|it| it.asked), uplink);
}

// One link lost most of its rate in a rack a little short: all of it was laid to the uplink and the rack was
// shut.
#[test_case(0.3, Some(1.0 / 0.3), None; "far under the best of the rack is the link")]
#[test_case(0.88, None, Some(1.0 / 0.9); "an uplink gives no less than the best gets")]
fn a_sudden_loss_at_one_link(share: f64, link: Option<f64>, uplink: Option<f64>) {
    let mut it = placement(terms(), 3);
    server(&mut it, "s2").delivered = (0.9, Ms(99_500.0));
    server(&mut it, "s0").link_note = (0.5, it.now);
    it.note_delivered(&"s0".into(), share, Ms(99_500.0));
    assert_eq!(it.servers[&"s0".into()].seen.map(|it| it.asked), link);
    assert_eq!(it.uplinks[&Rack(0)].seen.map(|it| it.asked), uplink);
}

// Links asked for four times what they gave made their rack look full.
#[test]
fn a_link_passes_no_more_than_it_has() {
    let mut it = placement(PlacementConfig { uplinks_reported: false, uplink_kb: 200.0, ..terms() }, 3);
    it.note_link(&"s0".into(), 4.0, it.now);
    it.note_link(&"s2".into(), 0.2, it.now);
    assert!((it.counted(&it.uplinks[&Rack(0)]) - 0.6).abs() < 1e-9);
}

// A rack's links are summed once a moment; what the manager adds meanwhile counts at once.
#[test]
fn a_rack_is_summed_once_a_moment() {
    let mut it = placement(PlacementConfig { uplinks_reported: false, ..terms() }, 4);
    let (rack, before) = (Rack(0), it.counted(&it.uplinks[&Rack(0)]));
    playing(&mut it, "one", "s0", 3);
    let after = it.counted(&it.uplinks[&rack]);
    assert!((after - before - 8.0 / 1000.0).abs() < 1e-9, "{before} then {after}");
    server(&mut it, "s2").entry.availability = Availability::Gone;
    assert_eq!(after, it.counted(&it.uplinks[&rack]));
    it.now = it.now + Ms(1.0);
    assert!(it.counted(&it.uplinks[&rack]) < after);
}
