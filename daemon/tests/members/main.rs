//! Members as processes of the program: what they believe of one another while they die, stand still, lose
//! datagrams and are flooded, looked at from outside.

#[allow(dead_code)]
mod cluster;
mod cuts;
mod deaths;
mod flood;
mod names;
mod nothing;
#[allow(dead_code)]
#[path = "../peer/mod.rs"]
mod peer;
