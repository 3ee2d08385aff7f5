//! The machine itself: one method an input.

use crate::ids::{Address, DialTag, MemberId, Topic};
use crate::message::{Message, Sender};
use crate::terms::Terms;
use crate::view::{Figures, Known, Wishes};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// One member's view of all members.
pub struct Members {
    terms: Terms,
    known: BTreeMap<MemberId, Known>,
    figures: Figures,
    bell: Ms,
}

impl Members {
    /// A member that starts now; equal seeds and inputs give equal outputs.
    pub fn born(now: Ms, _seed: u64, terms: Terms) -> Members {
        Members { terms, known: BTreeMap::new(), figures: Figures::default(), bell: now }
    }

    /// When [`Members::bell`] wants to be called next.
    pub fn bell_at(&self) -> Ms {
        self.bell
    }

    pub fn bell(&mut self, now: Ms, _out: &mut dyn Wishes) {
        self.bell = now + self.terms.period;
    }

    /// A message that the gate has opened.
    pub fn message(&mut self, _now: Ms, _from: Sender, _message: Message, _out: &mut dyn Wishes) {}

    /// The second way's answer.
    pub fn dialled(&mut self, _now: Ms, _tag: DialTag, _up: bool, _out: &mut dyn Wishes) {}

    /// One message of an upper layer, at once, at most 900 bytes; false if `to` is not known or it is too long.
    pub fn tell(
        &mut self,
        _now: Ms,
        _to: MemberId,
        _topic: Topic,
        _bytes: &[u8],
        _out: &mut dyn Wishes,
    ) -> bool {
        false
    }

    /// A rider of at most 64 bytes on own probes and acks from now on; empty takes it off.
    pub fn carry(&mut self, _topic: Topic, _bytes: &[u8]) {}

    /// Say goodbye; afterwards the machine is silent.
    pub fn leave(&mut self, _now: Ms, _out: &mut dyn Wishes) {}

    /// All others that are known, the dead included, this member not.
    pub fn roster(&self) -> impl Iterator<Item = (&MemberId, &Known)> {
        self.known.iter()
    }

    pub fn figures(&self) -> Figures {
        self.figures
    }

    pub fn me(&self) -> Address {
        self.terms.me.address
    }
}
