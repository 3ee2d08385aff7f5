//! The safety rules that the feature `sabotage` can remove, so that tests show that each is needed.

/// The guards of the protocol; `true` means that the guard is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Guards {
    /// Replies are sent only once their records are on disk.
    pub persist_before_reply: bool,
    /// An acceptor refuses ballots below its promise.
    pub keep_promises: bool,
    /// A round continues from the accepted value with the highest ballot.
    pub adopt_highest: bool,
    /// A councillor with an empty store abstains until it has recovered.
    pub abstain_until_recovered: bool,
    /// Answers from a store that another answer knows to be lost do not count.
    pub discard_lost_generations: bool,
    /// A recovery needs a majority among the other councillors.
    pub recovery_majority: bool,
    /// The founding needs all councillors with the same set of founders.
    pub founding_by_all: bool,
    /// A value that is perhaps not chosen is written back before it is reported.
    pub write_back: bool,
    /// A retry recognizes its own change.
    pub deduplicate_requests: bool,
    /// A follower never replaces a newer value by an older one.
    pub ignore_older_values: bool,
}

impl Guards {
    /// All guards active.
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
