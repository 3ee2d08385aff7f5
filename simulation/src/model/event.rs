//! What happens in a day, in the order of the wheel.

use super::wishes::Order;
use crate::links::{Manager, ServerNo};
use ottersail_front::recording::FrontInput;
use ottersail_front::Reply;

pub enum Event {
    Arrive,
    /// All managers look at their parts.
    Parts,
    /// A span of the day ends.
    Span,
    Step {
        viewer: usize,
        life: u32,
        step: Step,
    },
    /// The viewer has waited long enough for the answer to that request.
    GiveUp {
        viewer: usize,
        ask: u64,
        leaves: bool,
    },
    Reply {
        viewer: usize,
        ask: u64,
        reply: Reply,
    },
    Front {
        manager: Manager,
        life: u32,
        told: Box<FrontInput>,
    },
    Wake {
        manager: Manager,
        life: u32,
    },
    Order {
        manager: Manager,
        order: Box<Order>,
    },
    /// A set-up's work is done.
    Worked {
        manager: Manager,
        life: u32,
        server: ServerNo,
        born: u32,
        vw: String,
        no: usize,
        title: usize,
    },
    Sample {
        server: ServerNo,
        born: u32,
    },
    /// The list tells what it knows.
    List,
    Fault {
        ix: usize,
        on: bool,
    },
    /// One of the servers that a fault takes one after the other; `on` false ends its drain.
    Retire {
        server: ServerNo,
        ix: usize,
        on: bool,
    },
    Neighbour {
        ix: usize,
        on: bool,
    },
    Kill {
        manager: Manager,
        back: bool,
    },
    Move {
        manager: Manager,
    },
}

#[derive(Clone, Copy)]
pub enum Step {
    Ask,
    Reload,
    Fetch,
    Fetched,
}
