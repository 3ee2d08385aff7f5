//! A member's role in the council and its timeouts.

use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};

/// The configuration of one member; all times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CouncilConfig {
    /// This member.
    pub own_id: MemberId,
    /// Its current life.
    pub life: InstanceId,
    /// All councillors, sorted: 3, 5 or 7 for councils that tolerate 1, 2 or 3 failures.
    pub councillors: Vec<MemberId>,
    /// Seed of the random back-off.
    pub seed: u64,
    /// How long a phase of a round waits for a majority.
    pub phase_timeout: Ms,
    /// The maximum of the first back-off; doubled at each further attempt.
    pub first_back_off: Ms,
    /// How long a member waits for one councillor before it asks the next.
    pub answer_timeout: Ms,
    /// How long a request is retried before it ends as unanswered.
    pub request_timeout: Ms,
    /// How often missing state is asked for again.
    pub retry_interval: Ms,
}

impl CouncilConfig {
    /// Timeouts for a local network with round trips of a few milliseconds and disk syncs of around ten.
    pub fn new(own_id: MemberId, life: InstanceId, councillors: &[MemberId], seed: u64) -> CouncilConfig {
        let mut councillors = councillors.to_vec();
        councillors.sort();
        councillors.dedup();
        let [phase_timeout, first_back_off, answer_timeout, request_timeout, retry_interval] =
            [300.0, 40.0, 700.0, 6000.0, 500.0].map(Ms);
        CouncilConfig {
            own_id,
            life,
            councillors,
            seed,
            phase_timeout,
            first_back_off,
            answer_timeout,
            request_timeout,
            retry_interval,
        }
    }

    /// How many councillors are a majority.
    pub fn majority(&self) -> usize {
        self.councillors.len() / 2 + 1
    }

    /// All councillors but this member.
    pub fn others(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.councillors.iter().copied().filter(|member| *member != self.own_id)
    }
}
