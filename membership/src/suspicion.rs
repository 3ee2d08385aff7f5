//! Suspicions: one that other members confirm expires sooner (Lifeguard); one that is refuted ends.

use crate::ids::{InstanceId, MemberId};
use crate::members::Members;
use crate::message::{State, Update};
use crate::peer::{Peer, Suspicion};
use crate::view::{Effects, StateChangeReason};
use ottersail::time::Ms;
use std::collections::BTreeSet;

/// No suspicion is shorter than this many periods, so that a member that gets no CPU for one of them still
/// has time to answer.
const MIN_SUSPICION_PERIODS: f64 = 2.0;
/// Ids kept of the members that suspect one member.
const MAX_CONFIRMERS: usize = 16;
/// Failures of several members count as simultaneous within this many periods.
const RECENT_PERIODS: f64 = 10.0;

impl Members {
    pub(crate) fn shortest_suspicion(&self) -> Ms {
        let count = (self.cluster_size() as f64).log10();
        self.config.probe_period * (self.config.suspicion_factor * count).max(MIN_SUSPICION_PERIODS)
    }

    /// From the longest timeout, without confirmations, down to the shortest, by the logarithm of the number
    /// of confirmations.
    fn suspicion_timeout(&self, confirmations: usize) -> Ms {
        let shortest = self.shortest_suspicion();
        let wanted = self.config.confirmations.min(self.cluster_size().saturating_sub(2)) as f64;
        let fraction = if wanted == 0.0 {
            0.0
        } else {
            ((confirmations as f64 + 1.0).ln() / (wanted + 1.0).ln()).min(1.0)
        };
        let longest = shortest * self.config.unconfirmed_factor;
        shortest + (longest - shortest) * (1.0 - fraction)
    }

    /// Starts a suspicion, or adds a confirmation to one that runs.
    pub(crate) fn suspect(&mut self, now: Ms, id: MemberId, by: Option<MemberId>, effects: &mut dyn Effects) {
        let Some(peer) = self.peers.get(&id) else { return };
        if peer.view.state != State::Alive {
            let Some(mut update) = self.update_about(id, by) else { return };
            update.state = State::Suspect;
            return self.confirm(now, &update);
        }
        let own = by == Some(self.config.local.id);
        let multiplier = if own { self.health_multiplier() } else { 1.0 };
        let ends = now + self.suspicion_timeout(0) * multiplier;
        let suspicion = Suspicion { since: now, ends, by: BTreeSet::from_iter(by) };
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.suspicion = Some(suspicion);
            self.suspects.insert(id);
        }
        let reason = if own { StateChangeReason::ProbeFailed } else { StateChangeReason::Reported };
        self.set_state(now, id, State::Suspect, reason, effects);
        self.update_about(id, by).into_iter().for_each(|update| self.queue_update(update));
        if !own {
            self.probe_suspect_too(now, id, effects);
        }
    }

    /// A few of the members that hear of a suspicion probe the suspect at once: either they confirm the
    /// suspicion, or the suspect learns of it and refutes it.
    fn probe_suspect_too(&mut self, now: Ms, id: MemberId, effects: &mut dyn Effects) {
        let expected_probers = 2 * (self.config.confirmations + 1);
        if self.rng.below(self.cluster_size()) < expected_probers {
            self.probe(now, id, effects);
        }
    }

    /// Shortens the timeout of a running suspicion if the update comes from a member that had not reported
    /// it.
    pub(crate) fn confirm(&mut self, now: Ms, update: &Update) {
        let Some(by) = update.reported_by else { return };
        let wanted = self.config.confirmations;
        let Some(peer) = self.peers.get_mut(&update.member) else { return };
        let running = peer.suspicion.as_mut();
        let Some(suspicion) = running.filter(|suspicion| suspicion.by.len() < MAX_CONFIRMERS) else { return };
        if !suspicion.by.insert(by) {
            return;
        }
        let (since, confirmations) = (suspicion.since, suspicion.by.len() - 1);
        if confirmations <= wanted {
            let ends = since + self.suspicion_timeout(confirmations);
            if let Some(suspicion) =
                self.peers.get_mut(&update.member).and_then(|peer| peer.suspicion.as_mut())
            {
                suspicion.ends = suspicion.ends.min(ends).max(now);
            }
            self.queue_update(update.clone());
        }
    }

    /// Refutes a suspicion on behalf of the suspect. A member that is running but cannot be heard, or cannot
    /// hear others, cannot refute by itself; a member that knows from others or over a connection that it is
    /// running does so instead.
    pub(crate) fn refute_for(
        &mut self,
        now: Ms,
        id: MemberId,
        instance: InstanceId,
        effects: &mut dyn Effects,
    ) {
        let Some(mut update) = self.update_about(id, None) else { return };
        if update.state == State::Suspect && update.instance == instance {
            (update.state, update.incarnation) = (State::Alive, update.incarnation.next());
            self.apply(now, &update, false, effects);
        }
    }

    /// Whether two or more other members than this one are suspected or were found dead recently.
    pub(crate) fn several_failing(&self, now: Ms, except: MemberId) -> bool {
        let recent = |since: Ms| now - since < self.config.probe_period * RECENT_PERIODS;
        let failing = |(id, peer): &(&MemberId, &Peer)| {
            let view = &peer.view;
            **id != except && matches!(view.state, State::Suspect | State::Dead) && recent(view.since)
        };
        self.peers.iter().filter(failing).nth(1).is_some()
    }

    /// Declares those members dead whose suspicion has expired.
    pub(crate) fn expire_suspicions(&mut self, now: Ms, effects: &mut dyn Effects) {
        let ends = |id: &MemberId| self.peers.get(id)?.suspicion.as_ref().map(|suspicion| suspicion.ends);
        let is_over = |id: &MemberId| ends(id).is_some_and(|ends| ends <= now);
        let over: Vec<MemberId> = self.suspects.iter().copied().filter(is_over).collect();
        for id in over {
            self.set_state(now, id, State::Dead, StateChangeReason::SuspicionExpired, effects);
            let own_id = self.config.local.id;
            self.update_about(id, Some(own_id)).into_iter().for_each(|update| self.queue_update(update));
        }
    }
}
