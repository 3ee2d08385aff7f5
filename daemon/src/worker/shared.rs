//! What all cores read and few write.

use crate::metrics::Times;
use crate::post::{Core, News};
use crate::settings::manager::ManagerSettings;
use arc_swap::ArcSwap;
use async_channel::Sender;
use ottersail_front::Ms;
use ottersail_membership::MemberId;
use ottersail_net::Clock;
use ottersail_signed_urls::Keys;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// What all cores read and few write.
pub struct Shared {
    pub clock: Clock,
    pub reach: Reach,
    pub keys: ArcSwap<Keys>,
    pub listed: AtomicBool,
    pub titled: AtomicBool,
    pub times: Times,
    pub cores: Vec<Arc<Core>>,
    pub news: Sender<News>,
}

/// What a core reads of the settings.
pub struct Reach {
    pub me: u64,
    pub list: String,
    pub service: String,
    pub list_wait: Ms,
    pub list_retry: Ms,
    pub connect: Ms,
    pub silence: Ms,
    pub stay_away: Option<f64>,
    /// As what it is a member: who knocks for that one is told.
    pub member: Option<MemberId>,
}

impl From<&ManagerSettings> for Reach {
    fn from(it: &ManagerSettings) -> Reach {
        Reach {
            me: it.terms.manager.0,
            list: it.links.list.clone(),
            service: it.links.service.clone(),
            list_wait: it.links.list_wait,
            list_retry: it.links.list_retry,
            connect: it.links.connect,
            silence: it.links.silence,
            stay_away: it.terms.max_stay_away.map(|it| it.0),
            member: it.members.as_ref().map(|it| MemberId::of(&it.cluster, &it.name)),
        }
    }
}
