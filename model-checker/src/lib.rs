//! Goes through every history of a small world, breadth first, and prints the shortest bad one.
//!
//! Explicit-state checking as in Lamport's TLC (Yu, Manolios, Lamport 1999, "Model checking TLA+
//! specifications"): states are kept as 128-bit prints, so two states with one print count as one. At a
//! million states the chance that any two different ones share a print is about 10^-27. Symmetry by id as
//! in Clarke, Enders, Filkorn, Jha 1996, "Exploiting symmetry in temporal logic model checking"; sound only
//! where the world says so.
//!
//! No I/O, no clocks: the verdict, the history and the counts are the same at every run.

mod print;
mod report;
mod search;
mod world;

pub mod net;

pub use print::{least_print, orders, print_of, Printer};
pub use report::{Bound, Report, Unexpected, Verdict};
pub use search::{explore, Limits};
pub use world::World;
