//! One other member, as it is held inside.

use crate::ids::MemberId;
use crate::machine::Members;
use crate::message::{MemberInfo, State, Update};
use crate::view::{Change, Effects, MemberView, Reachability, StateChangeReason};
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Own clock of a suspicion_factor; every member that hears of it runs one.
pub(crate) struct Suspicion {
    pub since: Ms,
    pub ends: Ms,
    /// Who suspects it first hand.
    pub by: BTreeSet<MemberId>,
}

pub(crate) struct Peer {
    pub known: MemberView,
    pub suspicion: Option<Suspicion>,
    /// Last direct acknowledgement.
    pub acked: Ms,
    /// Last datagram of its own.
    pub heard: Ms,
}

impl Peer {
    pub fn new(now: Ms, news: &Update, place: &MemberInfo) -> Peer {
        let known = MemberView {
            name: place.name.clone(),
            state: news.state,
            address: place.address,
            site: place.site.clone(),
            incarnation: news.incarnation,
            instance: news.instance,
            reachability: if news.state <= State::Suspect {
                Reachability::ThroughOthers
            } else {
                Reachability::Unreachable
            },
            piggybacks: BTreeMap::new(),
            since: now,
        };
        Peer { known, suspicion: None, acked: Ms::DISTANT_PAST, heard: Ms::DISTANT_PAST }
    }

    pub fn place(&self) -> MemberInfo {
        let MemberView { name, address, site, .. } = &self.known;
        MemberInfo { name: name.clone(), address: *address, site: site.clone() }
    }

    pub fn up(&self) -> bool {
        self.known.state <= State::Suspect
    }
}

impl Members {
    /// What this member would say of another.
    pub(crate) fn update_about(&self, id: MemberId, by: Option<MemberId>) -> Option<Update> {
        let peer = self.peers.get(&id)?;
        let MemberView { instance, incarnation, state, .. } = peer.known;
        Some(Update { about: id, instance, incarnation, state, by, place: Some(peer.place()) })
    }

    pub(crate) fn update_about_self(&self, state: State) -> Update {
        let me = &self.terms.local;
        let place = MemberInfo { name: me.name.clone(), address: me.address, site: me.site.clone() };
        Update {
            about: me.id,
            instance: me.instance,
            incarnation: self.incarnation,
            state,
            by: None,
            place: Some(place),
        }
    }

    pub(crate) fn set_state(
        &mut self,
        now: Ms,
        id: MemberId,
        is: State,
        why: StateChangeReason,
        out: &mut dyn Effects,
    ) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let was = peer.known.state;
        if is != State::Suspect {
            peer.suspicion = None;
            self.suspects.remove(&id);
        }
        if was == is {
            return;
        }
        peer.known.state = is;
        if is >= State::Dead && was < State::Dead {
            self.living.retain(|it| *it != id);
        } else if is < State::Dead && was >= State::Dead {
            self.living.push(id);
        }
        peer.known.since = now;
        let name = peer.known.name.clone();
        self.note(Change::State { id, name, was: Some(was), is, why }, out);
        match is {
            State::Dead | State::Left => {
                self.counters.deaths += u64::from(is == State::Dead);
                self.set_reachability(id, Reachability::Unreachable, out);
            }
            State::Alive if was >= State::Dead => self.set_reachability(id, Reachability::ThroughOthers, out),
            _ => {}
        }
    }

    /// Up to so many different members that are alive or suspect, by chance.
    pub(crate) fn some_living(&mut self, count: usize) -> Vec<MemberId> {
        let mut some: Vec<MemberId> = Vec::with_capacity(count);
        if self.living.len() <= count {
            some.clone_from(&self.living);
            self.chance.shuffle(&mut some);
        }
        while some.len() < count.min(self.living.len()) {
            let id = self.living[self.chance.below(self.living.len())];
            if !some.contains(&id) {
                some.push(id);
            }
        }
        some
    }

    /// Alive and suspect ones, this member included.
    pub(crate) fn count(&self) -> usize {
        1 + self.living.len()
    }
}
