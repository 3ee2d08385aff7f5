//! What members cost that have nothing to do.

use super::cluster::{Cluster, Node};
use ottersail_fault_injection::resource_usage;
use std::time::{Duration, Instant};

/// Of IPv4 and UDP, for each datagram.
const HEADS: f64 = 28.0;
const SENT: [&str; 2] =
    ["ottersail_member_bytes_total{way=\"out\"}", "ottersail_member_datagrams_total{way=\"out\"}"];

/// The least, median, 99th of 100, and greatest.
pub fn spread(mut all: Vec<f64>) -> [f64; 4] {
    all.sort_by(f64::total_cmp);
    let at = |part: f64| all.get(((all.len().max(1) - 1) as f64 * part).round() as usize).copied();
    [0.0, 0.5, 0.99, 1.0].map(|it| at(it).unwrap_or(f64::NAN))
}

pub fn mean(all: &[f64]) -> f64 {
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

struct Look {
    sent: Vec<(Instant, [f64; 2])>,
    cpu: Vec<(Instant, f64)>,
}

/// Pages are fetched outside of the span over which processor time is counted, so that they are not in it.
fn sent(nodes: &[&Node]) -> Vec<(Instant, [f64; 2])> {
    let look = |it: &&Node| {
        let page = it.page();
        (Instant::now(), SENT.map(|it| page.figure(it)))
    };
    nodes.iter().map(look).collect()
}

fn cpu(nodes: &[&Node]) -> Vec<(Instant, f64)> {
    nodes.iter().map(|it| (Instant::now(), resource_usage(it.id()).unwrap_or_default().cpu_ms)).collect()
}

impl Look {
    /// Percent of a core, bytes and datagrams a second of each.
    fn until(&self, later: &Look) -> [Vec<f64>; 3] {
        let cpu = self.cpu.iter().zip(&later.cpu);
        let cpu = cpu.map(|(a, b)| (b.1 - a.1) / 10.0 / (b.0 - a.0).as_secs_f64()).collect();
        let sent = |of: usize| {
            let pairs = self.sent.iter().zip(&later.sent);
            pairs.map(|(a, b)| (b.1[of] - a.1[of]) / (b.0 - a.0).as_secs_f64()).collect::<Vec<_>>()
        };
        let (bytes, datagrams) = (sent(0), sent(1));
        let whole = bytes.iter().zip(&datagrams).map(|(bytes, count)| bytes + count * HEADS).collect();
        [cpu, whole, datagrams]
    }
}

/// Nobody is asked anything for so long.
pub fn rest(all: &Cluster, seconds: u64) {
    let members: Vec<&Node> = all.up().map(|it| it.1).collect();
    let plain: Vec<&Node> = all.plain.iter().collect();
    // What a page has cost is over by then.
    let pages = sent(&members);
    std::thread::sleep(Duration::from_millis(500));
    let (before, plain_before) = (Look { sent: pages, cpu: cpu(&members) }, cpu(&plain));
    std::thread::sleep(Duration::from_secs(seconds));
    let times = cpu(&members);
    let plain_after = cpu(&plain);
    let [cpu, bytes, datagrams] = before.until(&Look { sent: sent(&members), cpu: times });
    let own = plain_before.iter().zip(&plain_after);
    let own: Vec<f64> = own.map(|(a, b)| (b.1 - a.1) / 10.0 / (b.0 - a.0).as_secs_f64()).collect();
    let memory = |nodes: &[&Node]| -> Vec<f64> {
        nodes.iter().filter_map(|it| Some(resource_usage(it.id())?.memory_kb / 1e3)).collect()
    };
    println!("at rest, {seconds} s (least, median, 99th of 100, greatest):");
    println!(
        "  % of a core: mean {:.3}, {:.3?}; managers without members: mean {:.3}; more by {:.3}",
        mean(&cpu),
        spread(cpu.clone()),
        mean(&own),
        mean(&cpu) - mean(&own)
    );
    println!("  bytes sent a second, heads of {HEADS} a datagram included: {:.0?}", spread(bytes));
    println!("  datagrams sent a second: {:.2?}", spread(datagrams));
    println!(
        "  MB resident: {:.1?}; without members {:.1?}",
        spread(memory(&members)),
        spread(memory(&plain))
    );
    println!("  load {}", std::fs::read_to_string("/proc/loadavg").unwrap_or_default().trim());
}
