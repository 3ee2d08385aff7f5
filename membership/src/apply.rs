//! Which news are believed: the greater (incarnation, instance, state) wins, with two guards for the living.

use crate::ids::{Incarnation, InstanceId};
use crate::machine::Members;
use crate::message::{State, Update};
use crate::peer::Peer;
use crate::view::{Change, Effects, StateChangeReason};
use ottersail::time::Ms;

/// Within this many periods an own acknowledgement outweighs what others say of a death.
const FRESH: f64 = 3.0;

fn rank(incarnation: Incarnation, instance: InstanceId, state: State) -> (Incarnation, InstanceId, State) {
    (incarnation, instance, state)
}

impl Members {
    pub(crate) fn apply(&mut self, now: Ms, news: &Update, in_page: bool, out: &mut dyn Effects) {
        // Guards against pages that do not fit a datagram: names are passed on as they come.
        if news.place.as_ref().is_some_and(|place| place.name.len() > 32 || place.site.len() > 32) {
            self.counters.unexpected += 1;
            return;
        }
        if news.about == self.terms.local.id {
            return self.told_of_me(now, news, out);
        }
        let Some(peer) = self.peers.get(&news.about) else { return self.newcomer(now, news, in_page, out) };
        let known = &peer.known;
        let held = rank(known.incarnation, known.instance, known.state);
        let told = rank(news.incarnation, news.instance, news.state);
        let same_life = known.instance == news.instance;
        if told <= held {
            if told == held && news.state == State::Suspect {
                self.confirm(now, news, out);
            } else if told == held {
                self.heard_again(news.about);
            }
            return;
        }
        // Guards against one that does not hear a member burying it for those that do; and against halves
        // that meet again burying one another's living.
        let fresh = now - peer.acked < self.terms.probe_period * FRESH;
        let doubted = news.state == State::Dead && known.state <= State::Suspect && same_life;
        match news.state {
            State::Alive => self.believe_alive(now, news, out),
            State::Suspect => {
                self.take_incarnation(news);
                self.suspect(now, news.about, news.by, out);
            }
            State::Dead if doubted && (in_page || fresh) => {
                self.take_incarnation(news);
                self.suspect(now, news.about, news.by, out);
                if fresh {
                    self.probe(now, news.about, out);
                }
            }
            State::Dead | State::Left => {
                self.take_incarnation(news);
                self.spread(news.clone());
                self.set_state(now, news.about, news.state, StateChangeReason::Reported, out);
            }
        }
    }

    fn take_incarnation(&mut self, news: &Update) {
        if let Some(peer) = self.peers.get_mut(&news.about) {
            peer.known.incarnation = news.incarnation;
            if peer.known.instance != news.instance {
                peer.known.instance = news.instance;
                peer.suspicion = None;
                self.suspects.remove(&news.about);
                if let Some(place) = &news.place {
                    peer.known.address = place.address;
                }
            }
        }
    }

    fn believe_alive(&mut self, now: Ms, news: &Update, out: &mut dyn Effects) {
        let Some(place) = &news.place else { return };
        let Some(peer) = self.peers.get_mut(&news.about) else { return };
        let other_life = peer.known.instance != news.instance;
        peer.known.incarnation = news.incarnation;
        peer.known.instance = news.instance;
        peer.known.address = place.address;
        peer.known.site.clone_from(&place.site);
        if other_life {
            peer.known.piggybacks.clear();
            (peer.acked, peer.heard) = (Ms::DISTANT_PAST, Ms::DISTANT_PAST);
        }
        self.spread(news.clone());
        let why = if other_life { StateChangeReason::Joined } else { StateChangeReason::Refuted };
        self.set_state(now, news.about, State::Alive, why, out);
    }

    /// The dead are taken in as well: each that knows them can call them.
    fn newcomer(&mut self, now: Ms, news: &Update, in_page: bool, out: &mut dyn Effects) {
        let Some(place) = &news.place else { return };
        if self.peers.len() >= self.terms.max_members {
            self.counters.unexpected += 1;
            return;
        }
        let mut peer = Peer::new(now, news, place);
        if peer.up() {
            self.living.push(news.about);
        }
        if peer.known.state == State::Suspect {
            peer.known.state = State::Alive;
        }
        self.peers.insert(news.about, peer);
        let at = self.chance.below(self.round.len() + 1);
        self.round.insert(at, news.about);
        // What stands in a page is known already: one that comes in would tell everybody of everybody.
        if !in_page {
            self.spread(news.clone());
        }
        let name = place.name.clone();
        let is = self.peers[&news.about].known.state;
        self.note(Change::State { id: news.about, name, was: None, is, why: StateChangeReason::Joined }, out);
        if news.state == State::Suspect {
            self.suspect(now, news.about, news.by, out);
        }
    }
}
