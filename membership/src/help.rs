//! The other side of a probe: answering, and probing on another's behalf.

use crate::ids::{Address, InstanceId, MemberId};
use crate::machine::Members;
use crate::message::{Body, Sender, State};
use crate::view::{Effects, Reachability};
use ottersail::time::Ms;

/// A helper says "not yet" after this part of a period.
const NACK_AFTER: f64 = 0.3;
/// Probes on others' behalf that run at once.
const MOST_HELPS: usize = 64;

/// A probe on another's behalf.
pub(crate) struct Help {
    pub asker: (MemberId, Address),
    pub number: u32,
    pub target: MemberId,
    pub due: Ms,
    pub nacked: bool,
}

impl Members {
    pub(crate) fn probed(
        &mut self,
        now: Ms,
        from: Sender,
        number: u32,
        to: (MemberId, InstanceId),
        asker: Option<MemberId>,
        out: &mut dyn Effects,
    ) {
        if to.0 != self.terms.local.id {
            self.counters.unexpected += 1;
            return;
        }
        if to.1 != self.terms.local.instance {
            // It holds a former instance of this member: it is told of this one.
            let mine = self.update_about_self(State::Alive);
            self.spread(mine);
            return self.say_to(from.id, from.address, Body::Gossip, out);
        }
        let body = match asker {
            None => Body::Ack { number },
            Some(asker) => Body::AckOn { number, hears_asker: self.hears(now, asker, 5.0) },
        };
        self.say_to(from.id, from.address, body, out);
    }

    pub(crate) fn asked_to_help(
        &mut self,
        now: Ms,
        from: Sender,
        theirs: u32,
        (target, instance, at): (MemberId, InstanceId, Address),
        out: &mut dyn Effects,
    ) {
        if !self.peers.contains_key(&from.id)
            || self.helps.len() >= MOST_HELPS
            || target == self.terms.local.id
        {
            self.counters.unexpected += 1;
            return;
        }
        let number = self.number();
        let due = now + self.terms.probe_period * NACK_AFTER;
        let asker = (from.id, from.address);
        self.helps.insert(number, Help { asker, number: theirs, target, due, nacked: false });
        self.counters.helped += 1;
        self.say_to(target, at, Body::ProbeOn { number, to: target, instance, asker: from.id }, out);
    }

    pub(crate) fn helped(&mut self, now: Ms, from: Sender, number: u32, hears: bool, out: &mut dyn Effects) {
        let Some(help) = self.helps.remove(&number).filter(|help| help.target == from.id) else { return };
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.acked = now;
        }
        self.set_reachability(from.id, Reachability::Mutual, out);
        let body = Body::AckFor { number: help.number, hears_you: hears };
        self.say_to(help.asker.0, help.asker.1, body, out);
    }

    pub(crate) fn mind_helps(&mut self, now: Ms, out: &mut dyn Effects) {
        let due: Vec<u32> = self.helps.iter().filter(|(_, it)| it.due <= now).map(|(it, _)| *it).collect();
        for number in due {
            let Some(help) = self.helps.get_mut(&number) else { continue };
            if help.nacked {
                self.helps.remove(&number);
                continue;
            }
            // After the nack the answer may still come, for as long again as a slow asker waits.
            help.nacked = true;
            help.due = now + self.terms.probe_period * 2.0;
            let (asker, number) = (help.asker, help.number);
            self.say_to(asker.0, asker.1, Body::NackFor { number }, out);
        }
    }
}
