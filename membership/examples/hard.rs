//! Hard cases in simulated time: seven in ten killed at once, loss, a starved member, pauses, and one that
//! stood still while nobody hears it. `cargo run --release -p ottersail-membership --example hard`

#[path = "../tests/sim/mod.rs"]
mod sim;

use ottersail_membership::State;
use sim::Net;

fn settled(count: usize, seed: u64) -> Net {
    let mut net = Net::of(count, seed);
    net.until_right(60_000.0);
    net.run(3000.0);
    net
}

fn deaths(net: &Net, since: f64) -> usize {
    net.nodes.iter().map(|node| node.turns(since, State::Dead)).sum()
}

/// Smallest, middle and greatest.
fn three(list: &mut [f64]) -> String {
    list.sort_by(f64::total_cmp);
    let at = |part: usize| list.get(((list.len().max(1) - 1) * part) / 2).copied().unwrap_or(f64::NAN);
    format!("{:.1} {:.1} {:.1}", at(0), at(1), at(2))
}

/// Seven in ten killed at once: seconds until all that are left hold all of them dead, and each other alive.
fn mass(count: usize, seeds: u64) {
    let (mut took, mut wrongly, mut health, mut bytes) = (Vec::new(), 0, 0, 0.0f64);
    for seed in 100..100 + seeds {
        let mut net = settled(count, seed);
        let left = count * 3 / 10;
        (left..count).for_each(|at| net.crash(at));
        let from = net.now;
        let sent = |net: &Net| net.nodes[..left].iter().map(|it| it.bytes).sum::<usize>();
        let before = sent(&net);
        let held = |net: &Net| {
            let up = |of: usize| {
                net.nodes[of].members.as_ref().map_or(0, |it| {
                    let it = it.counters();
                    it.alive + it.suspect
                })
            };
            (0..left).map(up).sum::<u64>() as usize
        };
        while held(&net) > left * (left - 1) && net.now - from < 120_000.0 {
            net.run(100.0);
            for it in &net.nodes[..left] {
                health = health.max(it.members.as_ref().map_or(0, |it| it.counters().health));
            }
        }
        let span = (net.now - from) / 1000.0;
        took.push(span);
        bytes = bytes.max((sent(&net) - before) as f64 / left as f64 / span);
        let ids: Vec<_> = (0..left).map(|it| net.id(it)).collect();
        wrongly +=
            net.nodes[..left].iter().flat_map(|it| ids.iter().filter_map(|id| it.buried(*id, from))).count();
    }
    println!(
        "mass {count:4}: known to all after s {}; living buried {wrongly}, \
         health at most {health}, {bytes:.0} bytes/s at most",
        three(&mut took)
    );
}

fn loss(count: usize, loss: usize, dials: bool, seeds: u64) {
    let (mut all, mut healed) = (Vec::new(), Vec::new());
    for seed in 50..50 + seeds {
        let mut net = settled(count, seed);
        let from = net.now;
        (net.loss, net.dials) = (loss, dials);
        net.run(60_000.0);
        all.push(deaths(&net, from));
        net.loss = 0;
        healed.push(net.until_right(60_000.0).unwrap_or(f64::NAN) / 1000.0);
    }
    let way = if dials { "second way" } else { "no second way" };
    println!("loss {loss} of {count}, {way}: deaths a minute {all:?}, healed s {}", three(&mut healed));
}

fn starved(count: usize) {
    let (mut suspected, mut buried) = (0, 0);
    for seed in 70..80 {
        let mut net = settled(count, seed);
        let from = net.now;
        net.nodes[7].starved = Some((3000.0, 1000.0));
        net.run(120_000.0);
        suspected += net.nodes.iter().map(|node| node.turns(from, State::Suspect)).sum::<usize>();
        buried += deaths(&net, from);
    }
    println!("starved one of {count}, 10 times 120 s: {suspected} suspicions, {buried} deaths");
}

fn pauses(span: f64, how_many: usize) {
    const COUNT: usize = 12;
    let (mut during, mut after, mut healed) = (0, 0, Vec::new());
    for seed in 60..70 {
        let mut net = settled(COUNT, seed);
        let from = net.now;
        (COUNT - how_many..COUNT).for_each(|at| net.nodes[at].paused_until = from + span);
        net.run(span);
        during += deaths(&net, from);
        let awake = net.now;
        healed.push(net.until_right(10_000.0).unwrap_or(f64::NAN) / 1000.0);
        net.run(20_000.0);
        after += deaths(&net, awake);
    }
    println!(
        "pause {span} ms of {how_many} of {COUNT}: {during} deaths in it, \
         {after} after, healed s {}",
        three(&mut healed)
    );
}

/// Nobody hears the last for 5 s (or it hears nobody), a fifth of all is lost for the first 3 s; it may stand
/// still for 2 s from the first on. Connections pass.
fn cut(there: bool, still: bool) {
    const COUNT: usize = 30;
    let (mut plays, mut holders, mut suspected) = (0, 0, 0);
    for seed in 200..260 {
        let mut net = settled(COUNT, seed);
        let from = net.now;
        (net.loss, net.second_way) = (20, true);
        net.run(2000.0);
        for who in [6, 14, 28] {
            for other in 0..COUNT {
                net.cuts.insert(if there { (who, other) } else { (other, who) });
            }
        }
        net.run(1000.0);
        if still {
            net.nodes[28].paused_until = net.now + 2000.0;
        }
        net.run(2000.0);
        net.loss = 0;
        net.run(2000.0);
        let dead =
            (0..COUNT).filter(|of| (0..COUNT).any(|it| net.state(*of, it) == Some(State::Dead))).count();
        plays += usize::from(dead * 2 > COUNT);
        holders += dead;
        suspected += net.nodes.iter().map(|node| node.turns(from, State::Suspect)).sum::<usize>();
    }
    let way = if there { "nobody hears three" } else { "three hear nobody" };
    println!(
        "{way}, still {still}: of 60 plays {plays} with one dead to most, \
         {holders} holders, {suspected} suspicions"
    );
}

fn main() {
    let what = std::env::args().nth(1).unwrap_or_default();
    let all = what.is_empty();
    if all || what.contains('m') {
        [(10, 20), (60, 20)].iter().for_each(|it| mass(it.0, it.1));
    }
    if all || what.contains('M') {
        mass(200, 20);
    }
    if all || what.contains('l') {
        for dials in [false, true] {
            [20, 40].iter().for_each(|it| loss(12, *it, dials, 60));
        }
    }
    if all || what.contains('L') {
        [20, 40].iter().for_each(|it| loss(60, *it, true, 3));
    }
    if all || what.contains('p') {
        starved(12);
        for (span, how_many) in [(500.0, 4), (2000.0, 1), (2000.0, 4), (10_000.0, 1), (10_000.0, 4)] {
            pauses(span, how_many);
        }
    }
    if all || what.contains('c') {
        for (there, still) in [(true, false), (false, false), (true, true), (false, true)] {
            cut(there, still);
        }
    }
}
