//! What the front itself reads of the settings.

use ottersail::time::Ms;
use ottersail_signed_urls::Keys;

/// What the front itself reads of the settings.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// How players reach this manager: `http://host:port`.
    pub url: String,
    pub keys: Keys,
    /// How long an address given to a player holds, in seconds.
    pub ticket_lifetime_s: u64,
    /// Requests that wait for an answer; what comes on top is turned away untaken.
    pub max_waiting: usize,
    /// Viewers that watch.
    pub max_watches: usize,
    /// A set-up is sent within this time of the decision, or not at all. Below the drain grace.
    pub max_send_delay: Ms,
    /// A server has this long to confirm the end of a viewing before it counts as ended.
    pub end_timeout: Ms,
}
