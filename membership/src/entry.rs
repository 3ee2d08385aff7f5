//! Coming in, going out, and two lives under one name.

use crate::ids::{Address, Incarnation, InstanceId};
use crate::machine::Members;
use crate::message::{Body, MemberInfo, Message, Sender, State, Update};
use crate::view::{Change, Effects};
use ottersail::time::Ms;

/// Members told of a goodbye.
const FAREWELLS: usize = 8;
/// Seeds asked at once.
const ASKED: usize = 3;
/// An own acknowledgement this many periods old still counts as "it answers".
const ANSWERS: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Asks the seeds each period; answers others meanwhile, so that the first members find each other.
    Entering {
        asked: usize,
    },
    In,
    /// Another instance has the name: says nothing but "may I come in".
    Passive {
        holder: (Address, InstanceId),
        asked: usize,
    },
    Gone,
}

impl Members {
    pub(crate) fn passive(&self) -> bool {
        matches!(self.phase, Phase::Passive { .. } | Phase::Gone)
    }

    /// Asks to come in, if this member is not in.
    pub(crate) fn enter(&mut self, _now: Ms, out: &mut dyn Effects) {
        let (Phase::Entering { asked } | Phase::Passive { asked, .. }) = &mut self.phase else { return };
        let first = *asked;
        *asked += ASKED;
        let mine = self.terms.local.address;
        let mut seeds: Vec<Address> = self.terms.seeds.iter().copied().filter(|seed| *seed != mine).collect();
        if let Phase::Passive { holder, .. } = self.phase {
            // The holder is not asked: it is the one that others have to find gone.
            seeds.retain(|seed| *seed != holder.0);
        }
        let count = ASKED.min(seeds.len());
        for at in first..first + count {
            let to = seeds[at % seeds.len()];
            self.ask_in(to, out);
        }
    }

    fn ask_in(&mut self, to: Address, out: &mut dyn Effects) {
        let me = &self.terms.local;
        let place = MemberInfo { name: me.name.clone(), address: me.address, site: me.site.clone() };
        self.say(to, Body::Join { place }, out);
    }

    pub(crate) fn join_asked(
        &mut self,
        now: Ms,
        from: Sender,
        incarnation: Incarnation,
        place: &MemberInfo,
        out: &mut dyn Effects,
    ) {
        let news = Update {
            about: from.id,
            instance: from.instance,
            incarnation,
            state: State::Alive,
            by: None,
            place: Some(place.clone()),
        };
        let Some(peer) = self.peers.get(&from.id) else {
            self.apply(now, &news, false, out);
            return self.say(from.address, Body::Welcome { known: None }, out);
        };
        let known = &peer.known;
        if known.instance == from.instance && known.state == State::Alive {
            return self.say(from.address, Body::Welcome { known: None }, out);
        }
        // At the same address the former instance cannot be there any more. Elsewhere it may still answer.
        if known.instance != from.instance && known.address != place.address && peer.up() {
            let (by, instance) = (known.address, known.instance);
            self.counters.conflicts += 1;
            if now - peer.acked > self.terms.probe_period * ANSWERS {
                self.probe(now, from.id, out);
            }
            return self.say(from.address, Body::Held { by, instance }, out);
        }
        if incarnation <= known.incarnation {
            let known = Some(known.incarnation);
            return self.say(from.address, Body::Welcome { known }, out);
        }
        self.apply(now, &news, false, out);
        self.say(from.address, Body::Welcome { known: None }, out);
    }

    pub(crate) fn welcomed(
        &mut self,
        now: Ms,
        from: Sender,
        known: Option<Incarnation>,
        out: &mut dyn Effects,
    ) {
        if let Some(known) = known {
            self.incarnation = self.incarnation.max(known.next());
            return self.ask_in(from.address, out);
        }
        if !matches!(self.phase, Phase::Entering { .. } | Phase::Passive { .. }) {
            return;
        }
        self.phase = Phase::In;
        self.exchange_gap = self.terms.probe_period;
        self.next_exchange = now + self.exchange_gap;
        self.note(Change::Joined, out);
        let mine = self.update_about_self(State::Alive);
        self.spread(mine);
        self.begin_exchange(from.address, out);
    }

    pub(crate) fn held(&mut self, _now: Ms, by: Address, instance: InstanceId, out: &mut dyn Effects) {
        if instance != self.terms.local.instance && self.phase != Phase::In {
            self.stand_aside(by, instance, out);
        }
    }

    fn stand_aside(&mut self, by: Address, instance: InstanceId, out: &mut dyn Effects) {
        let asked = match self.phase {
            Phase::Passive { holder, .. } if holder == (by, instance) => return,
            Phase::Passive { asked, .. } | Phase::Entering { asked } => asked,
            _ => 0,
        };
        self.phase = Phase::Passive { holder: (by, instance), asked };
        self.probes.clear();
        self.helps.clear();
        self.counters.conflicts += 1;
        self.note(Change::NameConflict { by, instance }, out);
    }

    /// What others say of this member: contradicted if it is bad, settled if it is another instance's.
    pub(crate) fn told_of_me(&mut self, _now: Ms, news: &Update, out: &mut dyn Effects) {
        if self.passive() {
            return;
        }
        let me = &self.terms.local;
        let elsewhere = news.place.as_ref().is_some_and(|place| place.address != me.address);
        if news.instance != me.instance && news.state <= State::Suspect && elsewhere {
            if (news.incarnation, news.instance) > (self.incarnation, me.instance) {
                if let Some(place) = &news.place {
                    self.stand_aside(place.address, news.instance, out);
                }
            } else {
                self.counters.conflicts += 1;
                let mine = self.update_about_self(State::Alive);
                self.spread(mine);
            }
            return;
        }
        if news.instance == me.instance && news.state == State::Alive {
            // Others have contradicted for it.
            self.incarnation = self.incarnation.max(news.incarnation);
        }
        let bad = news.state != State::Alive || news.instance != me.instance;
        if bad && news.incarnation >= self.incarnation {
            self.incarnation = news.incarnation.next();
            self.counters.refutations += 1;
            self.worse(u32::from(news.state == State::Suspect));
            let mine = self.update_about_self(State::Alive);
            self.spread(mine);
        }
    }

    /// A message under this member's own id: its own, come back, or another instance's.
    pub(crate) fn namesake(&mut self, now: Ms, from: Sender, message: &Message, out: &mut dyn Effects) {
        self.counters.unexpected += 1;
        if from.instance == self.terms.local.instance || self.passive() {
            return;
        }
        if let Body::Join { .. } = message.body {
            // The one that is in stays; the newcomer is told.
            self.counters.conflicts += 1;
            let (by, instance) = (self.terms.local.address, self.terms.local.instance);
            return self.say(from.address, Body::Held { by, instance }, out);
        }
        let me = self.terms.local.id;
        for news in message.updates.iter().filter(|news| news.about == me) {
            self.told_of_me(now, news, out);
        }
    }

    /// Say goodbye; afterwards the machine is silent.
    pub fn leave(&mut self, _now: Ms, out: &mut dyn Effects) {
        if self.passive() {
            self.phase = Phase::Gone;
            return;
        }
        let goodbye = self.update_about_self(State::Left);
        self.spread(goodbye);
        for id in self.some_living(FAREWELLS) {
            self.say_to(id, self.peers[&id].known.address, Body::Gossip, out);
        }
        self.phase = Phase::Gone;
    }
}
