//! Random histories of whole fleets, judged in true time.

use super::judge::Judge;
use super::world::*;
use crate::*;
use ottersail_membership::rng::SeededRng;
use test_case::test_case;

/// By v1, v2 and v3; v3 never gets ready in some histories.
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
    /// A file is read at some manager: it asks some councillor, or two sides do at once.
    fn reads(&mut self, world: &mut World) {
        let last = self.files.last().unwrap().clone();
        let state = [State::Go, State::Go, State::Halt, State::Back][world.chance.below(4)];
        let version = ["v2", "v2", "v3"][world.chance.below(3)];
        let mut next = order(last.serial.0 + 1, world.nodes.len(), last.bounds.most_out, version, state);
        if world.chance.below(4) == 0 {
            let node =
                world.nodes.iter().position(|it| !it.up).unwrap_or(world.chance.below(world.nodes.len()));
            next.struck =
                vec![[name(&format!("m{node}")), name(&id(node).to_string())][world.chance.below(2)].clone()];
        }
        if world.chance.below(3) == 0 {
            // The other side means something else by the same serial.
            let state = [State::Go, State::Back][world.chance.below(2)];
            self.asks(world, Order { state, ..next.clone() });
        }
        self.asks(world, next.clone());
        self.files.push(next);
    }

    fn asks(&self, world: &mut World, file: Order) {
        let (from, to) = (world.chance.below(world.nodes.len()), world.chance.below(world.councillors));
        world.send(from, to, &Body::File(file));
    }
}

/// One of what goes wrong.
fn fault(world: &mut World, operator: &mut Operator) {
    let members = world.nodes.len();
    let (one, other) = (world.chance.below(members), world.chance.below(members));
    match world.chance.below(14) {
        0 => world.kill(one, true),
        1 if world.chance.below(4) == 0 => (0..members).for_each(|it| {
            if world.chance.below(10) < 7 {
                world.kill(it, true);
            }
        }),
        1 | 2 => world.nodes[one].paused_until = world.now + Ms(world.chance.fraction() * 12e3),
        3 => world.nodes[one % world.councillors].paused_until = world.now + Ms(10e3),
        4 => drop(world.cut.insert((one, other))),
        5 => world.cut.extend((0..members).map(|it| (it, one % world.councillors)).filter(|it| it.0 != it.1)),
        6 => {
            // What that one says does not get to most councillors; it hears all.
            let most = world.councillors / 2 + 1;
            world.cut.extend((0..most).map(|it| (one, it)).filter(|it| it.0 != it.1));
        }
        7 => {
            let side: Vec<usize> = (0..members).map(|_| world.chance.below(2)).collect();
            let pairs = (0..members * members).map(|it| (it / members, it % members));
            world.cut.extend(pairs.filter(|it| side[it.0] != side[it.1]));
        }
        8 | 9 => world.cut.clear(),
        10 => operator.reads(world),
        // An old file is read again, or evidence speaks.
        11 => {
            let old = operator.files[world.chance.below(operator.files.len())].clone();
            operator.asks(world, old);
        }
        12 if world.chance.below(4) == 0 => {
            world.input(one % world.councillors, |it, now, _| {
                it.conductor.as_mut().into_iter().for_each(|it| it.verdict(now, "bad"));
            });
        }
        _ => {}
    }
    world.look(None);
}

fn born(seed: u64, guards: Guards) -> (World, Operator) {
    let mut chance = SeededRng::new(seed ^ 0x5eed);
    let members = [7, 9, 12, 18][chance.below(4)];
    let councillors = if members > 7 { [3, 5][chance.below(2)] } else { 3 };
    let most_out = 1 + chance.below(3) as u16;
    let first = order(1, members, most_out, "v2", State::Go);
    let judge = Judge::new(first.bounds.clone(), first.use_ms);
    let mut world = World::new(seed, members, councillors, judge, guards);
    world.bad = (chance.below(3) == 0).then(|| name("v3"));
    world.run(Ms(4e3));
    world.ill = Ill {
        loss: [0.0, 0.05, 0.3][chance.below(3)],
        slow: [0.0, 0.1][chance.below(2)],
        twice: [0.0, 0.2][chance.below(2)],
        killed: [0.0, 0.05][chance.below(2)],
        stopped: [0.0, 0.15][chance.below(2)],
        half: [0.0, 0.05][chance.below(2)],
    };
    let operator = Operator { files: vec![first.clone()] };
    operator.asks(&mut world, first);
    (world, operator)
}

/// Two minutes of faults.
fn ill(seed: u64, guards: Guards) -> (World, Operator) {
    let (mut world, mut operator) = born(seed, guards);
    while world.now < Ms(120e3) && world.judge.broken.is_none() {
        let next = world.now + Ms(world.chance.fraction() * 4e3);
        world.run(next);
        for _ in 0..world.chance.below(3) {
            fault(&mut world, &mut operator);
        }
    }
    (world, operator)
}

/// Then all is well, and the operator orders v2 for all. Whether the release ends, and when.
fn well(world: &mut World, operator: &mut Operator) -> Option<Ms> {
    (world.ill, world.bad) = (Ill::default(), None);
    world.cut.clear();
    let now = world.now;
    world.nodes.iter_mut().for_each(|it| it.paused_until = it.paused_until.min(now));
    world.run(now + Ms(20e3));
    for node in (0..world.nodes.len()).filter(|it| !world.nodes[*it].ready).collect::<Vec<_>>() {
        world.kill(node, false);
        world.begin(node, name("v1"));
    }
    let last = operator.files.last().unwrap();
    let members = world.nodes.len();
    let file = order(last.serial.0 + 1, members, last.bounds.most_out, "v2", State::Go);
    let begun = world.now;
    while world.now < begun + Ms(400e3) {
        operator.asks(world, file.clone());
        let next = world.now + Ms(2e3);
        world.run(next);
        if world.nodes.iter().all(|it| it.ready && it.version == name("v2")) {
            return Some(world.now - begun);
        }
    }
    None
}

fn history(seed: u64, guards: Guards) -> Result<(usize, usize), String> {
    let (mut world, mut operator) = ill(seed, guards);
    let ended = if world.judge.broken.is_none() { well(&mut world, &mut operator) } else { None };
    match world.judge.broken {
        Some((at, broken)) => Err(format!("seed {seed}: {broken:?} at {at:?}")),
        None if ended.is_none() => Err(format!("seed {seed}: it does not end")),
        None => Ok((world.judge.went, world.judge.halts)),
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

// Ranges begin not far from the first that breaks, to save minutes; docs/releases.md has the first from 0.
#[test_case(|it| it.accidents = false, 0..300; "accidents")]
#[test_case(|it| it.permits = false, 0..300; "permits")]
#[test_case(|it| it.zones = false, 0..300; "zones")]
#[test_case(|it| it.order = false, 0..1_500; "order")]
#[test_case(|it| it.life = false, 0..300; "life")]
#[test_case(|it| it.councillors = false, 0..300; "councillors")]
#[test_case(|it| it.in_time = false, 500..1_500; "in time")]
#[test_case(|it| it.stop_first = false, 270..1_500; "stop first")]
#[test_case(|it| it.fresh = false, 210..1_500; "fresh")]
#[test_case(|it| it.serials = false, 0..1_500; "serials")]
fn without_a_guard_a_history_breaks(take_out: fn(&mut Guards), mut seeds: std::ops::Range<u64>) {
    let mut guards = Guards::all();
    take_out(&mut guards);
    let broken = |seed: u64| Some((seed, ill(seed, guards).0.judge.broken?));
    let first = seeds.find_map(broken);
    println!("first broken: {first:?}");
    assert!(first.is_some(), "{seeds:?}: histories without it and no harm");
}

#[test]
#[ignore = "by hand, for one that breaks: SEED=8"]
fn one_by_hand() {
    let seed = std::env::var("SEED").unwrap().parse().unwrap();
    let (mut world, mut operator) = ill(seed, Guards::all());
    let ended = well(&mut world, &mut operator);
    for (at, note) in world.notes.iter().rev().take(12).rev() {
        println!("{at:?} {note}");
    }
    let conductor = world.nodes[0].conductor.as_ref().unwrap();
    println!("{:#?}\n{:?}", conductor.view(world.local(0)), conductor.book);
    assert!(ended.is_some() && world.judge.broken.is_none());
}
