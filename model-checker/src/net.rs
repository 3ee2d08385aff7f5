//! A network of machines without I/O, as a [`World`]'s larger part: what is in flight, who hears whom, who
//! runs, and what each one's clock says while true time, known to the checker alone, goes on.

mod faults;
mod machine;
mod step;

pub use faults::{Faults, Rates};
pub use machine::{Machine, Memory, Out};
pub use step::{Net, NetStep, Node, Spot};
