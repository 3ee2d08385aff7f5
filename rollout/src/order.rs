//! An operator's order for a release or a drain, as the council's register holds it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

const VERSION: u8 = 1;
/// Maximum size of a register's value in bytes.
const MAX_BYTES: usize = 600;
const MAX_STEPS: usize = 8;
const MAX_ZONES: usize = 12;
const MAX_STRUCK: usize = 8;

/// The name of a version, a zone, a manager or a server: 1 to 32 bytes of a-z, A-Z, 0-9, `.`, `_` and `-`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(String);

impl Name {
    /// `None` if the text is not a valid name.
    pub fn new(text: &str) -> Option<Name> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        let valid = (1..=32).contains(&text.len()) && text.bytes().all(allowed);
        valid.then(|| Name(text.to_string()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Version number of an order: it grows with every change that an operator makes; of two files the one with the
/// greater serial is the newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Serial(pub u64);

/// The members that an order is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    All,
    Zone(Name),
    /// The listed members, at most eight.
    Named(Vec<Name>),
    /// That many thousandths of the fleet, the same members at every member.
    PerMille(u16),
}

/// How many of the targeted members are done before the fleet settles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    Count(u16),
    /// In thousandths, one member at least.
    PerMille(u16),
}

impl Step {
    /// The number of members that the step means, of `all`.
    pub fn of(self, all: usize) -> usize {
        match self {
            Step::Count(count) => usize::from(count).min(all),
            Step::PerMille(part) => (all * usize::from(part)).div_ceil(1_000).max(1).min(all),
        }
    }
}

/// How many members may be out at once, and of how many. The operator states the size of the fleet; a member does not
/// count it itself, since one that knows few others would conclude that few are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// The size of the fleet.
    pub fleet: u16,
    /// The most members out at once.
    pub most_out: u16,
    /// By zone: its size, and the most of its members out at once. Empty: no bound by zone.
    pub zones: BTreeMap<Name, (u16, u16)>,
    /// For drains: the least number of warm servers for any title that was requested lately.
    pub least_holders: u16,
    /// For drains: how much the capacity that stays warm exceeds the used capacity, in thousandths of the latter.
    pub headroom: u16,
}

/// Which evidence halts a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaltPolicy {
    /// Whether evidence halts the release at all.
    pub by_evidence: bool,
    /// The accepted rate of false alarms, per ten thousand releases.
    pub alarms: u16,
    /// By how many percentage points more viewings have to end badly at released members to count as worse.
    pub points: u16,
}

/// What an order says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The release goes on.
    Go,
    /// No further member leaves; those that are out return.
    Halt,
    /// Released members are taken back, the last first.
    Back,
    /// Halted by evidence: like `Halt`, under the serial that said go. No file contains this state. Reading the same
    /// file again does not lift it; a greater serial does.
    HaltedByEvidence,
}

/// An order to release a version or to drain servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub serial: Serial,
    pub name: Name,
    pub scope: Scope,
    /// For releases: the version ordered.
    pub version: Name,
    /// For releases: the version that a way back leads to.
    pub previous_version: Name,
    pub steps: Vec<Step>,
    /// How long a member has to be seen ready, and a step has to be done, in milliseconds.
    pub settle_ms: u32,
    /// How long after its request a member may still leave on its permit, by its own clock, in milliseconds.
    pub use_ms: u32,
    pub bounds: Bounds,
    pub halt_policy: HaltPolicy,
    pub state: State,
    /// Members that will not return: their permits are removed, and they are not waited for.
    pub struck: Vec<Name>,
}

/// Why an order is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    #[error("it has no steps; write steps = one, 5%, 25%, all")]
    NoSteps,
    #[error("it has {0} steps; {MAX_STEPS} are the most, take some out")]
    TooManySteps(usize),
    #[error("{0} zones are named; {MAX_ZONES} are the most, name those that need a bound")]
    TooManyZones(usize),
    #[error(
        "{0} names are struck; {MAX_STRUCK} are the most at once, write the others with the next serial"
    )]
    TooManyStruck(usize),
    #[error("most-out of 0 lets nobody go; write 1 at least; what halts is state = halt")]
    MostOutZero,
    #[error("most-out of {most} is not under the fleet of {fleet}; write less, some have to serve")]
    MostOutNotBelowFleet { most: u16, fleet: u16 },
    #[error(
        "zone {zone} has {has} and most-out {most}; write 1 at least for both, most-out no more than it has"
    )]
    ZoneBound { zone: Name, has: u16, most: u16 },
    #[error("the zones hold {zones}, the fleet {fleet}; each belongs to one zone, so both must be equal")]
    ZoneSum { zones: u32, fleet: u16 },
    #[error("use-ms of {0}; expected from 500 to 60000")]
    UseTime(u32),
    #[error("settle-ms of {0}; expected from 100 to 3600000")]
    SettleTime(u32),
    #[error("a part of {0} in a thousand; expected from 1 to 1000, that is 0.1% to 100%")]
    PerMille(u16),
    #[error("an order of {0} bytes; {MAX_BYTES} are the most, write shorter names or fewer zones")]
    TooLong(usize),
}

impl Order {
    /// Checks the order.
    ///
    /// # Errors
    /// The first reason for which the order is invalid.
    pub fn check(&self) -> Result<(), OrderError> {
        let check_part =
            |part: u16| if (1..=1_000).contains(&part) { Ok(()) } else { Err(OrderError::PerMille(part)) };
        match (self.steps.len(), &self.scope) {
            (0, _) => return Err(OrderError::NoSteps),
            (count, _) if count > MAX_STEPS => return Err(OrderError::TooManySteps(count)),
            (_, Scope::PerMille(part)) => check_part(*part)?,
            _ => {}
        }
        for step in &self.steps {
            if let Step::PerMille(part) = step {
                check_part(*part)?;
            }
        }
        let Bounds { fleet, most_out: most, ref zones, .. } = self.bounds;
        if zones.len() > MAX_ZONES {
            return Err(OrderError::TooManyZones(zones.len()));
        }
        if self.struck.len() > MAX_STRUCK {
            return Err(OrderError::TooManyStruck(self.struck.len()));
        }
        if most == 0 {
            return Err(OrderError::MostOutZero);
        }
        if most >= fleet {
            return Err(OrderError::MostOutNotBelowFleet { most, fleet });
        }
        for (zone, (has, most)) in zones {
            if *most == 0 || most > has {
                return Err(OrderError::ZoneBound { zone: zone.clone(), has: *has, most: *most });
            }
        }
        let sum: u32 = zones.values().map(|(members, _)| u32::from(*members)).sum();
        if !zones.is_empty() && sum != u32::from(fleet) {
            return Err(OrderError::ZoneSum { zones: sum, fleet });
        }
        if !(500..=60_000).contains(&self.use_ms) {
            return Err(OrderError::UseTime(self.use_ms));
        }
        if !(100..=3_600_000).contains(&self.settle_ms) {
            return Err(OrderError::SettleTime(self.settle_ms));
        }
        let bytes = self.encode().len();
        if bytes > MAX_BYTES {
            return Err(OrderError::TooLong(bytes));
        }
        Ok(())
    }

    /// The order as the bytes of a register.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = postcard::to_allocvec(self).unwrap_or_default();
        std::iter::once(VERSION).chain(encoded).collect()
    }

    /// `None` if the bytes are of an unknown version, truncated or an invalid order. Trailing bytes belong to a later
    /// version and are ignored.
    pub fn decode(bytes: &[u8]) -> Option<Order> {
        let (&VERSION, encoded) = bytes.split_first()? else { return None };
        let order: Order = postcard::take_from_bytes(encoded).ok()?.0;
        order.check().is_ok().then_some(order)
    }
}
