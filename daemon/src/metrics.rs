//! Figures in the usual text format.

use crate::fleet::Fleet;
use crate::post::Core;
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

type Of = Vec<(&'static str, String)>;

/// Bounds in seconds.
const BOUNDS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// How long answers took.
#[derive(Clone, Debug)]
pub struct Times {
    played: Histogram,
    refused: Histogram,
    set_up: Histogram,
    /// How many set-ups, and their microseconds, for what members tell one another.
    sums: Arc<(AtomicU64, AtomicU64)>,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            played: Histogram::new(BOUNDS),
            refused: Histogram::new(BOUNDS),
            set_up: Histogram::new(BOUNDS),
            sums: Arc::default(),
        }
    }
}

impl Times {
    pub fn answered(&self, reply: &Reply, ms: f64) {
        let of = if matches!(reply, Reply::Playlist(_)) { &self.played } else { &self.refused };
        of.observe(ms / 1e3);
    }

    /// A server answered a set-up, or it failed.
    pub fn set_up(&self, took: Duration) {
        self.set_up.observe(took.as_secs_f64());
        self.sums.0.fetch_add(1, Ordering::Relaxed);
        self.sums.1.fetch_add(took.as_micros() as u64, Ordering::Relaxed);
    }

    /// Set-ups so far, and all their times in milliseconds.
    pub fn set_up_totals(&self) -> (u64, u64) {
        (self.sums.0.load(Ordering::Relaxed), self.sums.1.load(Ordering::Relaxed) / 1_000)
    }
}

/// The page that is scraped.
pub fn page(
    front: &Front,
    times: &Times,
    (open, turned_away): (usize, u64),
    cores: &[Arc<Core>],
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
    let counts = [
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
        ("connections_turned_away", "Connections turned away: too many, or no descriptor free", turned_away),
    ];
    for (name, help, value) in counts {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    }
    let gauges = [
        ("waiting", "Requests that wait for their answer", front.waiting_requests()),
        ("watches", "Viewers who watch", front.watch_count()),
        ("viewings", "Viewings held, set-ups included", front.viewing_count()),
        ("servers", "Servers in the list", front.server_count()),
        ("connections", "Connections open to players", open),
    ];
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(value as i64);
        registry.register(name, help, gauge);
    }
    let (held, answered): (Family<Of, Gauge>, Family<Of, Counter>) = Default::default();
    let queued: Family<Of, Gauge> = Family::default();
    for (core, it) in cores.iter().enumerate() {
        let of = [("core", core.to_string())].to_vec();
        held.get_or_create(&of).set(it.open.load(Ordering::Relaxed) as i64);
        answered.get_or_create(&of).inc_by(it.answered.load(Ordering::Relaxed));
        queued.get_or_create(&of).set(it.errands.waiting() as i64);
    }
    registry.register("core_connections", "Connections open to players, by core", held);
    registry.register("core_answered", "Requests answered, by core", answered);
    registry.register("core_errands", "Errands that wait, by core", queued);
    registry.register("answer_seconds_played", "Time to the answer, played", times.played.clone());
    registry.register(
        "answer_seconds_refused",
        "Time to the answer, blocked or aborted",
        times.refused.clone(),
    );
    registry.register("set_up_seconds", "Time a set-up was out at a server", times.set_up.clone());
    let mut text = String::new();
    // Writing to memory can't fail.
    _ = encode(&mut text, &registry);
    text
}
