//! One type for each kind of id, so that none can stand in for another.

use std::fmt;
use std::rc::Rc;

macro_rules! name_ids {
    ($($id:ident),*) => {$(
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
    ($($id:ident($number:ty)),*) => {$(
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $id(pub $number);
    )*};
}

name_ids!(ViewingId, ServerId, TitleId, Zone, HardwareKind);
number_ids!(PackageIndex(usize), TenantIndex(usize), Rung(usize), ManagerIndex(u64), Cell(u64), Rack(u64));
number_ids!(TuneInIndex(usize), TimerTag(u64));

/// A number that tells names apart; equal names give equal numbers everywhere.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(7, |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)) >> 40
}
