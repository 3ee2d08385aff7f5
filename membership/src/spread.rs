//! Rumours: what has changed goes along with every message, and by itself while there is any.

use crate::ids::{Address, MemberId};
use crate::machine::Members;
use crate::message::{Body, Message, Piggyback, State, Update};
use crate::view::Effects;
use ottersail::time::Ms;

/// Bytes of news along with a message that has a purpose of its own, and in one that has none.
const ALONG: usize = 400;
const ALONE: usize = 900;
/// Members that get a message of rumours alone, and how often in a period.
const FAN: usize = 3;
const TICKS: f64 = 5.0;

/// At most how many bytes one piece of news takes in a message.
pub(crate) fn size(news: &Update) -> usize {
    33 + news.place.as_ref().map_or(0, |place| 11 + place.name.len() + place.site.len())
}

pub(crate) struct Rumour {
    pub news: Update,
    pub sent: u32,
}

impl Members {
    /// The newest rumour of a member replaces the one before.
    pub(crate) fn spread(&mut self, news: Update) {
        self.rumours.insert(news.about, Rumour { news, sent: 0 });
    }

    /// Others spread it as well: each time it comes back counts as a sending.
    pub(crate) fn heard_again(&mut self, about: MemberId) {
        let most = self.most_sendings();
        if let Some(rumour) = self.rumours.get_mut(&about) {
            rumour.sent += 1;
            if rumour.sent >= most {
                self.rumours.remove(&about);
            }
        }
    }

    fn most_sendings(&self) -> u32 {
        (self.terms.retransmit_factor * ((self.count() + 1) as f64).log2()).ceil() as u32
    }

    /// Fewest-sent first, as many as fit.
    fn take_rumours(&mut self, room: usize) -> Vec<Update> {
        if self.rumours.is_empty() {
            return Vec::new();
        }
        let most = self.most_sendings();
        let mut order: Vec<(u32, MemberId)> = self.rumours.iter().map(|(id, it)| (it.sent, *id)).collect();
        order.sort();
        let (mut bytes, mut taken) = (0, Vec::new());
        for (_, id) in order {
            let Some(rumour) = self.rumours.get_mut(&id) else { continue };
            if bytes + size(&rumour.news) > room {
                break;
            }
            bytes += size(&rumour.news);
            rumour.sent += 1;
            taken.push(rumour.news.clone());
            if rumour.sent >= most {
                self.rumours.remove(&id);
            }
        }
        taken
    }

    /// To someone who may not be known; rumours go along.
    pub(crate) fn say(&mut self, to: Address, body: Body, out: &mut dyn Effects) {
        self.say_with(to, body, Vec::new(), out);
    }

    /// To a member: if it is held suspect or worse it is told so first, that it may contradict.
    pub(crate) fn say_to(&mut self, id: MemberId, to: Address, body: Body, out: &mut dyn Effects) {
        let accused = self.peers.get(&id).is_some_and(|peer| peer.known.state != State::Alive);
        let first = accused.then(|| self.update_about(id, None)).flatten();
        self.say_with(to, body, first.into_iter().collect(), out);
    }

    fn say_with(&mut self, to: Address, body: Body, mut news: Vec<Update>, out: &mut dyn Effects) {
        let (room, ridden) = match body {
            Body::Gossip => (ALONE, false),
            Body::Tell { .. } => (0, false),
            Body::Probe { .. } | Body::Ack { .. } => (ALONG, true),
            _ => (ALONG, false),
        };
        if !self.passive() {
            news.extend(self.take_rumours(room));
        }
        let piggybacks = self.carried.iter().filter(|_| ridden);
        let piggybacks =
            piggybacks.map(|(topic, bytes)| Piggyback { topic: *topic, bytes: bytes.clone() }).collect();
        self.counters.sent += 1;
        out.send(to, &Message { incarnation: self.incarnation, body, updates: news, piggybacks });
    }

    pub(crate) fn mind_gossip(&mut self, now: Ms, out: &mut dyn Effects) {
        if now < self.next_gossip || self.rumours.is_empty() || self.passive() {
            return;
        }
        self.next_gossip = now + self.terms.probe_period * (1.0 / TICKS);
        for id in self.some_living(FAN) {
            if !self.rumours.is_empty() {
                self.say_to(id, self.peers[&id].known.address, Body::Gossip, out);
            }
        }
    }
}
