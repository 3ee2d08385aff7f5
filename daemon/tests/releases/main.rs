//! Releases between processes of the program: who is out when, looked at from outside, while members are killed, the
//! council is lost, and orders change. Whoever supervises the managers stands in `field.rs`.

#[allow(dead_code)]
#[path = "../members/cluster.rs"]
mod cluster;
mod faults;
mod field;
mod orders;
#[allow(dead_code)]
#[path = "../peer/mod.rs"]
mod peer;
