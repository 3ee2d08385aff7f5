//! Suspicions: one that others confirm runs out sooner (Lifeguard); one that is contradicted ends.

use crate::ids::{InstanceId, MemberId};
use crate::machine::Members;
use crate::message::{State, Update};
use crate::peer::{Peer, Suspicion};
use crate::view::{Effects, StateChangeReason};
use ottersail::time::Ms;
use std::collections::BTreeSet;

/// No suspicion is shorter than this many periods: a member that gets no CPU for one has time to answer.
const FLOOR: f64 = 2.0;
/// Names kept of those that suspect one member.
const MOST_NAMES: usize = 16;
/// Troubles of others count together within this many periods.
const LATELY: f64 = 10.0;

impl Members {
    pub(crate) fn shortest_suspicion(&self) -> Ms {
        let count = (self.count() as f64).log10();
        self.terms.probe_period * (self.terms.suspicion_factor * count).max(FLOOR)
    }

    /// From the longest, unconfirmed, down to the shortest by the logarithm of the confirmations.
    fn suspicion_span(&self, confirmed: usize) -> Ms {
        let shortest = self.shortest_suspicion();
        let wanted = self.terms.confirmations.min(self.count().saturating_sub(2)) as f64;
        let fraction =
            if wanted == 0.0 { 0.0 } else { ((confirmed as f64 + 1.0).ln() / (wanted + 1.0).ln()).min(1.0) };
        let longest = shortest * self.terms.unconfirmed_factor;
        shortest + (longest - shortest) * (1.0 - fraction)
    }

    /// Starts a suspicion or adds who has it.
    pub(crate) fn suspect(&mut self, now: Ms, id: MemberId, by: Option<MemberId>, out: &mut dyn Effects) {
        let Some(peer) = self.peers.get(&id) else { return };
        if peer.known.state != State::Alive {
            let Some(mut news) = self.update_about(id, by) else { return };
            news.state = State::Suspect;
            return self.confirm(now, &news, out);
        }
        let patience = if by == Some(self.terms.local.id) { self.patience() } else { 1.0 };
        let ends = now + self.suspicion_span(0) * patience;
        let suspicion = Suspicion { since: now, ends, by: BTreeSet::from_iter(by) };
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.suspicion = Some(suspicion);
            self.suspects.insert(id);
        }
        let mine = by == Some(self.terms.local.id);
        self.set_state(
            now,
            id,
            State::Suspect,
            if mine { StateChangeReason::ProbeFailed } else { StateChangeReason::Reported },
            out,
        );
        self.update_about(id, by).into_iter().for_each(|news| self.spread(news));
        if !mine {
            self.look_too(now, id, out);
        }
    }

    /// A few of those that hear of a suspicion look at once: they confirm it, or the suspect learns of it.
    fn look_too(&mut self, now: Ms, id: MemberId, out: &mut dyn Effects) {
        let lookers = 2 * (self.terms.confirmations + 1);
        if self.chance.below(self.count()) < lookers {
            self.probe(now, id, out);
        }
    }

    pub(crate) fn confirm(&mut self, now: Ms, news: &Update, _out: &mut dyn Effects) {
        let Some(by) = news.by else { return };
        let wanted = self.terms.confirmations;
        let Some(peer) = self.peers.get_mut(&news.about) else { return };
        let Some(suspicion) = peer.suspicion.as_mut().filter(|it| it.by.len() < MOST_NAMES) else { return };
        if !suspicion.by.insert(by) {
            return;
        }
        let (since, confirmed) = (suspicion.since, suspicion.by.len() - 1);
        if confirmed <= wanted {
            let ends = since + self.suspicion_span(confirmed);
            if let Some(suspicion) = self.peers.get_mut(&news.about).and_then(|peer| peer.suspicion.as_mut())
            {
                suspicion.ends = suspicion.ends.min(ends).max(now);
            }
            self.spread(news.clone());
        }
    }

    /// Guards against burying one that lives and can't contradict, as nobody hears it or it hears nobody: who
    /// knows from others or by the second way that it lives contradicts for it.
    pub(crate) fn speak_for(&mut self, now: Ms, id: MemberId, instance: InstanceId, out: &mut dyn Effects) {
        let Some(mut news) = self.update_about(id, None) else { return };
        if news.state == State::Suspect && news.instance == instance {
            (news.state, news.incarnation) = (State::Alive, news.incarnation.next());
            self.apply(now, &news, false, out);
        }
    }

    /// Whether, besides this one, two or more are suspected or were buried lately.
    pub(crate) fn many_in_trouble(&self, now: Ms, besides: MemberId) -> bool {
        let lately = |since: Ms| now - since < self.terms.probe_period * LATELY;
        let troubled = |(id, peer): &(&MemberId, &Peer)| {
            let known = &peer.known;
            **id != besides && matches!(known.state, State::Suspect | State::Dead) && lately(known.since)
        };
        self.peers.iter().filter(troubled).nth(1).is_some()
    }

    pub(crate) fn mind_suspicions(&mut self, now: Ms, out: &mut dyn Effects) {
        let ends = |id: &MemberId| self.peers.get(id)?.suspicion.as_ref().map(|it| it.ends);
        let over = |id: &MemberId| ends(id).is_some_and(|ends| ends <= now);
        let over: Vec<MemberId> = self.suspects.iter().copied().filter(over).collect();
        for id in over {
            self.set_state(now, id, State::Dead, StateChangeReason::SuspicionExpired, out);
            let me = self.terms.local.id;
            self.update_about(id, Some(me)).into_iter().for_each(|news| self.spread(news));
        }
    }
}
