//! The lives that are believed, each with its window of counters. Bounded; nothing gets in unproven.

use super::trouble::DropReason;
use super::window::Window;
use crate::{InstanceId, MemberId};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// So many lives are held in all (some 100 bytes each, so 100 KiB at most).
pub const LIVES: usize = 1024;

/// So many lives are held of one member: the one of today, some that it had before (they keep their windows),
/// or those of a name that was given to two.
pub const LIVES_OF_ONE: usize = 4;

/// A instance is not given up before every cookie that it had has run out.
pub const KEPT: Ms = Ms(2.0 * super::cookie::TICK.0);

#[derive(Debug)]
struct Held {
    window: Window,
    proven: Ms,
    heard: Ms,
    /// Another instance of the same member has proven itself since: this one has to do it again. Guards against
    /// datagrams of a dead process that were held back on the way and never opened.
    doubted: bool,
}

#[derive(Debug, Default)]
pub struct Lives(BTreeMap<(MemberId, InstanceId), Held>);

impl Lives {
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Whether the instance is believed; takes the counter if the instance is held at all.
    pub fn take(&mut self, now: Ms, who: (MemberId, InstanceId), counter: u64) -> Result<bool, DropReason> {
        let Some(held) = self.0.get_mut(&who) else { return Ok(false) };
        if !held.window.take(counter) {
            return Err(DropReason::Replayed);
        }
        held.heard = now;
        Ok(!held.doubted)
    }

    /// A instance has proven that it lives: believes it from beyond `counter` on.
    pub fn believe(&mut self, now: Ms, who: (MemberId, InstanceId), counter: u64) -> Result<(), DropReason> {
        if let Some(held) = self.0.get_mut(&who) {
            if held.doubted {
                let window = Window::closed_at(counter.max(held.window.highest()));
                *held = Held { window, proven: now, heard: now, doubted: false };
            }
            return Ok(());
        }
        self.make_room(now, who.0)?;
        for (_, other) in self.0.range_mut(Self::all_of(who.0)) {
            other.doubted = true;
        }
        let window = Window::closed_at(counter);
        self.0.insert(who, Held { window, proven: now, heard: now, doubted: false });
        Ok(())
    }

    fn all_of(member: MemberId) -> std::ops::RangeInclusive<(MemberId, InstanceId)> {
        (member, InstanceId(0))..=(member, InstanceId(u64::MAX))
    }

    /// Gives up a doubted instance before others, then the one that was not heard for longest. One whose proof
    /// is younger than `KEPT` stays: its echo would be believed a second time, with a new window.
    fn make_room(&mut self, now: Ms, member: MemberId) -> Result<(), DropReason> {
        let old = |it: &(&(MemberId, InstanceId), &Held)| now - it.1.proven > KEPT;
        let order = |it: &(&(MemberId, InstanceId), &Held)| (!it.1.doubted, it.1.heard);
        let own = self.0.range(Self::all_of(member));
        let out = if own.clone().count() >= LIVES_OF_ONE {
            own.filter(old).min_by_key(order)
        } else if self.0.len() >= LIVES {
            self.0.iter().filter(old).min_by_key(order)
        } else {
            return Ok(());
        };
        let out = *out.ok_or(DropReason::TableFull)?.0;
        self.0.remove(&out);
        Ok(())
    }
}
