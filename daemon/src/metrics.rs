//! The manager's metrics in Prometheus' text format.

use crate::fleet::Fleet;
use crate::messages::CoreState;
use ottersail_front::{Counts, Front, Reply};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

type Labels = Vec<(&'static str, String)>;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// The number and the total duration of set-ups.
#[derive(Debug, Default)]
struct SetUpTotals {
    count: AtomicU64,
    micros: AtomicU64,
}

/// Histograms of how long answers to players and set-ups took. Clones share their values.
#[derive(Clone, Debug)]
pub struct Latencies {
    played: Histogram,
    refused: Histogram,
    set_up: Histogram,
    /// For the reports that members send to one another.
    set_up_totals: Arc<SetUpTotals>,
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies {
            played: Histogram::new(BUCKETS_S),
            refused: Histogram::new(BUCKETS_S),
            set_up: Histogram::new(BUCKETS_S),
            set_up_totals: Arc::default(),
        }
    }
}

impl Latencies {
    /// Records that a request was answered after `ms` milliseconds.
    pub fn record_answer(&self, reply: &Reply, ms: f64) {
        let histogram = if matches!(reply, Reply::Playlist(_)) { &self.played } else { &self.refused };
        histogram.observe(ms / 1e3);
    }

    /// Records a set-up that a server answered or that failed.
    pub fn record_set_up(&self, duration: Duration) {
        self.set_up.observe(duration.as_secs_f64());
        self.set_up_totals.count.fetch_add(1, Ordering::Relaxed);
        self.set_up_totals.micros.fetch_add(duration.as_micros() as u64, Ordering::Relaxed);
    }

    /// The number of set-ups so far, and the sum of their durations in milliseconds.
    pub fn set_up_totals(&self) -> (u64, u64) {
        let SetUpTotals { count, micros } = &*self.set_up_totals;
        (count.load(Ordering::Relaxed), micros.load(Ordering::Relaxed) / 1_000)
    }
}

/// Counts of the HTTP server's connections.
pub struct ConnectionTotals {
    /// Connections open now.
    pub open: usize,
    /// Connections refused so far.
    pub refused: u64,
}

/// The metrics page that Prometheus scrapes.
pub fn encode_metrics(
    front: &Front,
    latencies: &Latencies,
    connections: &ConnectionTotals,
    cores: &[Arc<CoreState>],
    fleet: Option<&Fleet>,
) -> String {
    let mut registry = Registry::with_prefix("ottersail");
    if let Some(fleet) = fleet {
        fleet.register_metrics(&mut registry);
    }
    let Counts {
        asked,
        again,
        played,
        blocked,
        aborted,
        left,
        turned_away_untaken,
        tune_ins,
        steps_up,
        steps_down,
        broken_off,
        ended,
        probes,
    } = front.counts();
    let refused = connections.refused;
    let counters = [
        ("asked", "Viewings asked for", asked),
        ("again", "Viewings taken as a viewer's coming again by reload", again),
        ("played", "Viewings that began to play", played),
        ("blocked", "Viewings blocked", blocked),
        ("aborted", "Viewings aborted", aborted),
        ("left", "Viewers who left before the answer", left),
        ("untaken", "Requests turned away untaken: draining or full", turned_away_untaken),
        ("tune_ins", "Set-ups sent to servers", tune_ins),
        ("steps_up", "Rungs raised while playing", steps_up),
        ("steps_down", "Rungs lowered while playing", steps_down),
        ("broken_off", "Viewings lost with their server", broken_off),
        ("ended", "Viewings that played and are over", ended),
        ("probes", "Servers asked for their load", probes),
        ("connections_turned_away", "Connections turned away: too many, or no descriptor free", refused),
    ];
    for (name, help, value) in counters {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    }
    let gauges = [
        ("waiting", "Requests that wait for their answer", front.waiting_requests()),
        ("watches", "Viewers who watch", front.watch_count()),
        ("viewings", "Viewings held, set-ups included", front.viewing_count()),
        ("servers", "Servers in the list", front.server_count()),
        ("connections", "Connections open to players", connections.open),
    ];
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(value as i64);
        registry.register(name, help, gauge);
    }
    let open: Family<Labels, Gauge> = Family::default();
    let answered: Family<Labels, Counter> = Family::default();
    let queued: Family<Labels, Gauge> = Family::default();
    for (index, core) in cores.iter().enumerate() {
        let labels = [("core", index.to_string())].to_vec();
        open.get_or_create(&labels).set(core.open_connections.load(Ordering::Relaxed) as i64);
        answered.get_or_create(&labels).inc_by(core.answered.load(Ordering::Relaxed));
        queued.get_or_create(&labels).set(core.commands.count() as i64);
    }
    registry.register("core_connections", "Connections open to players, by core", open);
    registry.register("core_answered", "Requests answered, by core", answered);
    registry.register("core_errands", "Errands that wait, by core", queued);
    registry.register("answer_seconds_played", "Time to the answer, played", latencies.played.clone());
    registry.register(
        "answer_seconds_refused",
        "Time to the answer, blocked or aborted",
        latencies.refused.clone(),
    );
    registry.register("set_up_seconds", "Time a set-up was out at a server", latencies.set_up.clone());
    let mut text = String::new();
    // Writing to a string can't fail.
    _ = encode(&mut text, &registry);
    text
}
