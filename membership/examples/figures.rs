//! Bytes and messages per second and member, and the time until a death is detected, in simulated time.

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::Network;

const SEED: u64 = 7;

/// The upper median.
fn upper_median(list: &mut [f64]) -> f64 {
    list.sort_by(f64::total_cmp);
    list.get(list.len() / 2).copied().unwrap_or(f64::NAN)
}

fn main() {
    println!("members | joined s | msg/s | bytes/s | longest | death detected s: first, median, last");
    for count in [3, 30, 200, 300, 2000] {
        let mut network = Network::of(count, SEED);
        let joined = network.run_until_consistent(300_000.0).unwrap_or(f64::NAN) / 1000.0;
        network.run(30_000.0);
        let totals = |network: &Network| {
            network.nodes.iter().fold((0, 0), |(sent, bytes), node| (sent + node.sent, bytes + node.bytes))
        };
        let before = totals(&network);
        network.run(30_000.0);
        let after = totals(&network);
        let per_second = |span: usize| span as f64 / count as f64 / 30.0;
        let deaths = 5.min(count - 2);
        let mut delays = Vec::new();
        for dead in 0..deaths {
            network.crash(dead);
            let crashed = network.now;
            network.run(if count == 2000 { 15_000.0 } else { 30_000.0 });
            let id = network.id(dead);
            let running = network.nodes.iter().filter(|node| node.members.is_some());
            delays.extend(
                running
                    .filter_map(|node| node.death_of(id, crashed))
                    .map(|(when, _)| (when - crashed) / 1000.0),
            );
        }
        let wanted: usize = (0..deaths).map(|dead| count - 1 - dead).sum();
        let detected = delays.len();
        let median = upper_median(&mut delays);
        println!(
            "{count:7} | {joined:9.1} | {:5.1} | {:7.0} | {:7} | {:.1} {median:.1} {:.1} ({detected} of {wanted})",
            per_second(after.0 - before.0),
            per_second(after.1 - before.1),
            network.nodes.iter().map(|node| node.longest).max().unwrap_or(0),
            delays.first().unwrap_or(&f64::NAN),
            delays.last().unwrap_or(&f64::NAN),
        );
    }
}
