//! Tests of encodings and single rules, and of random histories of whole fleets in simulated time.

mod carry_out;
mod checker;
mod coordinating;
mod council;
mod faults;
mod fleets;
mod histories;
mod member_life;
mod rules;
mod simulation;
