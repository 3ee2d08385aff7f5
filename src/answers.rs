//! What the module says: an implementation passes each call on at once.

use crate::ids::{BellTag, ManagerIx, Rung, ServerId, TuneInNo, ViewingId};
use crate::time::Ms;

pub trait Answers {
    fn relay(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms);
    fn withdraw(&mut self, vw: &ViewingId, no: TuneInNo);
    fn step_to(&mut self, vw: &ViewingId, rung: Rung);
    fn shed(&mut self, vw: &ViewingId, stay_away: Option<Ms>);
    fn abort(&mut self, vw: &ViewingId);
    fn rebalance(&mut self, vw: &ViewingId);
    fn schedule(&mut self, tag: BellTag, at: Ms);
    fn publish(&mut self, to: Option<ManagerIx>, payload: &[u8]);
    fn inspect(&mut self, server: &ServerId);
    fn subscribe(&mut self);
    fn debug(&mut self, text: &str);
}
