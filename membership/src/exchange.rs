//! Anti-entropy: two members compare checksums over buckets of members, then send each other pages of the
//! buckets that differ. Members that agree exchange checksums only.

use crate::gossip::max_update_bytes;
use crate::ids::{Address, MemberId};
use crate::members::Members;
use crate::message::{Body, Message, Sender, State, Update};
use crate::view::Effects;
use ottersail::time::Ms;

/// Buckets that member ids are divided into; a page request is a bit mask over them.
const BUCKETS: usize = 64;
const CHECKSUM_BYTES: usize = 3;
/// Bytes of updates in one page.
const PAGE_BYTES: usize = 1000;

fn bucket(id: MemberId) -> usize {
    (id.0 % BUCKETS as u64) as usize
}

/// One checksum per bucket. Dead members are left out: members forget them at different times, so their
/// checksums would never agree.
fn checksums(entries: impl Iterator<Item = (MemberId, u64, u32)>) -> Vec<u8> {
    let mut sums = vec![0u8; BUCKETS * CHECKSUM_BYTES];
    for (id, instance, incarnation) in entries {
        let mut mixed =
            id.0 ^ instance.rotate_left(21) ^ u64::from(incarnation).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        for (offset, byte) in mixed.to_be_bytes().iter().take(CHECKSUM_BYTES).enumerate() {
            sums[bucket(id) * CHECKSUM_BYTES + offset] ^= byte;
        }
    }
    sums
}

impl Members {
    fn own_checksums(&self) -> Vec<u8> {
        let local = &self.config.local;
        let others = self.peers.iter().filter(|(_, peer)| peer.is_up());
        let others = others.map(|(id, peer)| (*id, peer.view.instance.0, peer.view.incarnation.0));
        checksums(others.chain([(local.id, local.instance.0, self.incarnation.0)]))
    }

    /// Starts the exchanges that are due, with a random member that is up and with a random dead one.
    pub(crate) fn advance_exchange(&mut self, now: Ms, effects: &mut dyn Effects) {
        if now >= self.next_exchange {
            // Members that joined at the same time know little of each other: the interval starts short and
            // doubles up to the configured one.
            self.next_exchange = now + self.exchange_gap;
            self.exchange_gap = (self.exchange_gap * 2.0).min(self.config.exchange_interval);
            self.forget_dead(now);
            if let Some(id) = self.sample_up(1).pop().filter(|_| !self.passive()) {
                self.begin_exchange(self.peers[&id].view.address, effects);
            }
        }
        if now >= self.next_dead_exchange {
            self.next_dead_exchange = now + self.config.probe_period * 2.0;
            self.exchange_with_dead(effects);
        }
    }

    /// Keeps the two sides of a partition from declaring each other dead for good: a dead member is contacted
    /// and learns what is said of it, which it refutes if it is running.
    fn exchange_with_dead(&mut self, effects: &mut dyn Effects) {
        let dead: Vec<Address> = self
            .peers
            .values()
            .filter(|peer| peer.view.state == State::Dead)
            .map(|peer| peer.view.address)
            .collect();
        if let Some(address) = self.rng.sample(dead, 1).pop().filter(|_| !self.passive()) {
            self.begin_exchange(address, effects);
        }
    }

    fn forget_dead(&mut self, now: Ms) {
        let forget_after = self.config.forget_after;
        self.peers.retain(|_, peer| peer.is_up() || now - peer.view.since < forget_after);
    }

    pub(crate) fn begin_exchange(&mut self, to: Address, effects: &mut dyn Effects) {
        self.counters.exchanges += 1;
        let sums = self.own_checksums();
        self.send_to_address(to, Body::Digest { sums }, effects);
    }

    pub(crate) fn handle_digest(&mut self, from: Sender, theirs: &[u8], effects: &mut dyn Effects) {
        let ours = self.own_checksums();
        if theirs.len() != ours.len() {
            self.counters.unexpected += 1;
            return;
        }
        let mask = ours
            .chunks(CHECKSUM_BYTES)
            .zip(theirs.chunks(CHECKSUM_BYTES))
            .enumerate()
            .filter(|(_, (own, other))| own != other)
            .fold(0u64, |mask, (bucket, _)| mask | 1 << bucket);
        self.send_page(from.address, mask, None, true, effects);
    }

    /// Sends what is known of the members in the buckets of `mask`, in order of their ids, from the one past
    /// `after` on, as far as a datagram holds. `back` asks the receiver for its own page.
    pub(crate) fn send_page(
        &mut self,
        to: Address,
        mask: u64,
        after: Option<MemberId>,
        back: bool,
        effects: &mut dyn Effects,
    ) {
        let wanted = |id: &MemberId| mask >> bucket(*id) & 1 == 1 && after.is_none_or(|after| *id > after);
        let own_id = self.config.local.id;
        let mut ids: Vec<MemberId> = self.peers.keys().chain([&own_id]).copied().filter(wanted).collect();
        ids.sort();
        let (mut updates, mut bytes, mut more) = (Vec::<Update>::new(), 0, false);
        for id in ids {
            let update = if id == own_id {
                Some(self.update_about_self(State::Alive))
            } else {
                self.update_about(id, None)
            };
            let Some(update) = update else { continue };
            bytes += max_update_bytes(&update);
            if bytes > PAGE_BYTES {
                more = true;
                break;
            }
            updates.push(update);
        }
        let body = Body::Page { mask, more, back };
        let message = Message { incarnation: self.incarnation, body, updates, piggybacks: Vec::new() };
        self.counters.sent += 1;
        effects.send(to, &message);
    }

    /// The updates of the page have been applied already: requests the next page and sends the own one.
    pub(crate) fn handle_page(
        &mut self,
        from: Sender,
        (mask, more, back): (u64, bool, bool),
        updates: &[Update],
        effects: &mut dyn Effects,
    ) {
        if let Some(last) = updates.last().filter(|_| more) {
            self.send_to_address(from.address, Body::NextPage { mask, after: last.member }, effects);
        }
        if back && mask != 0 {
            self.send_page(from.address, mask, None, false, effects);
        }
    }
}
