//! The stored state of one other member.

use crate::ids::MemberId;
use crate::members::Members;
use crate::message::{MemberInfo, State, Update};
use crate::view::{Change, Effects, MemberView, Reachability, StateChangeReason};
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// A running suspicion. Every member that hears of a suspicion runs its own timeout.
pub(crate) struct Suspicion {
    pub since: Ms,
    pub ends: Ms,
    /// Members that suspect it because of their own probes.
    pub by: BTreeSet<MemberId>,
}

pub(crate) struct Peer {
    pub view: MemberView,
    pub suspicion: Option<Suspicion>,
    /// When it last acknowledged a probe of this member.
    pub last_ack: Ms,
    /// When a datagram of it last arrived.
    pub last_heard: Ms,
}

impl Peer {
    pub fn new(now: Ms, update: &Update, info: &MemberInfo) -> Peer {
        let reachability = if update.state <= State::Suspect {
            Reachability::ThroughOthers
        } else {
            Reachability::Unreachable
        };
        let view = MemberView {
            name: info.name.clone(),
            state: update.state,
            address: info.address,
            site: info.site.clone(),
            incarnation: update.incarnation,
            instance: update.instance,
            reachability,
            piggybacks: BTreeMap::new(),
            since: now,
        };
        Peer { view, suspicion: None, last_ack: Ms::DISTANT_PAST, last_heard: Ms::DISTANT_PAST }
    }

    pub fn info(&self) -> MemberInfo {
        let MemberView { name, address, site, .. } = &self.view;
        MemberInfo { name: name.clone(), address: *address, site: site.clone() }
    }

    /// Whether it is alive or suspect.
    pub fn is_up(&self) -> bool {
        self.view.state <= State::Suspect
    }
}

impl Members {
    /// The update that describes what this member knows of another.
    pub(crate) fn update_about(&self, id: MemberId, reported_by: Option<MemberId>) -> Option<Update> {
        let peer = self.peers.get(&id)?;
        let MemberView { instance, incarnation, state, .. } = peer.view;
        Some(Update { member: id, instance, incarnation, state, reported_by, info: Some(peer.info()) })
    }

    pub(crate) fn update_about_self(&self, state: State) -> Update {
        let local = &self.config.local;
        Update {
            member: local.id,
            instance: local.instance,
            incarnation: self.incarnation,
            state,
            reported_by: None,
            info: Some(self.own_info()),
        }
    }

    pub(crate) fn own_info(&self) -> MemberInfo {
        let local = &self.config.local;
        MemberInfo { name: local.name.clone(), address: local.address, site: local.site.clone() }
    }

    pub(crate) fn set_state(
        &mut self,
        now: Ms,
        id: MemberId,
        is: State,
        why: StateChangeReason,
        effects: &mut dyn Effects,
    ) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let was = peer.view.state;
        if is != State::Suspect {
            peer.suspicion = None;
            self.suspects.remove(&id);
        }
        if was == is {
            return;
        }
        peer.view.state = is;
        if is >= State::Dead && was < State::Dead {
            self.up_members.retain(|member| *member != id);
        } else if is < State::Dead && was >= State::Dead {
            self.up_members.push(id);
        }
        peer.view.since = now;
        let name = peer.view.name.clone();
        self.report(Change::State { id, name, was: Some(was), is, why }, effects);
        match is {
            State::Dead | State::Left => {
                self.counters.deaths += u64::from(is == State::Dead);
                self.set_reachability(id, Reachability::Unreachable, effects);
            }
            State::Alive if was >= State::Dead => {
                self.set_reachability(id, Reachability::ThroughOthers, effects)
            }
            _ => {}
        }
    }

    /// Up to `count` different members that are alive or suspect, drawn at random.
    pub(crate) fn sample_up(&mut self, count: usize) -> Vec<MemberId> {
        let mut sample: Vec<MemberId> = Vec::with_capacity(count);
        if self.up_members.len() <= count {
            sample.clone_from(&self.up_members);
            self.rng.shuffle(&mut sample);
        }
        while sample.len() < count.min(self.up_members.len()) {
            let id = self.up_members[self.rng.below(self.up_members.len())];
            if !sample.contains(&id) {
                sample.push(id);
            }
        }
        sample
    }

    /// The number of members that are alive or suspect, this one included.
    pub(crate) fn cluster_size(&self) -> usize {
        1 + self.up_members.len()
    }
}
