//! Full exchange: sums first, then pages of the buckets that differ, so that two that agree pay for sums only.

use crate::ids::{Address, MemberId};
use crate::machine::Members;
use crate::message::{Body, Message, Sender, State, Update};
use crate::spread::size;
use crate::view::Effects;
use ottersail::time::Ms;

const BUCKETS: usize = 64;
const WIDTH: usize = 3;
/// Bytes of news in one page.
const PAGE: usize = 1000;

fn bucket(id: MemberId) -> usize {
    (id.0 % BUCKETS as u64) as usize
}

/// The dead are left out of the sums: they are forgotten at different times, and would differ for ever.
fn sums(entries: impl Iterator<Item = (MemberId, u64, u32)>) -> Vec<u8> {
    let mut sums = vec![0u8; BUCKETS * WIDTH];
    for (id, instance, incarnation) in entries {
        let mut mixed =
            id.0 ^ instance.rotate_left(21) ^ u64::from(incarnation).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        for (at, byte) in mixed.to_be_bytes().iter().take(WIDTH).enumerate() {
            sums[bucket(id) * WIDTH + at] ^= byte;
        }
    }
    sums
}

impl Members {
    fn sums(&self) -> Vec<u8> {
        let me = &self.terms.local;
        let others = self.peers.iter().filter(|(_, peer)| peer.up());
        let others = others.map(|(id, peer)| (*id, peer.known.instance.0, peer.known.incarnation.0));
        sums(others.chain([(me.id, me.instance.0, self.incarnation.0)]))
    }

    pub(crate) fn mind_exchange(&mut self, now: Ms, out: &mut dyn Effects) {
        if now >= self.next_exchange {
            // Those that came in at the same time know little of each other: at first often, then seldom.
            self.next_exchange = now + self.exchange_gap;
            self.exchange_gap = (self.exchange_gap * 2.0).min(self.terms.exchange_interval);
            self.forget(now);
            if let Some(id) = self.some_living(1).pop().filter(|_| !self.passive()) {
                self.begin_exchange(self.peers[&id].known.address, out);
            }
        }
        if now >= self.next_recall {
            self.next_recall = now + self.terms.probe_period * 2.0;
            self.recall(out);
        }
    }

    /// Guards against two halves that bury each other and never meet again: a dead one is called, and told
    /// what is said of it; if it lives it contradicts.
    fn recall(&mut self, out: &mut dyn Effects) {
        let dead = |peer: &&crate::peer::Peer| peer.known.state == State::Dead;
        let dead: Vec<Address> = self.peers.values().filter(dead).map(|peer| peer.known.address).collect();
        if let Some(address) = self.chance.sample(dead, 1).pop().filter(|_| !self.passive()) {
            self.begin_exchange(address, out);
        }
    }

    fn forget(&mut self, now: Ms) {
        let long = self.terms.forget_after;
        self.peers.retain(|_, peer| peer.up() || now - peer.known.since < long);
    }

    pub(crate) fn begin_exchange(&mut self, to: Address, out: &mut dyn Effects) {
        self.counters.exchanges += 1;
        let sums = self.sums();
        self.say(to, Body::Digest { sums }, out);
    }

    pub(crate) fn digest(&mut self, from: Sender, theirs: &[u8], out: &mut dyn Effects) {
        let ours = self.sums();
        if theirs.len() != ours.len() {
            self.counters.unexpected += 1;
            return;
        }
        let differs = |(_, (a, b)): &(usize, (&[u8], &[u8]))| a != b;
        let pairs = ours.chunks(WIDTH).zip(theirs.chunks(WIDTH)).enumerate().filter(differs);
        let mask = pairs.fold(0u64, |mask, (at, _)| mask | 1 << at);
        self.send_page(from.address, mask, None, true, out);
    }

    pub(crate) fn send_page(
        &mut self,
        to: Address,
        mask: u64,
        after: Option<MemberId>,
        back: bool,
        out: &mut dyn Effects,
    ) {
        let wanted = |id: &MemberId| mask >> bucket(*id) & 1 == 1 && after.is_none_or(|after| *id > after);
        let me = self.terms.local.id;
        let mut ids: Vec<MemberId> = self.peers.keys().chain([&me]).copied().filter(wanted).collect();
        ids.sort();
        let (mut news, mut bytes, mut more) = (Vec::<Update>::new(), 0, false);
        for id in ids {
            let one = if id == me {
                Some(self.update_about_self(State::Alive))
            } else {
                self.update_about(id, None)
            };
            let Some(one) = one else { continue };
            bytes += size(&one);
            if bytes > PAGE {
                more = true;
                break;
            }
            news.push(one);
        }
        let body = Body::Page { mask, more, back };
        let message = Message { incarnation: self.incarnation, body, updates: news, piggybacks: Vec::new() };
        self.counters.sent += 1;
        out.send(to, &message);
    }

    pub(crate) fn page(
        &mut self,
        from: Sender,
        (mask, more, back): (u64, bool, bool),
        news: &[Update],
        out: &mut dyn Effects,
    ) {
        if let Some(last) = news.last().filter(|_| more) {
            self.say(from.address, Body::Next { mask, after: last.about }, out);
        }
        if back && mask != 0 {
            self.send_page(from.address, mask, None, false, out);
        }
    }
}
