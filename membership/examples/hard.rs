//! Fault scenarios in simulated time: seven in ten members killed at once, packet loss, a member short of
//! CPU, pauses, and a paused member that nobody hears.
//!
//! `cargo run --release -p ottersail-membership --example hard`

#[path = "../tests/sim/mod.rs"]
mod sim;

use ottersail_membership::State;
use sim::Network;

fn settled(count: usize, seed: u64) -> Network {
    let mut network = Network::of(count, seed);
    network.run_until_consistent(60_000.0);
    network.run(3000.0);
    network
}

fn deaths(network: &Network, since: f64) -> usize {
    network.nodes.iter().map(|node| node.changes_into(since, State::Dead)).sum()
}

/// Smallest, median and greatest.
fn min_median_max(list: &mut [f64]) -> String {
    list.sort_by(f64::total_cmp);
    let quantile = |half: usize| list.get(((list.len().max(1) - 1) * half) / 2).copied().unwrap_or(f64::NAN);
    format!("{:.1} {:.1} {:.1}", quantile(0), quantile(1), quantile(2))
}

/// Kills seven in ten members at once and measures the seconds until all that are left consider all of them
/// dead and each other alive.
fn mass_failure(count: usize, seeds: u64) {
    let (mut took, mut wrongly, mut health, mut bytes) = (Vec::new(), 0, 0, 0.0f64);
    for seed in 100..100 + seeds {
        let mut network = settled(count, seed);
        let left = count * 3 / 10;
        (left..count).for_each(|index| network.crash(index));
        let from = network.now;
        let sent = |network: &Network| network.nodes[..left].iter().map(|node| node.bytes).sum::<usize>();
        let before = sent(&network);
        let members_up = |network: &Network| {
            let up = |observer: usize| {
                network.nodes[observer].members.as_ref().map_or(0, |members| {
                    let counters = members.counters();
                    counters.alive + counters.suspect
                })
            };
            (0..left).map(up).sum::<u64>() as usize
        };
        while members_up(&network) > left * (left - 1) && network.now - from < 120_000.0 {
            network.run(100.0);
            for node in &network.nodes[..left] {
                health = health.max(node.members.as_ref().map_or(0, |members| members.counters().health));
            }
        }
        let span = (network.now - from) / 1000.0;
        took.push(span);
        bytes = bytes.max((sent(&network) - before) as f64 / left as f64 / span);
        let ids: Vec<_> = (0..left).map(|index| network.id(index)).collect();
        wrongly += network.nodes[..left]
            .iter()
            .flat_map(|node| ids.iter().filter_map(|id| node.death_of(*id, from)))
            .count();
    }
    println!(
        "mass failure of {count:4}: detected by all after s {}; false deaths {wrongly}, \
         health at most {health}, {bytes:.0} bytes/s at most",
        min_median_max(&mut took)
    );
}

fn loss(count: usize, loss: usize, dials: bool, seeds: u64) {
    let (mut all, mut consistent_after) = (Vec::new(), Vec::new());
    for seed in 50..50 + seeds {
        let mut network = settled(count, seed);
        let from = network.now;
        (network.loss, network.dials) = (loss, dials);
        network.run(60_000.0);
        all.push(deaths(&network, from));
        network.loss = 0;
        consistent_after.push(network.run_until_consistent(60_000.0).unwrap_or(f64::NAN) / 1000.0);
    }
    let connections = if dials { "with connections" } else { "without connections" };
    println!(
        "loss {loss} of {count}, {connections}: deaths a minute {all:?}, consistent_after s {}",
        min_median_max(&mut consistent_after)
    );
}

fn starved(count: usize) {
    let (mut suspected, mut dead) = (0, 0);
    for seed in 70..80 {
        let mut network = settled(count, seed);
        let from = network.now;
        network.nodes[7].starved = Some((3000.0, 1000.0));
        network.run(120_000.0);
        suspected += network.nodes.iter().map(|node| node.changes_into(from, State::Suspect)).sum::<usize>();
        dead += deaths(&network, from);
    }
    println!("one of {count} short of CPU, 10 times 120 s: {suspected} suspicions, {dead} deaths");
}

fn pauses(span: f64, how_many: usize) {
    const COUNT: usize = 12;
    let (mut during, mut after, mut consistent_after) = (0, 0, Vec::new());
    for seed in 60..70 {
        let mut network = settled(COUNT, seed);
        let from = network.now;
        (COUNT - how_many..COUNT).for_each(|index| network.nodes[index].paused_until = from + span);
        network.run(span);
        during += deaths(&network, from);
        let awake = network.now;
        consistent_after.push(network.run_until_consistent(10_000.0).unwrap_or(f64::NAN) / 1000.0);
        network.run(20_000.0);
        after += deaths(&network, awake);
    }
    println!(
        "pause {span} ms of {how_many} of {COUNT}: {during} deaths in it, \
         {after} after, consistent_after s {}",
        min_median_max(&mut consistent_after)
    );
}

/// Three members are not heard (or hear nobody) for 5 s, while a fifth of all datagrams is lost for the first
/// 3 s; one of them may also be paused for 2 s from the first second on. Connections pass.
fn cut(unheard: bool, paused: bool) {
    const COUNT: usize = 30;
    let (mut runs, mut observers, mut suspected) = (0, 0, 0);
    for seed in 200..260 {
        let mut network = settled(COUNT, seed);
        let from = network.now;
        (network.loss, network.connections_pass_cuts) = (20, true);
        network.run(2000.0);
        for cut_member in [6, 14, 28] {
            for other in 0..COUNT {
                network.cuts.insert(if unheard { (cut_member, other) } else { (other, cut_member) });
            }
        }
        network.run(1000.0);
        if paused {
            network.nodes[28].paused_until = network.now + 2000.0;
        }
        network.run(2000.0);
        network.loss = 0;
        network.run(2000.0);
        let dead = (0..COUNT)
            .filter(|observer| (0..COUNT).any(|member| network.state(*observer, member) == Some(State::Dead)))
            .count();
        runs += usize::from(dead * 2 > COUNT);
        observers += dead;
        suspected += network.nodes.iter().map(|node| node.changes_into(from, State::Suspect)).sum::<usize>();
    }
    let direction = if unheard { "three are not heard" } else { "three hear nobody" };
    println!(
        "{direction}, paused {paused}: of 60 runs {runs} with a member dead to most, \
         {observers} observers, {suspected} suspicions"
    );
}

fn main() {
    let scenarios = std::env::args().nth(1).unwrap_or_default();
    let all = scenarios.is_empty();
    if all || scenarios.contains('m') {
        [(10, 20), (60, 20)].iter().for_each(|(count, seeds)| mass_failure(*count, *seeds));
    }
    if all || scenarios.contains('M') {
        mass_failure(200, 20);
    }
    if all || scenarios.contains('l') {
        for dials in [false, true] {
            [20, 40].iter().for_each(|percent| loss(12, *percent, dials, 60));
        }
    }
    if all || scenarios.contains('L') {
        [20, 40].iter().for_each(|percent| loss(60, *percent, true, 3));
    }
    if all || scenarios.contains('p') {
        starved(12);
        for (span, how_many) in [(500.0, 4), (2000.0, 1), (2000.0, 4), (10_000.0, 1), (10_000.0, 4)] {
            pauses(span, how_many);
        }
    }
    if all || scenarios.contains('c') {
        for (unheard, paused) in [(true, false), (false, false), (true, true), (false, true)] {
            cut(unheard, paused);
        }
    }
}
