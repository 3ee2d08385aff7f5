//! Several cores of one manager, on loopback: what they do to one viewing, seat or server at the same moment.

#[allow(dead_code)]
#[path = "../peer/mod.rs"]
mod peer;
mod races;
mod seat;
mod still;
mod told;
