//! What the model keeps of each manager, viewer and server.

use crate::crowd::Wanted;
use crate::links::Manager;
use crate::player::{Buffer, Segment};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Front, WatchId};
use std::collections::{BTreeMap, VecDeque};

pub struct Post {
    pub front: Option<Front>,
    pub life: u32,
    pub armed: f64,
    /// It stands still until then; what comes waits.
    pub still_until: f64,
    pub waits: Vec<FrontInput>,
    pub asks: BTreeMap<u64, usize>,
}

pub struct Viewer {
    pub wanted: Wanted,
    pub life: u32,
    pub tries: u8,
    pub manager: Manager,
    /// The request that waits for its answer, when it was sent, and whether it is a first one.
    pub ask: Option<(u64, f64, bool)>,
    pub watch: Option<WatchId>,
    pub buffer: Buffer,
    pub fetch: VecDeque<Segment>,
    pub fetched: bool,
    pub ended: bool,
    pub began: f64,
    pub asked_at: f64,
    pub failures: u8,
}

/// What more is known of a server than its links.
pub struct Kept {
    pub born: u32,
    pub next_report: f64,
    pub next_second: f64,
    pub silent: bool,
}
