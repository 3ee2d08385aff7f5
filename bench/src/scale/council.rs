//! Slots, and how long the council's answers took.

use super::cluster::{Cluster, Page, Plan};
use super::rest::spread;
use super::{since, EVERY, LONG};
use crate::errors::BenchError;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HELD: &str = "ottersail_part_slots";
const ANSWERS: &str = "ottersail_council_answer_seconds_";

/// Two leases as the settings have them unless told.
const SOME: Duration = Duration::from_secs(20);

/// Counts by ask, outcome and bound, of one page.
type Counts = BTreeMap<(String, String), f64>;

/// `..._bucket{le="0.1",ask="change",outcome="done"} 3`, whatever the labels' order.
fn counts(page: &Page) -> Counts {
    let label = |it: &str, name: &str| {
        it.split([',', '{', '}'])
            .find_map(|it| Some(it.strip_prefix(name)?.strip_prefix("=\"")?.strip_suffix('"')?.to_string()))
    };
    let one = |it: &str| {
        let (labels, value) = it.rsplit_once(' ')?;
        let of = format!("{} {}", label(labels, "ask")?, label(labels, "outcome")?);
        Some(((of, label(labels, "le")?), value.parse().ok()?))
    };
    page.lines(&format!("{ANSWERS}bucket")).filter_map(one).collect()
}

/// Of all that run.
fn told(all: &Cluster) -> BTreeMap<u32, Counts> {
    all.up().map(|it| (it.1.id(), counts(&it.1.page()))).collect()
}

/// What was answered in between.
fn answers(title: &str, before: &BTreeMap<u32, Counts>, after: &BTreeMap<u32, Counts>) {
    let mut sums = Counts::new();
    for (id, counts) in after {
        for (of, value) in counts {
            let was = before.get(id).and_then(|it| it.get(of)).copied().unwrap_or(0.0);
            *sums.entry(of.clone()).or_default() += value - was;
        }
    }
    let outcomes: BTreeSet<String> = sums.keys().map(|it| it.0.clone()).collect();
    for outcome in outcomes {
        let mut bounds: Vec<(f64, f64)> = sums
            .iter()
            .filter(|it| it.0 .0 == outcome)
            .map(|it| (it.0 .1.parse().unwrap_or(f64::INFINITY), *it.1))
            .collect();
        bounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let count = bounds.last().map_or(0.0, |it| it.1);
        if count == 0.0 {
            continue;
        }
        let within = |part: f64| bounds.iter().find(|it| it.1 >= count * part).map_or(0.0, |it| it.0);
        let most = |bound: f64| bounds.iter().find(|it| it.0 >= bound).map_or(0.0, |it| it.1);
        println!(
            "  {title}: {outcome}: {count}; within 1 s {}, within 3 s {}; half, 99 of 100 and all \
             within {:?} s",
            most(1.0),
            most(3.0),
            [0.5, 0.99, 1.0].map(within)
        );
    }
}

/// Until each holds a slot.
pub fn fills(all: &Cluster, began: Instant, plan: &Plan) -> Result<(), BenchError> {
    let up: Vec<usize> = all.up().map(|it| it.0).collect();
    let seen = all.seen("each holds a slot", &up, (2 * LONG, EVERY), |it| it.figure(HELD) > 0.0)?;
    println!("each holds a slot, after the first start: {:.1?} s", spread(since(began, &seen)));
    let held: Vec<f64> = all.up().map(|it| it.1.page().figure(HELD)).collect();
    println!("  {} of {} slots held, {:.0?} each", held.iter().sum::<f64>(), plan.slots, spread(held));
    answers("since the start", &BTreeMap::new(), &told(all));
    Ok(())
}

fn slots(page: &Page) -> BTreeSet<u16> {
    page.lines("ottersail_part_slot{slot=\"").filter_map(|it| it.split('"').next()?.parse().ok()).collect()
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |it| it.as_secs_f64())
}

/// What one held before it was killed, and until when.
pub struct Slots {
    slots: BTreeSet<u16>,
    until: f64,
    told: BTreeMap<u32, Counts>,
}

impl Slots {
    pub fn of(all: &Cluster, victim: usize) -> Slots {
        let told = told(all);
        let page = all.nodes[victim].page();
        Slots { slots: slots(&page), until: page.figure("ottersail_part_until"), told }
    }

    /// Until others hold them, or for so long: what is left by rounding stays free. All pages are asked one after
    /// the other, again and again.
    pub fn move_on(self, all: &Cluster) -> Result<(), BenchError> {
        let (began, mut left, mut first) = (Instant::now(), self.slots.clone(), f64::NAN);
        let mut early = 0;
        while !left.is_empty() && began.elapsed() < SOME {
            for (_, node) in all.up() {
                let taken: Vec<u16> = slots(&node.page()).intersection(&left).copied().collect();
                taken.iter().for_each(|it| {
                    left.remove(it);
                });
                if !taken.is_empty() {
                    first = first.min(now() - self.until);
                    early += usize::from(now() < self.until) * taken.len();
                }
            }
        }
        println!(
            "its {} slots were with others {first:.1} to {:.1} s after its lease ran out; before that \
             {early}, not at all {}",
            self.slots.len(),
            now() - self.until,
            left.len()
        );
        answers("since before that death, all councillors well", &self.told, &told(all));
        Ok(())
    }
}

/// Two in five councillors are killed, and the dead start again at that moment: they ask for slots while
/// nobody knows yet which councillors are gone.
pub fn minority(all: &mut Cluster, dead: &[usize], plan: &Plan) -> Result<(), BenchError> {
    let before = told(all);
    let began = Instant::now();
    all.nodes[..plan.councillors / 2].iter_mut().for_each(|it| it.process = None);
    dead.iter().try_for_each(|it| all.nodes[*it].start())?;
    let seen = all.seen("each holds a slot", dead, (LONG, EVERY), |it| it.figure(HELD) > 0.0)?;
    println!(
        "a minority of councillors killed, {} started again: they hold slots after {:.1?} s",
        dead.len(),
        spread(since(began, &seen))
    );
    answers("since that kill", &before, &told(all));
    // The councillors' own slots go on too.
    std::thread::sleep(Duration::from_millis(u64::from(plan.lease_ms) * 3 / 2));
    answers("a lease and a half later", &before, &told(all));
    Ok(())
}
