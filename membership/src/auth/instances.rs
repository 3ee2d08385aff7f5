//! The verified instances, each with its replay window. The table is bounded, and no instance enters it
//! before it has proved that it is running.

use super::error::DropReason;
use super::window::Window;
use crate::{InstanceId, MemberId};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// Instances that are stored at most, at about 100 bytes each, so 100 KiB in all.
pub const MAX_INSTANCES: usize = 1024;

/// Instances of one member that are stored at most: the current one, earlier ones (which keep their windows),
/// or those of a name that two processes were given.
pub const MAX_INSTANCES_PER_MEMBER: usize = 4;

/// An instance is not evicted before every cookie that it received has expired.
pub const MIN_RETENTION: Ms = Ms(2.0 * super::cookie::VALIDITY_INTERVAL.0);

#[derive(Debug)]
struct Entry {
    window: Window,
    verified: Ms,
    last_heard: Ms,
    /// Another instance of the same member has been verified since, so this one has to echo a cookie again.
    /// Otherwise datagrams of a dead process that were delayed on the way would still be accepted.
    doubted: bool,
}

/// The table of verified instances.
#[derive(Debug, Default)]
pub struct Instances(BTreeMap<(MemberId, InstanceId), Entry>);

impl Instances {
    /// The number of stored instances.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Marks the counter as seen if the instance is stored, and returns whether the instance is verified.
    pub fn accept(
        &mut self,
        now: Ms,
        sender: (MemberId, InstanceId),
        counter: u64,
    ) -> Result<bool, DropReason> {
        let Some(entry) = self.0.get_mut(&sender) else { return Ok(false) };
        if !entry.window.accept(counter) {
            return Err(DropReason::Replayed);
        }
        entry.last_heard = now;
        Ok(!entry.doubted)
    }

    /// An instance has proved that it is running: counters above `counter` are accepted from now on.
    pub fn verify(
        &mut self,
        now: Ms,
        sender: (MemberId, InstanceId),
        counter: u64,
    ) -> Result<(), DropReason> {
        if let Some(entry) = self.0.get_mut(&sender) {
            if entry.doubted {
                let window = Window::closed_at(counter.max(entry.window.highest()));
                *entry = Entry { window, verified: now, last_heard: now, doubted: false };
            }
            return Ok(());
        }
        self.make_room(now, sender.0)?;
        for (_, other) in self.0.range_mut(Self::all_of(sender.0)) {
            other.doubted = true;
        }
        let window = Window::closed_at(counter);
        self.0.insert(sender, Entry { window, verified: now, last_heard: now, doubted: false });
        Ok(())
    }

    fn all_of(member: MemberId) -> std::ops::RangeInclusive<(MemberId, InstanceId)> {
        (member, InstanceId(0))..=(member, InstanceId(u64::MAX))
    }

    /// Evicts a doubted instance before others, and then the one that was not heard for longest. One that was
    /// verified less than `MIN_RETENTION` ago stays: its echo would be accepted a second time, with a new
    /// window.
    fn make_room(&mut self, now: Ms, member: MemberId) -> Result<(), DropReason> {
        let evictable = |(_, entry): &(&(MemberId, InstanceId), &Entry)| now - entry.verified > MIN_RETENTION;
        let order = |(_, entry): &(&(MemberId, InstanceId), &Entry)| (!entry.doubted, entry.last_heard);
        let own = self.0.range(Self::all_of(member));
        let evicted = if own.clone().count() >= MAX_INSTANCES_PER_MEMBER {
            own.filter(evictable).min_by_key(order)
        } else if self.0.len() >= MAX_INSTANCES {
            self.0.iter().filter(evictable).min_by_key(order)
        } else {
            return Ok(());
        };
        let evicted = *evicted.ok_or(DropReason::TableFull)?.0;
        self.0.remove(&evicted);
        Ok(())
    }
}
