//! A council as processes of the program: who holds which slots while members die, stand still, lose their
//! stores and are cut off, looked at from outside.

mod clock;
#[allow(dead_code)]
#[path = "../members/cluster.rs"]
mod cluster;
mod cuts;
mod leaving;
mod losses;
mod many;
mod odd;
#[allow(dead_code)]
#[path = "../peer/mod.rs"]
mod peer;
mod slots;
mod table;
