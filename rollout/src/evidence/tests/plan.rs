//! Parameters of a simulated release.

/// How bad ends of viewings vary at an unchanged version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Noise {
    /// Bad ends are independent.
    Plain,
    /// On average three viewings end badly together, and requests arrive in bursts.
    Bursts,
    /// Members' rates differ permanently (standard deviation of the logarithm 0.5).
    Differ,
    /// Members' rates drift (standard deviation of the logarithm 0.5, half-life of a deviation 20 s).
    Wander,
    /// For 20 s during the first steps, bad ends increase by 20 percentage points at all members.
    Lost,
    /// For 20 s, they increase by 30 percentage points in one of three zones.
    LostZone,
    /// All of these at once.
    All,
}

pub const NOISES: [Noise; 7] = {
    use Noise::*;
    [Plain, Bursts, Differ, Wander, Lost, LostZone, All]
};

impl Noise {
    pub fn has(self, kind: Noise) -> bool {
        self == kind || self == Noise::All
    }
}

/// What faulty members, which are among the last to be released, report instead of their counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FalseReport {
    /// An absurd number of viewings, all bad, with absurdly long set-ups.
    AllBad,
    /// An absurd number of viewings, all good.
    AllGood,
    /// Their own viewings, with 30 % more of them blocked.
    Worse,
}

/// A release and the fleet on which it is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub members: usize,
    /// Requested viewings per second at each member.
    pub rate: f64,
    /// Share of viewings that end badly at the old version.
    pub base: f64,
    pub noise: Noise,
    /// Increase of that share at the ordered version.
    pub worse: f64,
    /// Number of windows after a member has settled from which the increase applies.
    pub after: usize,
    /// Factor by which set-ups take longer at the ordered version.
    pub slower: f64,
    /// Whether the second step lasts until an increase by `points` is ruled out.
    pub held: bool,
    /// Number of members that report false counts.
    pub false_reporters: usize,
    pub false_report: FalseReport,
    /// Number of steps that are carried out, of: one member, 5 %, 25 %, all.
    pub steps: usize,
}

pub const PLAN: Plan = Plan {
    members: 60,
    rate: 5.0,
    base: 0.05,
    noise: Noise::Plain,
    worse: 0.0,
    after: 0,
    slower: 1.0,
    held: false,
    false_reporters: 0,
    false_report: FalseReport::AllBad,
    steps: 4,
};
