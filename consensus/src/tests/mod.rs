//! Tests of single state machines, and of councils in a simulated network with simulated disks.

mod checker;
mod faults;
mod founding;
mod guards;
mod histories;
mod latency;
mod message_sizes;
mod simulation;
mod state_machines;
