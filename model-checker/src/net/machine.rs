use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use super::Node;

/// What is left of a machine after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Memory {
    /// What was made durable is there.
    Kept,
    /// The disk is new.
    Lost,
}

/// What a machine sends, in its order.
pub type Out<M> = Vec<(Node, M)>;

/// One machine without I/O. Its clock is its own; nothing here sees true time.
pub trait Machine: Clone {
    type Message: Clone + Debug + Ord + Hash;
    /// A thing it may do of its own accord: a bell, a client's wish, a disk that is done.
    type Act: Clone + Debug;

    fn hear(&mut self, clock: u32, from: Node, message: &Self::Message, out: &mut Out<Self::Message>);

    /// What it may do now.
    fn acts(&self, clock: u32) -> Vec<Self::Act>;

    fn act(&mut self, clock: u32, act: &Self::Act, out: &mut Out<Self::Message>);

    /// Whether an act is due that a running machine does before time goes on. Only a pause holds it up then.
    fn due(&self, _clock: u32) -> bool {
        false
    }

    /// Started again after a crash: all that was not durable is gone.
    fn restart(&mut self, clock: u32, memory: Memory);

    /// Gives its whole state to a print.
    fn state<H: Hasher>(&self, into: &mut H);
}
