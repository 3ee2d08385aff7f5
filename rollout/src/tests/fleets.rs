//! How long a release takes with nothing wrong, simulated.

use super::checker::Checker;
use super::histories::order;
use super::simulation::*;
use crate::*;
use test_case::test_case;

/// Each out for 6 s: 1 s until it is started, 2.5 s until it is whole, 2.5 s settling.
fn release(members: usize, seed: u64) -> (f64, f64, usize) {
    let mut order = order(1, members, 3, "v2", State::Go);
    order.bounds.zones.clear();
    order.steps = vec![Step::Count(1), Step::PerMille(50), Step::PerMille(250), Step::PerMille(1_000)];
    let checker = Checker::new(order.bounds.clone(), order.use_ms);
    let mut simulation = Simulation::new(seed, members, 5, checker, Guards::all());
    simulation.start = (2.4e3, 2.6e3);
    simulation.run(Ms(5e3));
    simulation.send(0, 1, &Body::File(order));
    let mut whole = Vec::new();
    while simulation.nodes.iter().any(|it| !it.ready || it.version != name("v2")) {
        assert!(simulation.now < Ms(3_600e3), "not through within an hour");
        let next = simulation.now + Ms(100.0);
        simulation.run(next);
        whole.push(simulation.checker.out.len());
    }
    assert_eq!(simulation.checker.broken, None);
    let mean = whole.iter().sum::<usize>() as f64 / whole.len() as f64;
    ((simulation.now.0 - 5e3) / 1e3, mean, simulation.checker.most_seen)
}

#[test_case(60)]
#[test_case(200)]
fn a_release_takes_at_most_twice_the_bounds_own_limit(members: usize) {
    let (seconds, mean, most) = release(members, 1);
    let limit = members as f64 / 3.0 * 6.0;
    println!("{members}: {seconds:.0} s, limit {limit:.0} s; out: mean {mean:.2}, most {most}");
    assert!(seconds < limit * 2.0 && most == 3);
}
