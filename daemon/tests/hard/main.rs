//! Hard cases between members as processes of the program: what is lost, cut and stopped between many at once.
//! Each tells what must be seen at no look, and what must come in the end.

mod apart;
#[allow(dead_code)]
#[path = "../members/cluster.rs"]
mod cluster;
mod halves;
mod looks;
mod losses;
mod pauses;
#[allow(dead_code)]
#[path = "../peer/mod.rs"]
mod peer;
mod rolling;
