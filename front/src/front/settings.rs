//! Settings of the front itself, as opposed to those of the decisions.

use ottersail::time::Ms;
use ottersail_signed_urls::Keys;

/// Settings of the front itself. They may change while it runs.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Address at which players reach this manager: `http://host:port`.
    pub url: String,
    /// Keys that sign the addresses given to players.
    pub keys: Keys,
    /// How long an address given to a player is valid, in seconds.
    pub ticket_lifetime_s: u64,
    /// Limit on the requests that wait for an answer; further ones are rejected at once.
    pub max_waiting: usize,
    /// Limit on the watches.
    pub max_watches: usize,
    /// A set-up is sent within this time of the decision, or not at all. Must be less than the drain grace
    /// period.
    pub max_send_delay: Ms,
    /// How long a server may take to confirm the end of a viewing before it is assumed.
    pub end_timeout: Ms,
}
