//! A front's wishes where there can be none.

use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::{Effects, Reply, RequestId, SetUp};

/// Wishes before anything has happened: there are none.
pub struct DiscardOutput;

impl Effects for DiscardOutput {
    fn set_up(&mut self, _: &SetUp) {}
    fn cancel_set_up(&mut self, _: &ViewingId, _: usize, _: &ServerId, _: &str) {}
    fn change_rung(&mut self, _: &ViewingId, _: &ServerId, _: &str, _: Rung) {}
    fn end_viewing(&mut self, _: &ViewingId, _: &ServerId, _: &str) {}
    fn reply(&mut self, _: RequestId, _: Reply) {}
    fn open_notes(&mut self, _: &ServerId, _: &str) {}
    fn close_notes(&mut self, _: &ServerId) {}
    fn probe(&mut self, _: &ServerId, _: &str) {}
}
