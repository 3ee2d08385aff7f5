//! What the machines want done, what they ask of others, and their config.

use ottersail::time::Ms;

use crate::message::Message;
use crate::types::{Key, Outcome, Record, StoredState, Value};
use ottersail_membership::{InstanceId, MemberId};

/// Names one wish to keep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

pub trait Effects {
    /// Never to oneself. May be lost, doubled or overtaken.
    fn send(&mut self, to: MemberId, message: &Message);
    /// Keep all of these or none, synced, in the order of the tokens; then `kept(token)`. If it fails: never
    /// `kept`, and the process starts anew from what the disk holds.
    fn persist(&mut self, token: Token, records: &[Record]);
    /// That value is chosen, and newer than any told of that key before.
    fn chosen(&mut self, key: Key, value: &Value);
    /// What came of an own request, once for each number.
    fn answered(&mut self, number: u64, outcome: &Outcome);
}

/// What an acceptor asks before it accepts. Leases stand in the way of slots given to another too early, an order
/// to halt in the way of permits under the order before it.
pub trait Guard {
    /// `held` is all that this acceptor holds: one register may stand in another's way.
    fn allows(&self, now: Ms, key: Key, held: &StoredState, to: &Value) -> bool;
}

/// No guard at all.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowAll;

impl Guard for AllowAll {
    fn allows(&self, _: Ms, _: Key, _: &StoredState, _: &Value) -> bool {
        true
    }
}

/// Who I am and how long to wait, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CouncilConfig {
    pub me: MemberId,
    pub life: InstanceId,
    /// 3, 5 or 7 for councils that are to live through 1, 2 or 3 losses.
    pub councillors: Vec<MemberId>,
    pub seed: u64,
    /// How long a phase of a round waits for a majority.
    pub phase_timeout: Ms,
    /// The first back-off at most; doubled at each further try.
    pub first_back_off: Ms,
    /// How long one councillor is waited for before the next is asked.
    pub answer_timeout: Ms,
    /// How long a request lives.
    pub request_timeout: Ms,
    /// How often one that lacks something asks again.
    pub retry_interval: Ms,
}

impl CouncilConfig {
    /// CouncilConfig for a local network: round trips of some milliseconds, syncs of some ten.
    pub fn new(me: MemberId, life: InstanceId, councillors: &[MemberId], seed: u64) -> CouncilConfig {
        let mut councillors = councillors.to_vec();
        councillors.sort();
        councillors.dedup();
        let [phase_timeout, first_back_off, answer_timeout, request_timeout, retry_interval] =
            [300.0, 40.0, 700.0, 6000.0, 500.0].map(Ms);
        CouncilConfig {
            me,
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

    pub fn majority(&self) -> usize {
        self.councillors.len() / 2 + 1
    }

    pub fn others(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.councillors.iter().copied().filter(|member| *member != self.me)
    }
}

/// Each may be taken out to see that something breaks without it.
#[cfg(any(test, feature = "sabotage"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Guards {
    /// Replies wait for the disk.
    pub persist_before_reply: bool,
    /// An acceptor holds to its promise.
    pub keep_promises: bool,
    /// A round takes up the highest accepted value that it found.
    pub adopt_highest: bool,
    /// A councillor without memory abstains until it has recovered.
    pub abstain_until_recovered: bool,
    /// Answers from a memory that another answer knows to be lost don't count.
    pub discard_lost_generations: bool,
    /// A recovery needs a majority among the others.
    pub recovery_majority: bool,
    /// The founding needs all councillors, with one roll.
    pub founding_by_all: bool,
    /// A value found but perhaps not chosen is written before it is told.
    pub write_back: bool,
    /// A retry finds its own work.
    pub deduplicate_requests: bool,
    /// A follower never takes an older value over a newer.
    pub ignore_older_values: bool,
}

#[cfg(any(test, feature = "sabotage"))]
impl Guards {
    pub const ALL: Guards = Guards {
        persist_before_reply: true,
        keep_promises: true,
        adopt_highest: true,
        abstain_until_recovered: true,
        discard_lost_generations: true,
        recovery_majority: true,
        founding_by_all: true,
        write_back: true,
        deduplicate_requests: true,
        ignore_older_values: true,
    };
}
