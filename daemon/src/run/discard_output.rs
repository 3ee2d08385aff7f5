//! An output for a front that has nothing to send yet.

use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::{AskId, Orders, Reply, SetUp};

/// Discards what the front asks for. A front asks for nothing before its first event.
pub struct DiscardOutput;

impl Orders for DiscardOutput {
    fn set_up(&mut self, _: &SetUp) {}
    fn call_off(&mut self, _: &ViewingId, _: usize, _: &ServerId, _: &str) {}
    fn change_rung(&mut self, _: &ViewingId, _: &ServerId, _: &str, _: Rung) {}
    fn let_go(&mut self, _: &ViewingId, _: &ServerId, _: &str) {}
    fn reply(&mut self, _: AskId, _: Reply) {}
    fn listen(&mut self, _: &ServerId, _: &str) {}
    fn hang_up(&mut self, _: &ServerId) {}
    fn probe(&mut self, _: &ServerId, _: &str) {}
}
