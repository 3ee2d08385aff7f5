//! Short, dense trials over loopback: a few managers, faults drawn from a seed, judged from the sockets.

mod faults;
mod later;
mod settings;
mod trial;

use trial::Trial;

/// Each seed settles settings, load, faults, their order and their times.
const SEEDS: [u64; 4] = [2, 6, 8, 12];
/// Trials that are played side by side.
const TOGETHER: usize = 4;

/// The usual seeds, or by hand a range of others: `OTTERSAIL_SOAK=5..55 cargo test -p ottersail-daemon --test soak`.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("OTTERSAIL_SOAK") else {
        return SEEDS.to_vec();
    };
    let ends = range.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    let (from, to): (u64, u64) = ends.expect("OTTERSAIL_SOAK is a range of seeds, such as 5..55");
    (from..to).collect()
}

#[test]
fn the_rules_hold_under_faults_drawn_from_a_seed() {
    let (seeds, mut failed) = (seeds(), Vec::new());
    for together in seeds.chunks(TOGETHER) {
        let play = |seed: &u64| {
            let seed = *seed;
            (seed, std::thread::spawn(move || Trial::play(seed)))
        };
        let playing: Vec<_> = together.iter().map(play).collect();
        failed.extend(playing.into_iter().filter_map(|(seed, trial)| trial.join().err().map(|_| seed)));
    }
    assert!(!seeds.is_empty() && failed.is_empty(), "seeds that broke a rule: {failed:?}");
}
