//! Shapes of what the module knows and of what it is told.

use crate::census::Census;
use crate::ids::{Cell, Kind, PackageIx, Rung, ServerId, TenantIx, TitleId, ViewingId, Zone};
use crate::time::Ms;
use std::collections::{BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Up,
    Leaving,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    Incremental,
    Full,
    Saved,
    Failed,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub kind: Kind,
    pub cell: Cell,
    pub availability: Availability,
    pub server: ServerId,
    pub started: Option<Ms>,
    pub weight: f64,
    pub zone: Zone,
}

/// What is watched and by whom, as a request or a viewing handed over tells it.
#[derive(Clone, Debug)]
pub struct Wish {
    pub vw: ViewingId,
    pub package: PackageIx,
    pub tenant: Option<TenantIx>,
    pub title: TitleId,
    pub base: u64,
    pub copies: u64,
    pub best: Rung,
    pub due: Ms,
    /// A rough guess of how long it is watched, from its first start.
    pub lasts: Option<Ms>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    ShareDelivered,
    RungInForce,
    LinkAsked,
    UplinkAsked,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub streams: Option<f64>,
    pub link: Option<f64>,
    pub link_uncapped: Option<f64>,
    pub uplink: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Taken, no tune-in out.
    Waiting,
    TuningIn,
    Playing,
    /// The manager owes nothing more; a tune-in may still be out.
    Over,
}

#[derive(Clone, Debug)]
pub struct TuneIn {
    pub server: ServerId,
    pub sent: Ms,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Viewing {
    pub wish: Wish,
    pub taken: Ms,
    pub phase: Phase,
    pub rung: Rung,
    /// When it began to play.
    pub started: Ms,
    pub tune_ins: Vec<TuneIn>,
    pub over_share: bool,
    /// When a waiting viewing is looked at again.
    pub look_at: Ms,
    /// The two holders drawn for it whose reports it waits for.
    pub picks: Vec<ServerId>,
}

/// What this manager's viewings ask in kB a second, and over the ladder's rates: their number, each by its package.
pub type Own = (f64, f64);

/// What is asked of a link or an uplink over what it gives, with the manager's own part at that time.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub asked: f64,
    pub own: Own,
    pub at: Ms,
}

/// The uplink of a rack.
#[derive(Clone, Debug)]
pub struct Uplink {
    pub servers: BTreeSet<ServerId>,
    pub own: Own,
    pub seen: Option<Seen>,
    /// Where it is not reported: what short delivery showed to be missing from what its links ask of it, as a
    /// part of that, and when.
    pub missing: (f64, Ms),
    /// What its links asked of it when that was last summed, with the manager's own part at that moment.
    pub counted: std::cell::Cell<(Ms, f64, f64)>,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub entry: Entry,
    pub seen: Option<Seen>,
    /// The last note on the link itself, and since when delivery has been short.
    pub link_note: (f64, Ms),
    pub short_since: Option<Ms>,
    /// Share last delivered to viewings there, and when.
    pub delivered: (f64, Ms),
    /// Viewings that the manager has there, set-ups included.
    pub census: Census,
    /// What they ask by the ladder, and the changes of it, newest last.
    pub own: Own,
    pub ledger: VecDeque<(Ms, Own)>,
    /// When the manager sent set-ups there, newest last.
    pub sent: Vec<Ms>,
    pub cold_until: Ms,
    /// Failures in a row, and until when they keep the server out of the pick.
    pub failures: u32,
    pub shunned_until: Ms,
    /// When its rungs are weighed again, and when one last changed or was too high.
    pub look_at: Ms,
    pub unsettled_at: Ms,
    /// Drawn for each note, from just above 0 to 1: the part of a step that must be this manager's.
    pub lot: f64,
    pub lot_at: Ms,
    /// When it was last probed, and whether that probe is out.
    pub probed_at: Ms,
    pub probe_out: bool,
    /// When it is probed next for the viewings that play there.
    pub next_probe: Ms,
    /// Since when the list has it gone.
    pub off_since: Option<Ms>,
}

/// What the module believes of a server, to be held against what passes on the sockets.
#[derive(Clone, Debug)]
pub struct Belief {
    pub server: ServerId,
    pub availability: Availability,
    /// Viewings that it has there, set-ups included.
    pub held: f64,
    /// Asked of its link over what that gives, and how old that is.
    pub asked: Option<(f64, Ms)>,
    pub failures: u32,
    pub shunned: bool,
    pub cold: bool,
}

impl Default for Uplink {
    fn default() -> Uplink {
        let counted = std::cell::Cell::new((Ms::LONG_AGO, 0.0, 0.0));
        Uplink {
            servers: BTreeSet::new(),
            own: (0.0, 0.0),
            seen: None,
            missing: (0.0, Ms::LONG_AGO),
            counted,
        }
    }
}

impl Viewing {
    /// Nothing is owed yet and nothing is out.
    pub fn taken(wish: Wish, taken: Ms, rung: Rung, over_share: bool) -> Viewing {
        let (phase, tune_ins, started) = (Phase::Over, Vec::new(), Ms::LONG_AGO);
        Viewing { wish, taken, phase, rung, started, tune_ins, over_share, look_at: taken, picks: Vec::new() }
    }

    pub fn out(&self) -> bool {
        self.tune_ins.last().is_some_and(|it| it.outcome.is_none())
    }

    pub fn never_ran(&self) -> bool {
        !self.tune_ins.iter().any(TuneIn::may_have_run)
    }

    /// Where its tune-in is out or it plays.
    pub fn place(&self) -> Option<&ServerId> {
        self.tune_ins.last().filter(|it| it.outcome.is_none()).map(|it| &it.server)
    }
}

impl TuneIn {
    /// False where its outcome proves that it never ran.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent))
    }
}

impl Server {
    pub fn new(entry: Entry, cold_until: Ms) -> Server {
        Server {
            entry,
            seen: None,
            link_note: (0.0, Ms::LONG_AGO),
            short_since: None,
            delivered: (1.0, Ms::LONG_AGO),
            census: Census::default(),
            own: (0.0, 0.0),
            ledger: VecDeque::new(),
            sent: Vec::new(),
            cold_until,
            failures: 0,
            shunned_until: Ms::LONG_AGO,
            look_at: Ms::LONG_AGO,
            unsettled_at: Ms::LONG_AGO,
            lot: 1.0,
            lot_at: Ms::LONG_AGO,
            probed_at: Ms::LONG_AGO,
            probe_out: false,
            next_probe: Ms::LONG_AGO,
            off_since: None,
        }
    }

    pub fn own_at(&self, at: Ms) -> Own {
        let since = self.ledger.iter().rev().take_while(|it| it.0 > at);
        since.fold(self.own, |(kb, n), it| (kb - it.1 .0, n - it.1 .1))
    }
}

pub fn added(a: Own, b: Own) -> Own {
    // Nothing held asks nothing, whatever fractions are left over.
    if a.1 + b.1 < 1e-6 {
        (0.0, 0.0)
    } else {
        (a.0 + b.0, a.1 + b.1)
    }
}
