//! Members and their council at size, between processes of the program, seen from outside only: by `/proc`
//! and the pages of figures.

mod cluster;
mod council;
mod rest;

use crate::errors::BenchError;
pub use cluster::Plan;
use cluster::{Cluster, Page};
use rest::{rest, spread};
use std::time::{Duration, Instant};

/// So many pages are looked at for a death, each so often: 120 a second at most, of all members together.
const SAMPLE: usize = 12;
const EVERY: Duration = Duration::from_millis(100);
const LONG: u64 = 60;

fn since(began: Instant, seen: &[Instant]) -> Vec<f64> {
    seen.iter().map(|it| (*it - began).as_secs_f64()).collect()
}

/// Starts all, lets them rest, kills some one after the other; with a council its slots too.
pub fn measure(plan: &Plan, seconds: u64, deaths: usize) -> Result<(), BenchError> {
    ottersail_daemon::run::raise_open_file_limit(0);
    let mut all = Cluster::new(plan)?;
    let Plan { members, councillors, .. } = plan;
    println!("{members} members, {councillors} councillors");
    all.plain.iter_mut().try_for_each(|it| it.start())?;
    let began = Instant::now();
    all.nodes.iter_mut().try_for_each(|it| it.start())?;
    println!("started within {:.2} s", began.elapsed().as_secs_f64());
    let others = (members - 1) as f64;
    let everybody: Vec<usize> = (0..*members).collect();
    let met = |it: &Page| it.figure("ottersail_members{state=\"alive\"}") == others;
    let seen = all.seen("all know all", &everybody, (LONG, EVERY), met)?;
    println!("all known, after the first start: {:.1?} s", spread(since(began, &seen)));
    if *councillors > 0 {
        council::fills(&all, began, plan)?;
    }
    if seconds > 0 {
        // What coming in has left to be told is told by then.
        std::thread::sleep(Duration::from_secs(5));
        rest(&all, seconds);
    }
    let mut victims = Vec::new();
    for victim in (members - deaths.min(members - 1)..*members).rev() {
        victims.push(victim);
        let moving = (*councillors > 0 && victims.len() == deaths).then(|| council::Slots::of(&all, victim));
        dies(&mut all, victim, &victims)?;
        moving.map_or(Ok(()), |it| it.move_on(&all))?;
    }
    if *councillors > 0 && !victims.is_empty() {
        council::minority(&mut all, &victims, plan)?;
    }
    Ok(())
}

/// One is killed: when a sample knows, and that all do.
fn dies(all: &mut Cluster, victim: usize, victims: &[usize]) -> Result<(), BenchError> {
    let name = all.nodes[victim].name.clone();
    let up: Vec<usize> = all.up().map(|it| it.0).filter(|it| *it != victim).collect();
    let apart = up.len().div_ceil(SAMPLE);
    let sample: Vec<usize> = up.iter().copied().step_by(apart).collect();
    let began = Instant::now();
    all.nodes[victim].process = None;
    let what = format!("the death of {name} is known");
    let seen = all.seen(&what, &sample, (LONG, EVERY), |it| it.holds_dead(&name))?;
    let known = spread(since(began, &seen));
    let all_of_them = all.seen(&what, &up, (LONG, EVERY), |it| it.holds_dead(&name))?;
    let last = all_of_them.last().map_or(0.0, |it| (*it - began).as_secs_f64());
    let wrong = up.iter().filter(|it| {
        all.nodes[**it].page().figure("ottersail_members{state=\"dead\"}") > victims.len() as f64
    });
    println!(
        "death of {name} known to {} looked at every {} ms after {known:.1?} s; to all {} by {last:.1} s; \
         members that hold somebody else for dead: {}",
        sample.len(),
        EVERY.as_millis(),
        up.len(),
        wrong.count()
    );
    Ok(())
}
