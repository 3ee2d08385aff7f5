//! State that all cores of a manager share.

use crate::messages::{CoreState, OwnerMessage};
use crate::metrics::Latencies;
use crate::settings::manager::ManagerSettings;
use arc_swap::ArcSwap;
use async_channel::Sender;
use ottersail_front::Ms;
use ottersail_membership::MemberId;
use ottersail_net::Clock;
use ottersail_signed_urls::Keys;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// State that all cores read and that changes rarely.
pub struct Shared {
    pub clock: Clock,
    pub settings: WorkerSettings,
    /// The keys that sign playlist addresses; a reload of the settings replaces them.
    pub keys: ArcSwap<Keys>,
    /// Set once the list of servers has been received.
    pub has_servers: AtomicBool,
    /// Set once the titles have been received.
    pub has_titles: AtomicBool,
    pub latencies: Latencies,
    pub cores: Vec<Arc<CoreState>>,
    /// The queue of messages to the placement owner.
    pub owner_queue: Sender<OwnerMessage>,
}

/// The settings that a core needs.
pub struct WorkerSettings {
    /// The manager's number, sent to servers in `x-manager`.
    pub manager: u64,
    /// Address of the discovery service, `host:port`.
    pub list: String,
    /// Name of the streaming servers' service in the list.
    pub service: String,
    /// How long the discovery service may hold a request until something changes.
    pub list_wait: Ms,
    /// Pause after a failed request for the list.
    pub list_retry: Ms,
    /// Limit for opening a connection.
    pub connect: Ms,
    /// A server that sends nothing for this long is lost.
    pub silence: Ms,
    /// Upper limit of the `retry-after` of blocked requests, in milliseconds.
    pub stay_away_ms: Option<f64>,
    /// This manager's id as a member, which `/ready` returns to other members.
    pub member: Option<MemberId>,
}

impl From<&ManagerSettings> for WorkerSettings {
    fn from(settings: &ManagerSettings) -> WorkerSettings {
        let member = settings.members.as_ref();
        WorkerSettings {
            manager: settings.terms.manager.0,
            list: settings.links.list.clone(),
            service: settings.links.service.clone(),
            list_wait: settings.links.list_wait,
            list_retry: settings.links.list_retry,
            connect: settings.links.connect,
            silence: settings.links.silence,
            stay_away_ms: settings.terms.max_stay_away.map(|limit| limit.0),
            member: member.map(|member| MemberId::of(&member.cluster, &member.name)),
        }
    }
}
