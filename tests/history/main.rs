//! Long made-up histories, and a sum over all that the decisions answered to each. Code that is only moved or
//! made simpler keeps the sums, draws of chance included; a change of what is decided writes them anew.

mod inputs;

use inputs::{entry, live, load, many, outcome, probed, terms, unreported, wish, Dice};
use ottersail::actions::PlacementActions;
use ottersail::config::PlacementConfig;
use ottersail::ids::{Rung, ServerId, TimerTag, TuneInIndex, ViewingId};
use ottersail::placement::Placement;
use ottersail::state::{ListMode, Outcome, ServerEntry, Topic};
use ottersail::time::Ms;
use std::collections::BTreeMap;
use test_case::test_case;

const SERVERS: usize = 12;
const STEPS: usize = 2_500;

/// Sums up what is said and keeps where each viewing stands.
#[derive(Default)]
struct World {
    sum: u64,
    said: usize,
    /// Of each viewing: where its tune-in is out or it plays, how many it had, and whether it plays.
    at: BTreeMap<ViewingId, (ServerId, usize, bool)>,
    probes: Vec<ServerId>,
}

impl World {
    fn add(&mut self, word: &str, numbers: &[f64]) {
        let bytes = word.bytes().chain(numbers.iter().flat_map(|it| it.to_bits().to_le_bytes()));
        self.sum = bytes.fold(self.sum, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
        self.said += 1;
    }
}

impl PlacementActions for World {
    fn tune_in(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms) {
        self.add(&format!("relay {vw} {server}"), &[time_out.0]);
        let no = self.at.get(vw).map_or(0, |it| it.1);
        self.at.insert(vw.clone(), (server.clone(), no + 1, false));
    }
    fn step_to(&mut self, vw: &ViewingId, rung: Rung) {
        self.add(&format!("step {vw} {}", rung.0), &[]);
    }
    fn shed(&mut self, vw: &ViewingId, stay_away: Option<Ms>) {
        self.add(&format!("shed {vw}"), &[stay_away.map_or(-1.0, |it| it.0)]);
        self.at.remove(vw);
    }
    fn abort(&mut self, vw: &ViewingId) {
        self.add(&format!("abort {vw}"), &[]);
    }
    fn schedule(&mut self, tag: TimerTag, at: Ms) {
        self.add(&format!("bell {}", tag.0), &[at.0]);
    }
    fn subscribe(&mut self) {
        self.add("subscribe", &[]);
    }
    fn probe(&mut self, server: &ServerId) {
        self.add(&format!("inspect {server}"), &[]);
        self.probes.push(server.clone());
    }
}

fn play(terms: PlacementConfig, seed: u64) -> World {
    let (mut dice, mut world, mut now) = (Dice(seed), World::default(), Ms(0.0));
    let mut placement = Placement::new(now, seed, terms, &mut world);
    let list: Vec<ServerEntry> =
        (0..SERVERS).map(|no| ServerEntry { started: None, ..entry(&mut dice, no, now) }).collect();
    placement.update_servers(now, ListMode::Full, &list, &mut world);
    for no in 0..STEPS {
        // Calm and crowds by turns, and spells in which delivery is short though links are not full; now and
        // then several inputs in one moment.
        let (crowd, short) = (no / 300 % 2 == 1, no / 500 % 2 == 1);
        if dice.below(3) > 0 {
            now = now + Ms(if crowd { 25.0 } else { 90.0 } * dice.part());
        }
        let standing = world.at.len().max(1);
        let one = world.at.iter().nth(dice.below(standing)).map(|(vw, at)| (vw.clone(), at.clone()));
        match (dice.below(if crowd { 22 } else { 30 }), one) {
            (0..=6, _) => placement.request_viewing(now, wish(&mut dice, no, now), &mut world),
            (7..=12, Some((vw, (server, _, false)))) => {
                world.at.entry(vw.clone()).and_modify(|it| it.2 = true);
                placement.viewing_started(now, &vw, &server, &mut world);
                placement.note_received(
                    now,
                    &vw,
                    Topic::LinkAsked,
                    0.6 + 0.5 * dice.part(),
                    &server,
                    &mut world,
                );
            }
            (7..=10, Some((vw, (server, tune_ins, _)))) => {
                world.at.remove(&vw);
                let (no, load) = (TuneInIndex(tune_ins - 1), load(&mut dice));
                placement.tune_in_ended(now, &vw, no, &server, Outcome::Served, true, load, &mut world);
            }
            (13, Some((vw, (server, tune_ins, playing)))) => {
                let (no, load, outcome) = (TuneInIndex(tune_ins - 1), load(&mut dice), outcome(&mut dice));
                if playing {
                    world.at.remove(&vw);
                }
                placement.tune_in_ended(now, &vw, no, &server, outcome, playing, load, &mut world);
            }
            (14..=19, Some((vw, (server, _, true)))) => {
                let (topic, value) = match dice.below(8) {
                    0..=3 => (Topic::LinkAsked, 0.3 + dice.part() * if short { 0.6 } else { 1.0 }),
                    4 | 5 => (Topic::UplinkAsked, 0.4 + dice.part() * 0.8),
                    6 => {
                        (Topic::ShareDelivered, (0.8 + dice.part() * if short { 0.2 } else { 0.4 }).min(1.0))
                    }
                    _ => (Topic::RungInForce, dice.below(4) as f64),
                };
                placement.note_received(now, &vw, topic, value, &server, &mut world);
            }
            (20, Some((vw, _))) => placement.viewer_left(now, &vw, &mut world),
            (21, _) if dice.below(3) == 0 => {
                let entry = entry(&mut dice, no % SERVERS, now);
                placement.update_servers(now, ListMode::Incremental, &[entry], &mut world);
            }
            (21, _) if dice.below(40) == 0 => {
                placement.update_servers(now, ListMode::Failed, &[], &mut world)
            }
            (22, _) if dice.below(8) == 0 => {
                let (wish, server) = (wish(&mut dice, no, now), format!("s{}", no % SERVERS));
                let server = ServerId::from(server.as_str());
                world.at.insert(wish.viewing.clone(), (server.clone(), 1, true));
                placement.adopt_viewing(now, wish, server, &mut world);
            }
            (23..=26, _) if !world.probes.is_empty() => {
                let server = world.probes.swap_remove(0);
                let outcome = if dice.below(6) == 0 { outcome(&mut dice) } else { Outcome::Served };
                placement.probe_ended(now, &server, outcome, load(&mut dice), &mut world);
            }
            _ => placement.timer_fired(now, TimerTag(0), &mut world),
        }
    }
    for it in placement.beliefs(now) {
        let (asked, age) = it.asked.map_or((-1.0, -1.0), |it| (it.0, it.1 .0));
        world.add(&format!("{} {:?} {} {}", it.server, it.availability, it.shunned, it.cold), &[]);
        world.add("", &[it.held, asked, age, f64::from(it.failures)]);
    }
    world
}

#[test_case(terms(), 13615, 0x3711_e1b7_e75a_06c3; "uplinks reported")]
#[test_case(unreported(), 13057, 0x2da2_f941_b6ca_47ed; "uplinks not reported")]
#[test_case(probed(), 13326, 0x7b0a_8809_03c0_240d; "load on probes only")]
#[test_case(live(), 14482, 0x6d46_76ff_2a88_c048; "live titles")]
#[test_case(many(), 12100, 0x8b63_2049_cfd0_74cf; "many managers")]
fn the_same_is_answered_to_a_long_history(terms: PlacementConfig, said: usize, sum: u64) {
    let all: Vec<World> = (1..=6).map(|seed| play(terms.clone(), seed * 0x9e37_79b9)).collect();
    let one = all.iter().fold(0, |sum: u64, it| sum.rotate_left(7) ^ it.sum);
    let count: usize = all.iter().map(|it| it.said).sum();
    assert_eq!((count, format!("{one:#018x}")), (said, format!("{sum:#018x}")));
}
