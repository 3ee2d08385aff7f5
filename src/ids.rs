//! Identifiers. Each kind has a type of its own, so that the compiler rejects a mix-up.

use std::fmt;
use std::rc::Rc;

macro_rules! name_ids {
    ($($(#[$doc:meta])* $id:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $id(Rc<str>);

        impl From<&str> for $id {
            fn from(text: &str) -> Self {
                $id(text.into())
            }
        }

        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

macro_rules! number_ids {
    ($($(#[$doc:meta])* $id:ident($number:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $id(pub $number);
    )*};
}

name_ids!(
    /// A viewing: one request of a viewer and the playing that follows from it.
    ViewingId,
    /// A streaming server.
    ServerId,
    /// A title.
    TitleId,
    /// An availability zone.
    Zone,
    /// A hardware model of servers.
    HardwareKind,
);
number_ids!(
    /// Index into the configured packages.
    PackageIndex(usize),
    /// Index into the configured tenants.
    TenantIndex(usize),
    /// Index into the ladder; 0 is the lowest rung.
    Rung(usize),
    /// Number of a session manager, from 0.
    ManagerIndex(u64),
    /// A cell: a group of servers that hold the same titles.
    Cell(u64),
    /// A rack: the servers behind one uplink.
    Rack(u64),
    /// Index of a tune-in within its viewing, from 0.
    TuneInIndex(usize),
    /// Identifies a scheduled timer to whoever scheduled it.
    TimerTag(u64),
);

/// A hash of a name that is the same in every process.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(7, |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)) >> 40
}
