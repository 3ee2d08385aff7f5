//! What a front wants done: orders to servers, and replies to viewers.

use crate::links::ServerNo;
use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::{Effects, Reply, RequestId, SetUp};

/// What a front wants done, on its way to a server.
pub enum Order {
    SetUp {
        vw: String,
        no: usize,
        server: ServerNo,
        title: usize,
        package: String,
        rung: usize,
        send_by: f64,
    },
    CallOff {
        vw: String,
        no: usize,
        server: ServerNo,
    },
    ChangeRung {
        vw: String,
        server: ServerNo,
        rung: usize,
    },
    LetGo {
        vw: String,
        server: ServerNo,
    },
    Listen {
        server: ServerNo,
    },
    HangUp {
        server: ServerNo,
    },
    Probe {
        server: ServerNo,
    },
}

#[derive(Default)]
pub struct Wishes {
    pub orders: Vec<Order>,
    pub replies: Vec<(RequestId, Reply)>,
}

/// The model's servers are named by their number.
pub fn server(id: &ServerId) -> ServerNo {
    ServerNo(id.to_string().strip_prefix("box-").and_then(|it| it.parse().ok()).unwrap_or(usize::MAX))
}

pub fn name(it: ServerNo) -> String {
    format!("box-{}", it.0)
}

impl Effects for Wishes {
    fn set_up(&mut self, it: &SetUp) {
        let title = it.title.to_string();
        self.orders.push(Order::SetUp {
            vw: it.viewing.to_string(),
            no: it.tune_in,
            server: server(&it.server),
            title: title.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or(0),
            package: it.package.clone(),
            rung: it.rung.0,
            send_by: it.send_by.0,
        });
    }
    fn cancel_set_up(&mut self, vw: &ViewingId, no: usize, at: &ServerId, _: &str) {
        self.orders.push(Order::CallOff { vw: vw.to_string(), no, server: server(at) });
    }
    fn change_rung(&mut self, vw: &ViewingId, at: &ServerId, _: &str, rung: Rung) {
        self.orders.push(Order::ChangeRung { vw: vw.to_string(), server: server(at), rung: rung.0 });
    }
    fn end_viewing(&mut self, vw: &ViewingId, at: &ServerId, _: &str) {
        self.orders.push(Order::LetGo { vw: vw.to_string(), server: server(at) });
    }
    fn reply(&mut self, ask: RequestId, reply: Reply) {
        self.replies.push((ask, reply));
    }
    fn open_notes(&mut self, at: &ServerId, _: &str) {
        self.orders.push(Order::Listen { server: server(at) });
    }
    fn close_notes(&mut self, at: &ServerId) {
        self.orders.push(Order::HangUp { server: server(at) });
    }
    fn probe(&mut self, at: &ServerId, _: &str) {
        self.orders.push(Order::Probe { server: server(at) });
    }
}
