//! A day: the fleet, the viewers, and what goes wrong.

use ottersail_fault_injection::NetworkCondition;

/// All that the stand-ins need to know of a day. Times in milliseconds unless told otherwise, rates in kB a
/// second.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    /// Viewers come for so long.
    pub seconds: f64,
    pub managers: usize,
    /// So many of them, the last ones, are told load in answer to probes only.
    pub probing: usize,
    pub zones: Vec<String>,
    pub servers: usize,
    pub racks: u64,
    pub cells: u64,
    pub kind: String,
    pub places: f64,
    pub link_kb: f64,
    pub uplink_kb: f64,
    /// Links and uplinks lie up to this part above or below what is told.
    pub uneven: f64,
    pub cold: f64,
    pub start_capacity: f64,
    pub fall_multiple: f64,
    pub fall: f64,
    pub set_up: f64,
    pub seen_after: f64,
    pub reports_every: f64,
    /// The list tells a change of a process after so long, a silent machine after so long.
    pub notice: f64,
    pub silent_notice: f64,
    pub rates_kb: Vec<f64>,
    pub worth: Vec<f64>,
    pub segment: f64,
    pub titles: usize,
    pub copies: u64,
    pub skew: f64,
    pub packages: Vec<DayPackage>,
    pub tenants: Vec<String>,
    /// New viewers a second.
    pub per_second: f64,
    /// How uneven viewers are spread over managers: 0 is evenly; at 1 the first tenth of them gets a third of
    /// all.
    pub lean: f64,
    /// Part of the viewers who leave before the answer, and of those who leave midway.
    pub impatient: f64,
    pub leave_early: f64,
    /// Part of the viewers who come again after a block or a break.
    pub come_again: f64,
    pub faults: Vec<Fault>,
}

#[derive(Clone, Debug)]
pub struct DayPackage {
    pub name: String,
    pub share: f64,
    pub patience: f64,
    /// Seconds that its titles last, from and to.
    pub length: (f64, f64),
    pub scale: f64,
    pub may_repeat: bool,
}

/// Something goes wrong from `start` to `end`, in seconds from the day's beginning.
#[derive(Clone, Debug)]
pub struct Fault {
    pub name: String,
    pub kind: FaultKind,
    pub start: f64,
    pub end: f64,
    /// Part of the fleet, of the managers or of the traffic that it takes.
    pub part: f64,
    /// How hard: what that is stands beside each kind.
    pub size: f64,
    /// Of wires: the part of the managers whose wires it takes, which way, and to whom.
    pub managers: f64,
    pub ways: Ways,
    pub to_list: bool,
}

/// Which directions of a wire fail, as seen from the manager.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ways {
    #[default]
    Both,
    There,
    Back,
}

pub const WAYS: &[(&str, Ways)] = &[("both", Ways::Both), ("there", Ways::There), ("back", Ways::Back)];
pub const FAR_ENDS: &[(&str, bool)] = &[("servers", false), ("list", true)];

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident $name:literal,)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum FaultKind { $($(#[$doc])* $kind,)* }
        /// Each kind by its name in a day's file.
        pub const FAULT_KINDS: &[(&str, FaultKind)] = &[$(($name, FaultKind::$kind)),*];
    };
}

kinds! {
    /// The list accepts calls and answers none.
    ListSilent "list-silent",
    /// The list runs `size` seconds further behind.
    ListStale "list-stale",
    /// The list answers 500.
    ListFailing "list-failing",
    /// The list answers with what it said `size` seconds ago, index and all.
    ListBack "list-back",
    /// The list names a server twice, or is cut off, or is no list.
    ListGarbled "list-garbled",
    /// Broken or oversized playlists, loads that are no numbers, notes that are none.
    Garble "garble",
    /// Takes work, answers nothing.
    Hang "hang",
    /// Does the work, and its answers to set-ups are lost.
    LoseAnswers "lose-answers",
    /// Sends half of a set-up's answer and then nothing.
    Stall "stall",
    /// All its connections are reset; it lives on.
    Reset "reset",
    /// The process dies and comes back cold at the end.
    Crash "crash",
    /// The machine falls silent without a reset, and comes back cold at the end.
    Vanish "vanish",
    /// Listed as draining, up again at the end.
    Drain "drain",
    /// Drained for `size` seconds and replaced by a new, cold one; spread from start to end.
    Replace "replace",
    /// Removed for good, one after the other from start to end.
    Remove "remove",
    /// Another program takes `size` of the link, on and off every two seconds.
    Neighbour "neighbour",
    /// All links give `size` times less.
    SlowLinks "slow-links",
    /// Reports come `size` seconds later.
    LateReports "late-reports",
    /// Tell nothing of their load.
    LoseReports "lose-reports",
    /// Answer set-ups with 500 in a moment.
    Errors "errors",
    /// Their links give `size` times less.
    ShortLinks "short-links",
    /// `size` new, cold servers, from start to end, in cells that were empty.
    Join "join",
    /// Wires to them carry nothing, in the directions told.
    WireCut "wire-cut",
    /// Connections over these wires are reset.
    WireReset "wire-reset",
    /// All over these wires comes `size` milliseconds later, in the directions told.
    WireSlow "wire-slow",
    /// The part `size` of what goes over these wires is lost and sent again.
    WireThin "wire-thin",
    /// `part` of the viewers come for one title of each package.
    Crowd "crowd",
    /// Viewers come at `size` times the rate.
    Burst "burst",
    /// Players that read one byte a second; `size` of them.
    SlowReaders "slow-readers",
    /// Connections that talk nonsense, to every socket; `size` a second.
    Nonsense "nonsense",
    /// `part` of the players ask with forged or foreign tickets.
    Forgers "forgers",
    /// Killed outright, started again at the end.
    ManagerKill "manager-kill",
    /// One after the other from start to end, each killed and down for `size` seconds.
    ManagerRoll "manager-roll",
    /// All are told to end (SIGTERM) and started again, `part` of them at a time, in steps from start to end.
    ManagerRestart "manager-restart",
    /// The last core of a manager stands still for `size` seconds.
    CoreStall "core-stall",
    /// Stopped, and at the end everything comes at once.
    ManagerStall "manager-stall",
    /// The part `size` of the datagrams from and to that part of the managers is lost, in the ways told.
    GossipLoss "gossip-loss",
    /// Their datagrams are lost, in the ways told: `there` is what they send, `back` what is sent to them.
    GossipCut "gossip-cut",
    /// Their datagrams come `size` milliseconds later, in the ways told.
    GossipSlow "gossip-slow",
}

impl Fault {
    /// What it makes of a wire, if it is one of wires.
    pub fn condition(&self) -> Option<NetworkCondition> {
        let whole = NetworkCondition::default();
        match self.kind {
            FaultKind::WireCut => Some(NetworkCondition { cut: true, ..whole }),
            FaultKind::WireReset => Some(NetworkCondition { reset: true, ..whole }),
            FaultKind::WireSlow => Some(NetworkCondition { delay_ms: self.size, ..whole }),
            FaultKind::WireThin => Some(NetworkCondition { loss_rate: self.size.min(1.0), ..whole }),
            _ => None,
        }
    }

    /// What it makes of the ways between managers as members, if it is one of them.
    pub fn gossip(&self) -> Option<NetworkCondition> {
        let whole = NetworkCondition::default();
        match self.kind {
            FaultKind::GossipLoss => Some(NetworkCondition { loss_rate: self.size.min(1.0), ..whole }),
            FaultKind::GossipCut => Some(NetworkCondition { cut: true, ..whole }),
            FaultKind::GossipSlow => Some(NetworkCondition { delay_ms: self.size, ..whole }),
            _ => None,
        }
    }
}

impl Day {
    /// Those faults that lie on wires between parties.
    pub fn of_wires(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter().filter(|it| it.condition().is_some())
    }

    /// True for a manager that is told load in answer to probes only.
    pub fn probes(&self, manager: usize) -> bool {
        manager + self.probing >= self.managers
    }

    pub fn faults_of(&self, kind: FaultKind, second: f64) -> impl Iterator<Item = &Fault> {
        self.faults.iter().filter(move |it| it.kind == kind && it.start <= second && second < it.end)
    }
}
