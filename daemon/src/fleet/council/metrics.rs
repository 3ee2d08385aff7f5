//! The metrics of the council and of the leased part.

use super::requests::Request;
use super::{log, Council};
use ottersail::time::Ms;
use ottersail_consensus::Outcome;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

type Labels = Vec<(&'static str, String)>;

/// Histogram bounds: seconds from a write request until the records are on disk.
const WRITE_BOUNDS: [f64; 10] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0];

/// Histogram bounds: seconds from an own request until the council's answer. The targets are 1 s without failures and
/// 3 s with a minority of councillors dead.
const ANSWER_BOUNDS: [f64; 11] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 6.0];

/// Counts and durations of the council's work at this member.
#[derive(Debug)]
pub(super) struct CouncilMetrics {
    writes: Histogram,
    answers: Family<Labels, Histogram, fn() -> Histogram>,
    granted: u64,
    refused: u64,
    unread: u64,
}

impl Default for CouncilMetrics {
    fn default() -> CouncilMetrics {
        let answers = Family::<_, _, fn() -> _>::new_with_constructor(|| Histogram::new(ANSWER_BOUNDS));
        CouncilMetrics { writes: Histogram::new(WRITE_BOUNDS), answers, granted: 0, refused: 0, unread: 0 }
    }
}

impl CouncilMetrics {
    /// Records how long a disk write took.
    pub fn persisted(&self, took: Duration) {
        self.writes.observe(took.as_secs_f64());
    }

    /// Records a completed request. An unanswered one counts with the time that was waited for it.
    pub fn answered(&self, request: Request, outcome: &Outcome, took: Ms) {
        let request = match request {
            Request::FoundingConfig => "head",
            Request::Read(_) => "read",
            Request::Propose(_) => "change",
            Request::Order(_) => "order",
        };
        let outcome = match outcome {
            Outcome::Chosen(_) => "done",
            Outcome::Current(_) => "now",
            Outcome::Unanswered => "unanswered",
            Outcome::Rejected => "turned",
        };
        let labels = vec![("ask", request.into()), ("outcome", outcome.into())];
        self.answers.get_or_create(&labels).observe(took.0 / 1e3);
    }

    /// Slots whose renewal this councillor granted and refused.
    pub fn renewals(&mut self, granted: usize, refused: usize) {
        self.granted += granted as u64;
        self.refused += refused as u64;
    }

    /// Counts a message that could not be decoded.
    pub fn unread(&mut self) {
        self.unread += 1;
    }
}

pub(super) fn gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let gauge: Gauge = Gauge::default();
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    registry.register(name, help, gauge);
}

fn count(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

impl Council {
    /// `ahead`: by how many milliseconds the front's clock is ahead of the members' clock.
    pub fn register(&self, now: Ms, ahead: f64, registry: &mut Registry) {
        let follower = self.seat.follower();
        let revisions: Family<Labels, Gauge> = Family::default();
        for (key, value) in follower.values() {
            let labels = vec![("key", log::key(*key))];
            revisions.get_or_create(&labels).set(value.revision as i64);
        }
        registry.register("council_revision", "Revision followed, by register", revisions);
        gauge(registry, "council_seat", "1 for a councillor with a store", self.seat.is_councillor().into());
        gauge(
            registry,
            "council_sound",
            "1 while this councillor takes part",
            self.seat.participating_councillor().is_some().into(),
        );
        let preferred: Family<Labels, Gauge> = Family::default();
        if let Some(name) = follower.preferred().and_then(|id| self.names.get(&id)) {
            preferred.get_or_create(&vec![("name", name.clone())]).set(1);
        }
        registry.register("council_preferred", "The councillor that is asked first", preferred);
        registry.register(
            "council_keep_seconds",
            "Time until a promise was on the disk",
            self.council_metrics.writes.clone(),
        );
        registry.register(
            "council_answer_seconds",
            "Time until the council's answer to this member; now: another's change stood before",
            self.council_metrics.answers.clone(),
        );
        count(registry, "council_unread", "Messages that could not be read", self.council_metrics.unread);
        count(
            registry,
            "renewals_granted",
            "Slots renewed for others by this councillor",
            self.council_metrics.granted,
        );
        count(
            registry,
            "renewals_refused",
            "Slots not renewed by this councillor",
            self.council_metrics.refused,
        );
        if let Some(releases) = &self.releases {
            releases.register(now, registry);
        }
        let part = self.leases.as_ref().and_then(|leases| leases.holder.current_share(now));
        let slots: Family<Labels, Gauge> = Family::default();
        for slot in self.slots(now) {
            slots.get_or_create(&vec![("slot", slot.to_string())]).set(1);
        }
        registry.register("part_slot", "Slots held now", slots);
        gauge(registry, "part_slots", "Slots held now, leased", part.map_or(0, |part| part.slots.into()));
        gauge(
            registry,
            "part_slots_used",
            "Those the module may use by now",
            self.part.slots_in_use() as u64,
        );
        gauge(registry, "part_of", "Slots in all, without the kept ones", self.own.slots.into());
        let until: Gauge<f64, AtomicU64> = Gauge::default();
        until.set(part.map_or(0.0, |part| (part.until.0 .0 + ahead) / 1e3));
        registry.register("part_until", "Until when they are held, in seconds since 1970", until);
        let counters = &self.lease_counters;
        let counts = [
            ("part_leases_ran_out", "Times that the lease on all slots ran out", self.part.expirations()),
            ("part_renewals", "Pages of renewals sent", counters.asked),
            ("part_acquired", "Slots taken up", counters.acquired),
            ("part_released", "Slots given back", counters.released),
            ("part_lost", "Slots found given to others or refused", counters.lost),
            ("part_proposed", "Changes of slots proposed", counters.proposed),
            ("part_conflicts", "Changes that another's came before", counters.conflicts),
            (
                "part_changes_refused",
                "Changes that leases or the lack of a majority kept out",
                counters.refused,
            ),
            ("part_unanswered", "Changes without an answer in time", counters.unanswered),
        ];
        counts.into_iter().for_each(|(name, help, value)| count(registry, name, help, value));
    }

    /// The slots that the holder has at this moment; none once the lease has expired, even before a timer has run.
    fn slots(&self, now: Ms) -> impl Iterator<Item = u16> + '_ {
        let holder = self.leases.as_ref().map(|leases| &leases.holder);
        self.part
            .held()
            .filter(move |slot| holder.is_some_and(|held| held.holds_slot(now, *slot)))
            .map(|slot| slot.0)
    }
}
