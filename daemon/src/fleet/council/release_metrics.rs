//! The metrics of a release as this councillor sees it.

use super::metrics::gauge;
use super::releases::Releases;
use ottersail::time::Ms;
use ottersail_rollout::{ReleaseView, State, WaitReason};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;

impl Releases {
    /// Registers nothing without an order or at a member that is no councillor.
    pub fn register(&self, now: Ms, registry: &mut Registry) {
        let Some(view) = self.coordinator.as_ref().and_then(|coordinator| coordinator.view(now)) else {
            return;
        };
        let ReleaseView {
            serial, state, step, steps, done, targeted, ready, fleet, outstanding, ended, ..
        } = view;
        let state = match state {
            State::Go => 0,
            State::Halt => 1,
            State::Back => 2,
            State::HaltedByEvidence => 3,
        };
        let all = [
            ("release_serial", "Serial of the order that stands", serial.0),
            ("release_state", "0 goes, 1 halted by order, 2 goes back, 3 halted by evidence", state),
            ("release_step", "The step it is in, from 1", step as u64),
            ("release_steps", "Of how many", steps as u64),
            ("release_through", "Managers through", done as u64),
            ("release_meant", "Managers that it is about", targeted as u64),
            ("release_whole", "Managers seen whole now", ready as u64),
            ("release_fleet", "Managers that belong to the fleet, as told", fleet as u64),
            ("release_ended", "1 once nobody has anything to do any more", u64::from(ended)),
        ];
        all.into_iter().for_each(|(name, help, value)| gauge(registry, name, help, value));
        let permits: Family<Labels, Gauge> = Family::default();
        for permit in outstanding {
            let waits = match permit.reason {
                WaitReason::NotLeft => "to go",
                WaitReason::Away => "to come back",
                WaitReason::Settling => "to be whole",
            };
            let labels = vec![("name", permit.name.to_string()), ("waits", waits.to_string())];
            permits.get_or_create(&labels).set(((now - permit.since).0 / 1e3) as i64);
        }
        registry.register("release_permit_seconds", "Permits out, and since how long", permits);
    }
}
