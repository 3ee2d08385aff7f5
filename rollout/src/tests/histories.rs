//! Random histories of whole fleets, checked in true time.

use super::checker::Checker;
use super::simulation::*;
use crate::*;
use ottersail_membership::rng::SeededRng;
use test_case::test_case;

/// An order of a history with the versions v1, v2 and v3; in some histories v3 never gets ready.
pub fn order(serial: u64, members: usize, most_out: u16, version: &str, state: State) -> Order {
    let mut zones = std::collections::BTreeMap::new();
    for node in 0..members {
        zones.entry(zone(node)).or_insert((0, most_out.div_ceil(2))).0 += 1;
    }
    Order {
        serial: Serial(serial),
        name: name("day"),
        scope: Scope::All,
        version: name(version),
        previous_version: name("v1"),
        steps: vec![Step::Count(1), Step::PerMille(250), Step::PerMille(1_000)],
        settle_ms: 2_500,
        use_ms: 4_000,
        bounds: Bounds { fleet: members as u16, most_out, zones, least_holders: 0, headroom: 0 },
        halt_policy: HaltPolicy { by_evidence: true, alarms: 100, points: 5 },
        state,
        struck: vec![],
    }
}

struct Operator {
    files: Vec<Order>,
}

impl Operator {
    /// Some manager reads a file and sends it to some councillor; sometimes two managers do so at once.
    fn reads(&mut self, simulation: &mut Simulation) {
        let last = self.files.last().unwrap().clone();
        let state = [State::Go, State::Go, State::Halt, State::Back][simulation.chance.below(4)];
        let version = ["v2", "v2", "v3"][simulation.chance.below(3)];
        let mut next = order(last.serial.0 + 1, simulation.nodes.len(), last.bounds.most_out, version, state);
        if simulation.chance.below(4) == 0 {
            let node = simulation
                .nodes
                .iter()
                .position(|it| !it.up)
                .unwrap_or(simulation.chance.below(simulation.nodes.len()));
            next.struck = vec![[name(&format!("m{node}")), name(&id(node).to_string())]
                [simulation.chance.below(2)]
            .clone()];
        }
        if simulation.chance.below(3) == 0 {
            // The second file has another order under the same serial.
            let state = [State::Go, State::Back][simulation.chance.below(2)];
            self.asks(simulation, Order { state, ..next.clone() });
        }
        self.asks(simulation, next.clone());
        self.files.push(next);
    }

    fn asks(&self, simulation: &mut Simulation, file: Order) {
        let (from, to) = (
            simulation.chance.below(simulation.nodes.len()),
            simulation.chance.below(simulation.councillors),
        );
        simulation.send(from, to, &Body::File(file));
    }
}

/// Injects one random fault.
fn fault(simulation: &mut Simulation, operator: &mut Operator) {
    let members = simulation.nodes.len();
    let (one, other) = (simulation.chance.below(members), simulation.chance.below(members));
    match simulation.chance.below(14) {
        0 => simulation.kill(one, true),
        1 if simulation.chance.below(4) == 0 => (0..members).for_each(|it| {
            if simulation.chance.below(10) < 7 {
                simulation.kill(it, true);
            }
        }),
        1 | 2 => {
            simulation.nodes[one].paused_until = simulation.now + Ms(simulation.chance.fraction() * 12e3)
        }
        3 => simulation.nodes[one % simulation.councillors].paused_until = simulation.now + Ms(10e3),
        4 => drop(simulation.cut.insert((one, other))),
        5 => simulation
            .cut
            .extend((0..members).map(|it| (it, one % simulation.councillors)).filter(|it| it.0 != it.1)),
        6 => {
            // This member cannot reach most councillors, but receives everything.
            let most = simulation.councillors / 2 + 1;
            simulation.cut.extend((0..most).map(|it| (one, it)).filter(|it| it.0 != it.1));
        }
        7 => {
            let side: Vec<usize> = (0..members).map(|_| simulation.chance.below(2)).collect();
            let pairs = (0..members * members).map(|it| (it / members, it % members));
            simulation.cut.extend(pairs.filter(|it| side[it.0] != side[it.1]));
        }
        8 | 9 => simulation.cut.clear(),
        10 => operator.reads(simulation),
        // An old file is read again.
        11 => {
            let old = operator.files[simulation.chance.below(operator.files.len())].clone();
            operator.asks(simulation, old);
        }
        12 if simulation.chance.below(4) == 0 => {
            simulation.input(one % simulation.councillors, |it, now, _| {
                it.coordinator.as_mut().into_iter().for_each(|it| it.on_verdict(now, "bad"));
            });
        }
        _ => {}
    }
    simulation.look(None);
}

fn new_history(seed: u64, guards: Guards) -> (Simulation, Operator) {
    let mut chance = SeededRng::new(seed ^ 0x5eed);
    let members = [7, 9, 12, 18][chance.below(4)];
    let councillors = if members > 7 { [3, 5][chance.below(2)] } else { 3 };
    let most_out = 1 + chance.below(3) as u16;
    let first = order(1, members, most_out, "v2", State::Go);
    let checker = Checker::new(first.bounds.clone(), first.use_ms);
    let mut simulation = Simulation::new(seed, members, councillors, checker, guards);
    simulation.bad = (chance.below(3) == 0).then(|| name("v3"));
    simulation.run(Ms(4e3));
    simulation.faults = Faults {
        loss: [0.0, 0.05, 0.3][chance.below(3)],
        slow: [0.0, 0.1][chance.below(2)],
        twice: [0.0, 0.2][chance.below(2)],
        killed: [0.0, 0.05][chance.below(2)],
        stopped: [0.0, 0.15][chance.below(2)],
        half: [0.0, 0.05][chance.below(2)],
    };
    let operator = Operator { files: vec![first.clone()] };
    operator.asks(&mut simulation, first);
    (simulation, operator)
}

/// A history with two minutes of faults.
fn run_with_faults(seed: u64, guards: Guards) -> (Simulation, Operator) {
    let (mut simulation, mut operator) = new_history(seed, guards);
    while simulation.now < Ms(120e3) && simulation.checker.broken.is_none() {
        let next = simulation.now + Ms(simulation.chance.fraction() * 4e3);
        simulation.run(next);
        for _ in 0..simulation.chance.below(3) {
            fault(&mut simulation, &mut operator);
        }
    }
    (simulation, operator)
}

/// Ends all faults and orders v2 for all members. Returns how long the release took, if it ended.
fn run_without_faults(simulation: &mut Simulation, operator: &mut Operator) -> Option<Ms> {
    (simulation.faults, simulation.bad) = (Faults::default(), None);
    simulation.cut.clear();
    let now = simulation.now;
    simulation.nodes.iter_mut().for_each(|it| it.paused_until = it.paused_until.min(now));
    simulation.run(now + Ms(20e3));
    for node in (0..simulation.nodes.len()).filter(|it| !simulation.nodes[*it].ready).collect::<Vec<_>>() {
        simulation.kill(node, false);
        simulation.begin(node, name("v1"));
    }
    let last = operator.files.last().unwrap();
    let members = simulation.nodes.len();
    let file = order(last.serial.0 + 1, members, last.bounds.most_out, "v2", State::Go);
    let begun = simulation.now;
    while simulation.now < begun + Ms(400e3) {
        operator.asks(simulation, file.clone());
        let next = simulation.now + Ms(2e3);
        simulation.run(next);
        if simulation.nodes.iter().all(|it| it.ready && it.version == name("v2")) {
            return Some(simulation.now - begun);
        }
    }
    None
}

fn history(seed: u64, guards: Guards) -> Result<(usize, usize), String> {
    let (mut simulation, mut operator) = run_with_faults(seed, guards);
    let ended = if simulation.checker.broken.is_none() {
        run_without_faults(&mut simulation, &mut operator)
    } else {
        None
    };
    match simulation.checker.broken {
        Some((at, broken)) => Err(format!("seed {seed}: {broken:?} at {at:?}")),
        None if ended.is_none() => Err(format!("seed {seed}: it does not end")),
        None => Ok((simulation.checker.went, simulation.checker.halts)),
    }
}

fn histories(seeds: std::ops::Range<u64>) {
    let all: Vec<_> = seeds.map(|it| history(it, Guards::all())).collect();
    let broken: Vec<_> = all.iter().filter_map(|it| it.as_ref().err()).take(5).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let sum = |of: fn(&(usize, usize)) -> usize| all.iter().flatten().map(of).sum::<usize>();
    println!("{} histories, {} went out by order, {} halts", all.len(), sum(|it| it.0), sum(|it| it.1));
    assert!(sum(|it| it.0) > all.len() * 10 && sum(|it| it.1) > all.len() / 4);
}

#[test_case(0..125; "first")]
#[test_case(125..250; "second")]
#[test_case(250..375; "third")]
#[test_case(375..500; "fourth")]
fn bounds_hold_and_the_release_ends(seeds: std::ops::Range<u64>) {
    histories(seeds);
}

#[test_case(500..1_700; "first")]
#[test_case(1_700..2_900; "second")]
#[test_case(2_900..4_000; "third")]
#[ignore = "minutes"]
fn long_search(seeds: std::ops::Range<u64>) {
    histories(seeds);
}

// Each range begins shortly before the first seed that fails, which saves minutes; docs/releases.md lists the first
// failing seed counted from 0.
#[test_case(|it| it.count_unready_as_out = false, 0..300; "accidents")]
#[test_case(|it| it.count_permits_as_out = false, 0..300; "permits")]
#[test_case(|it| it.zone_bounds = false, 0..300; "zones")]
#[test_case(|it| it.current_order_only = false, 0..1_500; "order")]
#[test_case(|it| it.return_needs_evidence = false, 0..300; "life")]
#[test_case(|it| it.one_councillor_out = false, 0..300; "councillors")]
#[test_case(|it| it.check_expiry = false, 500..1_500; "in time")]
#[test_case(|it| it.recheck_before_leaving = false, 270..1_500; "stop first")]
#[test_case(|it| it.status_expiry = false, 210..1_500; "fresh")]
#[test_case(|it| it.serial_order = false, 0..1_500; "serials")]
fn removing_a_guard_breaks_a_history(take_out: fn(&mut Guards), mut seeds: std::ops::Range<u64>) {
    let mut guards = Guards::all();
    take_out(&mut guards);
    let broken = |seed: u64| Some((seed, run_with_faults(seed, guards).0.checker.broken?));
    let first = seeds.find_map(broken);
    println!("first broken: {first:?}");
    assert!(first.is_some(), "{seeds:?}: histories without it and no harm");
}

#[test]
#[ignore = "by hand, for one that breaks: SEED=8"]
fn one_by_hand() {
    let seed = std::env::var("SEED").unwrap().parse().unwrap();
    let (mut simulation, mut operator) = run_with_faults(seed, Guards::all());
    let ended = run_without_faults(&mut simulation, &mut operator);
    for (at, note) in simulation.events.iter().rev().take(12).rev() {
        println!("{at:?} {note}");
    }
    let coordinator = simulation.nodes[0].coordinator.as_ref().unwrap();
    println!("{:#?}\n{:?}", coordinator.view(simulation.local(0)), coordinator.permits);
    assert!(ended.is_some() && simulation.checker.broken.is_none());
}
