//! Which updates are applied: the greater (incarnation, instance, state) wins, with two exceptions that
//! protect running members from reports of their death.

use crate::ids::{Incarnation, InstanceId};
use crate::members::Members;
use crate::message::{State, Update};
use crate::peer::Peer;
use crate::view::{Change, Effects, StateChangeReason};
use ottersail::time::Ms;

/// An acknowledgement within this many periods outweighs what others report of a death.
const FRESH_ACK_PERIODS: f64 = 3.0;
/// The longest name and the longest site that are accepted, in bytes.
const MAX_NAME_BYTES: usize = 32;

fn rank(incarnation: Incarnation, instance: InstanceId, state: State) -> (Incarnation, InstanceId, State) {
    (incarnation, instance, state)
}

impl Members {
    /// Applies an update; `in_page` says that it came in a page of a full exchange.
    pub(crate) fn apply(&mut self, now: Ms, update: &Update, in_page: bool, effects: &mut dyn Effects) {
        // Names are passed on as received, so longer ones would make pages that do not fit a datagram.
        if update
            .info
            .as_ref()
            .is_some_and(|info| info.name.len() > MAX_NAME_BYTES || info.site.len() > MAX_NAME_BYTES)
        {
            self.counters.unexpected += 1;
            return;
        }
        if update.member == self.config.local.id {
            return self.handle_update_about_self(update, effects);
        }
        let Some(peer) = self.peers.get(&update.member) else {
            return self.add_member(now, update, in_page, effects);
        };
        let view = &peer.view;
        let current = rank(view.incarnation, view.instance, view.state);
        let reported = rank(update.incarnation, update.instance, update.state);
        let same_instance = view.instance == update.instance;
        if reported <= current {
            if reported == current && update.state == State::Suspect {
                self.confirm(now, update);
            } else if reported == current {
                self.count_redundant(update.member);
            }
            return;
        }
        // A report of a death only starts a suspicion here in two cases: this member had a recent answer, so
        // that one member that does not hear the other can't declare it dead for those that do; or the report
        // comes in a page, so that two rejoined halves of a partition do not take over each other's deaths.
        let fresh = now - peer.last_ack < self.config.probe_period * FRESH_ACK_PERIODS;
        let contested = update.state == State::Dead && view.state <= State::Suspect && same_instance;
        match update.state {
            State::Alive => self.apply_alive(now, update, effects),
            State::Suspect => {
                self.copy_incarnation(update);
                self.suspect(now, update.member, update.reported_by, effects);
            }
            State::Dead if contested && (in_page || fresh) => {
                self.copy_incarnation(update);
                self.suspect(now, update.member, update.reported_by, effects);
                if fresh {
                    self.probe(now, update.member, effects);
                }
            }
            State::Dead | State::Left => {
                self.copy_incarnation(update);
                self.queue_update(update.clone());
                self.set_state(now, update.member, update.state, StateChangeReason::Reported, effects);
            }
        }
    }

    fn copy_incarnation(&mut self, update: &Update) {
        if let Some(peer) = self.peers.get_mut(&update.member) {
            peer.view.incarnation = update.incarnation;
            if peer.view.instance != update.instance {
                peer.view.instance = update.instance;
                peer.suspicion = None;
                self.suspects.remove(&update.member);
                if let Some(info) = &update.info {
                    peer.view.address = info.address;
                }
            }
        }
    }

    fn apply_alive(&mut self, now: Ms, update: &Update, effects: &mut dyn Effects) {
        let Some(info) = &update.info else { return };
        let Some(peer) = self.peers.get_mut(&update.member) else { return };
        let other_instance = peer.view.instance != update.instance;
        peer.view.incarnation = update.incarnation;
        peer.view.instance = update.instance;
        peer.view.address = info.address;
        peer.view.site.clone_from(&info.site);
        if other_instance {
            peer.view.piggybacks.clear();
            (peer.last_ack, peer.last_heard) = (Ms::DISTANT_PAST, Ms::DISTANT_PAST);
        }
        self.queue_update(update.clone());
        let reason = if other_instance { StateChangeReason::Joined } else { StateChangeReason::Refuted };
        self.set_state(now, update.member, State::Alive, reason, effects);
    }

    /// Adds a member that was not known. Dead members are added too, so that every member that knows of them
    /// can contact them.
    fn add_member(&mut self, now: Ms, update: &Update, in_page: bool, effects: &mut dyn Effects) {
        let Some(info) = &update.info else { return };
        if self.peers.len() >= self.config.max_members {
            self.counters.unexpected += 1;
            return;
        }
        let mut peer = Peer::new(now, update, info);
        if peer.is_up() {
            self.up_members.push(update.member);
        }
        if peer.view.state == State::Suspect {
            peer.view.state = State::Alive;
        }
        self.peers.insert(update.member, peer);
        let position = self.rng.below(self.probe_order.len() + 1);
        self.probe_order.insert(position, update.member);
        // What comes in a page is known to others already: a member that joins would otherwise gossip about
        // the whole cluster.
        if !in_page {
            self.queue_update(update.clone());
        }
        let name = info.name.clone();
        let is = self.peers[&update.member].view.state;
        let why = StateChangeReason::Joined;
        self.report(Change::State { id: update.member, name, was: None, is, why }, effects);
        if update.state == State::Suspect {
            self.suspect(now, update.member, update.reported_by, effects);
        }
    }
}
