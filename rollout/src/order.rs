//! An operator's order, as the council's register holds it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

const VERSION: u8 = 1;
/// What a register takes.
const MOST_BYTES: usize = 600;
const MOST_STEPS: usize = 8;
const MOST_ZONES: usize = 12;
const MOST_STRUCK: usize = 8;

/// 1 to 32 bytes of a-z, A-Z, 0-9, `.`, `_` and `-`: a version, a zone, a manager or a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(String);

impl Name {
    /// `None` if it is none.
    pub fn new(text: &str) -> Option<Name> {
        let plain = |it: u8| it.is_ascii_alphanumeric() || b"._-".contains(&it);
        let fits = (1..=32).contains(&text.len()) && text.bytes().all(plain);
        fits.then(|| Name(text.to_string()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// ViewingCounts up with every change that an operator makes to an order; of two files the greater is the newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Serial(pub u64);

/// Whom an order is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    All,
    Zone(Name),
    /// By name, at most eight.
    Named(Vec<Name>),
    /// So many of a thousand, the same at every member.
    PerMille(u16),
}

/// How many of those that it is about are through before the fleet settles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    Count(u16),
    /// Of a thousand, one at least.
    PerMille(u16),
}

impl Step {
    /// How many that is of so many.
    pub fn of(self, all: usize) -> usize {
        match self {
            Step::Count(count) => usize::from(count).min(all),
            Step::PerMille(part) => (all * usize::from(part)).div_ceil(1_000).max(1).min(all),
        }
    }
}

/// How many may be out at once, and of how many. Told by the operator and not counted by a member: one that
/// knows few others would think that few are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// All that belong to the fleet.
    pub fleet: u16,
    pub most_out: u16,
    /// By zone: those that belong to it, and the most of them out. Empty: no bound by zone.
    pub zones: BTreeMap<Name, (u16, u16)>,
    /// Servers: never fewer warm ones of any title that was asked for lately.
    pub least_holders: u16,
    /// Servers: what stays warm gives so much more than what is used, in thousandths of what is used.
    pub headroom: u16,
}

/// What evidence halts a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaltPolicy {
    pub by_evidence: bool,
    /// False alarms, in ten thousand releases.
    pub alarms: u16,
    /// Points of a hundred more bad ends among those released that count.
    pub points: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Go,
    /// Nobody further goes out; those out come back.
    Halt,
    /// Those through are taken back, the last first.
    Back,
    /// Halted by evidence: as `Halt`, under the serial that said go. No file says so, and the same file read
    /// again does not lift it; a greater serial does.
    HaltedByEvidence,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub serial: Serial,
    pub name: Name,
    pub scope: Scope,
    /// Managers: the version ordered, and the one that a way back leads to.
    pub version: Name,
    pub previous_version: Name,
    pub steps: Vec<Step>,
    /// How long a member has to have been seen whole, and a step has to have stood, in milliseconds.
    pub settle_ms: u32,
    /// How long after it asked a holder may still go out on its permit, by its own clock.
    pub use_ms: u32,
    pub bounds: Bounds,
    pub halt_policy: HaltPolicy,
    pub state: State,
    /// These do not come back: their permits are given back, and they are not waited for.
    pub struck: Vec<Name>,
}

/// Why an order can't stand.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    #[error("it has no steps; write steps = one, 5%, 25%, all")]
    NoSteps,
    #[error("it has {0} steps; {MOST_STEPS} are the most, take some out")]
    TooManySteps(usize),
    #[error("{0} zones are named; {MOST_ZONES} are the most, name those that need a bound")]
    TooManyZones(usize),
    #[error(
        "{0} names are struck; {MOST_STRUCK} are the most at once, write the others with the next serial"
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
    #[error("an order of {0} bytes; {MOST_BYTES} are the most, write shorter names or fewer zones")]
    TooLong(usize),
}

impl Order {
    /// # Errors
    /// The first reason for which it can't stand.
    pub fn check(&self) -> Result<(), OrderError> {
        let part = |it: u16| if (1..=1_000).contains(&it) { Ok(()) } else { Err(OrderError::PerMille(it)) };
        match (self.steps.len(), &self.scope) {
            (0, _) => return Err(OrderError::NoSteps),
            (many, _) if many > MOST_STEPS => return Err(OrderError::TooManySteps(many)),
            (_, Scope::PerMille(it)) => part(*it)?,
            _ => {}
        }
        for step in &self.steps {
            if let Step::PerMille(it) = step {
                part(*it)?;
            }
        }
        let Bounds { fleet, most_out: most, ref zones, .. } = self.bounds;
        if zones.len() > MOST_ZONES {
            return Err(OrderError::TooManyZones(zones.len()));
        }
        if self.struck.len() > MOST_STRUCK {
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
        let sum: u32 = zones.values().map(|it| u32::from(it.0)).sum();
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
        if bytes > MOST_BYTES {
            return Err(OrderError::TooLong(bytes));
        }
        Ok(())
    }

    pub fn encode(&self) -> Vec<u8> {
        let rest = postcard::to_allocvec(self).unwrap_or_default();
        std::iter::once(VERSION).chain(rest).collect()
    }

    /// `None` if it is of a version that is not known here, cut, or one that can't stand. Bytes after it are
    /// a later version's.
    pub fn decode(bytes: &[u8]) -> Option<Order> {
        let (&VERSION, rest) = bytes.split_first()? else { return None };
        let order: Order = postcard::take_from_bytes(rest).ok()?.0;
        order.check().is_ok().then_some(order)
    }
}
