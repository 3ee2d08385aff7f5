//! Replays long random histories and compares a checksum over all actions. A refactoring leaves the checksums
//! as they are, random draws included; a change of the decisions replaces them.

mod inputs;

use inputs::{
    entry, live_titles, load, many_managers, outcome, reported_uplinks, reports_on_probe, request,
    unreported_uplinks, InputRng,
};
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

/// A viewing with a tune-in in progress, or that plays.
#[derive(Clone)]
struct Placed {
    server: ServerId,
    tune_ins: usize,
    playing: bool,
}

/// Sums up the actions and tracks where each viewing is.
#[derive(Default)]
struct Recorder {
    checksum: u64,
    actions: usize,
    placed: BTreeMap<ViewingId, Placed>,
    /// Servers with an unanswered probe.
    probes: Vec<ServerId>,
}

impl Recorder {
    fn add(&mut self, text: &str, numbers: &[f64]) {
        let numbers = numbers.iter().flat_map(|number| number.to_bits().to_le_bytes());
        let mix = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        self.checksum = text.bytes().chain(numbers).fold(self.checksum, mix);
        self.actions += 1;
    }
}

impl PlacementActions for Recorder {
    fn tune_in(&mut self, viewing: &ViewingId, server: &ServerId, time_out: Ms) {
        self.add(&format!("relay {viewing} {server}"), &[time_out.0]);
        let earlier = self.placed.get(viewing).map_or(0, |placed| placed.tune_ins);
        let placed = Placed { server: server.clone(), tune_ins: earlier + 1, playing: false };
        self.placed.insert(viewing.clone(), placed);
    }
    fn step_to(&mut self, viewing: &ViewingId, rung: Rung) {
        self.add(&format!("step {viewing} {}", rung.0), &[]);
    }
    fn shed(&mut self, viewing: &ViewingId, stay_away: Option<Ms>) {
        self.add(&format!("shed {viewing}"), &[stay_away.map_or(-1.0, |span| span.0)]);
        self.placed.remove(viewing);
    }
    fn abort(&mut self, viewing: &ViewingId) {
        self.add(&format!("abort {viewing}"), &[]);
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

/// Calm and crowded periods alternate, and in some periods delivery is short though links are not full. Now
/// and then several inputs have the same time.
fn replay(config: PlacementConfig, seed: u64) -> Recorder {
    let (mut rng, mut recorder, mut now) = (InputRng(seed), Recorder::default(), Ms(0.0));
    let mut placement = Placement::new(now, seed, config, &mut recorder);
    let list: Vec<ServerEntry> =
        (0..SERVERS).map(|number| ServerEntry { started: None, ..entry(&mut rng, number, now) }).collect();
    placement.update_servers(now, ListMode::Full, &list, &mut recorder);
    for step in 0..STEPS {
        let (crowded, short) = (step / 300 % 2 == 1, step / 500 % 2 == 1);
        if rng.below(3) > 0 {
            now = now + Ms(if crowded { 25.0 } else { 90.0 } * rng.unit());
        }
        let count = recorder.placed.len().max(1);
        let chosen = recorder.placed.iter().nth(rng.below(count));
        let chosen = chosen.map(|(id, placed)| (id.clone(), placed.clone()));
        match (rng.below(if crowded { 22 } else { 30 }), chosen) {
            (0..=6, _) => placement.request_viewing(now, request(&mut rng, step, now), &mut recorder),
            (7..=12, Some((id, Placed { server, playing: false, .. }))) => {
                recorder.placed.entry(id.clone()).and_modify(|placed| placed.playing = true);
                placement.viewing_started(now, &id, &server, &mut recorder);
                let load = 0.6 + 0.5 * rng.unit();
                placement.note_received(now, &id, Topic::LinkAsked, load, &server, &mut recorder);
            }
            (7..=10, Some((id, Placed { server, tune_ins, .. }))) => {
                recorder.placed.remove(&id);
                let (tune_in, load, outcome) = (TuneInIndex(tune_ins - 1), load(&mut rng), Outcome::Served);
                placement.tune_in_ended(now, &id, tune_in, &server, outcome, true, load, &mut recorder);
            }
            (13, Some((id, Placed { server, tune_ins, playing }))) => {
                let (tune_in, load, outcome) = (TuneInIndex(tune_ins - 1), load(&mut rng), outcome(&mut rng));
                if playing {
                    recorder.placed.remove(&id);
                }
                placement.tune_in_ended(now, &id, tune_in, &server, outcome, playing, load, &mut recorder);
            }
            (14..=19, Some((id, Placed { server, playing: true, .. }))) => {
                let (topic, value) = match rng.below(8) {
                    0..=3 => (Topic::LinkAsked, 0.3 + rng.unit() * if short { 0.6 } else { 1.0 }),
                    4 | 5 => (Topic::UplinkAsked, 0.4 + rng.unit() * 0.8),
                    6 => (Topic::ShareDelivered, (0.8 + rng.unit() * if short { 0.2 } else { 0.4 }).min(1.0)),
                    _ => (Topic::RungInForce, rng.below(4) as f64),
                };
                placement.note_received(now, &id, topic, value, &server, &mut recorder);
            }
            (20, Some((id, _))) => placement.viewer_left(now, &id, &mut recorder),
            (21, _) if rng.below(3) == 0 => {
                let entry = entry(&mut rng, step % SERVERS, now);
                placement.update_servers(now, ListMode::Incremental, &[entry], &mut recorder);
            }
            (21, _) if rng.below(40) == 0 => {
                placement.update_servers(now, ListMode::Failed, &[], &mut recorder);
            }
            (22, _) if rng.below(8) == 0 => {
                let request = request(&mut rng, step, now);
                let server = ServerId::from(format!("s{}", step % SERVERS).as_str());
                let placed = Placed { server: server.clone(), tune_ins: 1, playing: true };
                recorder.placed.insert(request.viewing.clone(), placed);
                placement.adopt_viewing(now, request, server, &mut recorder);
            }
            (23..=26, _) if !recorder.probes.is_empty() => {
                let server = recorder.probes.swap_remove(0);
                let outcome = if rng.below(6) == 0 { outcome(&mut rng) } else { Outcome::Served };
                placement.probe_ended(now, &server, outcome, load(&mut rng), &mut recorder);
            }
            _ => placement.timer_fired(now, TimerTag(0), &mut recorder),
        }
    }
    for belief in placement.beliefs(now) {
        let (load, age) = belief.asked.map_or((-1.0, -1.0), |(load, age)| (load, age.0));
        let text = format!("{} {:?} {} {}", belief.server, belief.availability, belief.shunned, belief.cold);
        recorder.add(&text, &[]);
        recorder.add("", &[belief.held, load, age, f64::from(belief.failures)]);
    }
    recorder
}

#[test_case(reported_uplinks(), 13615, 0x3711_e1b7_e75a_06c3; "uplinks reported")]
#[test_case(unreported_uplinks(), 13057, 0x2da2_f941_b6ca_47ed; "uplinks not reported")]
#[test_case(reports_on_probe(), 13326, 0x7b0a_8809_03c0_240d; "load on probes only")]
#[test_case(live_titles(), 14482, 0x6d46_76ff_2a88_c048; "live titles")]
#[test_case(many_managers(), 12100, 0x8b63_2049_cfd0_74cf; "many managers")]
fn a_long_history_leads_to_the_same_actions(config: PlacementConfig, actions: usize, checksum: u64) {
    let histories: Vec<Recorder> = (1..=6).map(|seed| replay(config.clone(), seed * 0x9e37_79b9)).collect();
    let combined = histories.iter().fold(0, |sum: u64, history| sum.rotate_left(7) ^ history.checksum);
    let count: usize = histories.iter().map(|history| history.actions).sum();
    assert_eq!((count, format!("{combined:#018x}")), (actions, format!("{checksum:#018x}")));
}
