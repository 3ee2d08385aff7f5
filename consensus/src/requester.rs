//! Own requests: asked of one councillor after another until one answers.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::effects::{CouncilConfig, Effects};
use crate::message::Message;
use crate::types::{Change, Key, Outcome, RequestId, BODY_MOST};

/// Own requests that wait at most.
const PENDING_MOST: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    key: Key,
    change: Change,
    /// How many were asked before.
    asked: usize,
    bell: Ms,
    until: Ms,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requester {
    living: BTreeSet<MemberId>,
    pending: BTreeMap<u64, Pending>,
}

impl Requester {
    pub fn set_living(&mut self, living: &BTreeSet<MemberId>) {
        self.living.clone_from(living);
    }

    /// The councillor that all ask first: the lowest living one, so that duels are rare.
    pub fn preferred(&self, config: &CouncilConfig) -> Option<MemberId> {
        self.order(config).first().copied()
    }

    /// The living first, then the others: who is believed dead may be just unheard here.
    fn order(&self, config: &CouncilConfig) -> Vec<MemberId> {
        let (mut order, dead): (Vec<_>, Vec<_>) =
            config.councillors.iter().partition(|member| self.living.contains(member));
        order.extend(dead);
        order
    }

    pub fn next_timer(&self) -> Ms {
        self.pending
            .values()
            .map(|pending| pending.bell.min(pending.until))
            .min()
            .unwrap_or(Ms(f64::INFINITY))
    }

    pub fn submit(
        &mut self,
        now: Ms,
        config: &CouncilConfig,
        number: u64,
        what: (Key, Change),
        out: &mut dyn Effects,
    ) {
        let (key, change) = what;
        let long = matches!(&change, Change::Set { body, .. } if body.len() > BODY_MOST);
        if long || self.pending.len() >= PENDING_MOST {
            return out.answered(number, &Outcome::Rejected);
        }
        let pending = Pending {
            key,
            change,
            asked: 0,
            bell: now + config.answer_timeout,
            until: now + config.request_timeout,
        };
        self.send(config, number, &pending, out);
        self.pending.insert(number, pending);
    }

    fn send(&self, config: &CouncilConfig, number: u64, pending: &Pending, out: &mut dyn Effects) {
        let order = self.order(config);
        let Some(to) = order.get(pending.asked % order.len().max(1)) else { return };
        let request = RequestId { member: config.me, life: config.life, number };
        let change = pending.change.clone();
        out.send(*to, &Message::Propose { request, key: pending.key, change });
    }

    pub fn on_timer(&mut self, now: Ms, config: &CouncilConfig, out: &mut dyn Effects) {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.bell.min(p.until) <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let Some(mut pending) = self.pending.remove(&number) else { continue };
            if pending.until <= now {
                out.answered(number, &Outcome::Unanswered);
                continue;
            }
            pending.asked += 1;
            pending.bell = now + config.answer_timeout;
            self.send(config, number, &pending, out);
            self.pending.insert(number, pending);
        }
    }

    /// The first answer that says something; a councillor that gave up leaves the request to the next.
    pub fn answer(
        &mut self,
        config: &CouncilConfig,
        request: RequestId,
        outcome: &Outcome,
        out: &mut dyn Effects,
    ) {
        let own = request.member == config.me && request.life == config.life;
        if own && *outcome != Outcome::Unanswered && self.pending.remove(&request.number).is_some() {
            out.answered(request.number, outcome);
        }
    }
}
