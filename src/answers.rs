//! What the module says: an implementation passes each call on at once.

use crate::ids::{BellTag, Rung, ServerId, ViewingId};
use crate::time::Ms;

pub trait Answers {
    fn relay(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms);
    fn step_to(&mut self, vw: &ViewingId, rung: Rung);
    fn shed(&mut self, vw: &ViewingId, stay_away: Option<Ms>);
    fn abort(&mut self, vw: &ViewingId);
    fn schedule(&mut self, tag: BellTag, at: Ms);
    fn subscribe(&mut self);
    /// A probe: its report comes as an echo.
    fn inspect(&mut self, server: &ServerId);
}
