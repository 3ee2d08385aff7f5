//! This member's own requests: sent to one councillor after another until one answers.

use std::collections::{BTreeMap, BTreeSet};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::config::CouncilConfig;
use crate::effects::Effects;
use crate::message::Message;
use crate::types::{Change, Key, Outcome, RequestId, MAX_BODY_BYTES};

/// Maximum number of own requests that wait for an answer.
const MAX_PENDING_REQUESTS: usize = 64;

/// A request that waits for an answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    key: Key,
    change: Change,
    /// How many councillors have been asked before the current one.
    attempts: usize,
    ask_next_at: Ms,
    deadline: Ms,
}

/// The requests of one member.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requester {
    living: BTreeSet<MemberId>,
    pending: BTreeMap<u64, Pending>,
}

impl Requester {
    /// Updates which members are believed alive.
    pub fn set_living(&mut self, living: &BTreeSet<MemberId>) {
        self.living.clone_from(living);
    }

    /// The councillor that all members ask first: the lowest living one, so that proposers rarely compete.
    pub fn preferred(&self, config: &CouncilConfig) -> Option<MemberId> {
        self.order(config).first().copied()
    }

    /// The living councillors first, then the others: one believed dead may merely be unreachable from here.
    fn order(&self, config: &CouncilConfig) -> Vec<MemberId> {
        let (mut order, dead): (Vec<_>, Vec<_>) =
            config.councillors.iter().partition(|member| self.living.contains(member));
        order.extend(dead);
        order
    }

    /// When [`Requester::on_timer`] is due.
    pub fn next_timer(&self) -> Ms {
        self.pending
            .values()
            .map(|pending| pending.ask_next_at.min(pending.deadline))
            .min()
            .unwrap_or(Ms(f64::INFINITY))
    }

    /// Sends a request under the member's own `number`.
    pub fn submit(
        &mut self,
        now: Ms,
        config: &CouncilConfig,
        number: u64,
        key_and_change: (Key, Change),
        effects: &mut dyn Effects,
    ) {
        let (key, change) = key_and_change;
        let too_long = matches!(&change, Change::Set { body, .. } if body.len() > MAX_BODY_BYTES);
        if too_long || self.pending.len() >= MAX_PENDING_REQUESTS {
            return effects.answered(number, &Outcome::Rejected);
        }
        let pending = Pending {
            key,
            change,
            attempts: 0,
            ask_next_at: now + config.answer_timeout,
            deadline: now + config.request_timeout,
        };
        self.send(config, number, &pending, effects);
        self.pending.insert(number, pending);
    }

    fn send(&self, config: &CouncilConfig, number: u64, pending: &Pending, effects: &mut dyn Effects) {
        let order = self.order(config);
        let Some(to) = order.get(pending.attempts % order.len().max(1)) else { return };
        let request = RequestId { member: config.own_id, life: config.life, number };
        let change = pending.change.clone();
        effects.send(*to, &Message::Propose { request, key: pending.key, change });
    }

    /// Asks the next councillor for unanswered requests, and gives up on those past their deadline.
    pub fn on_timer(&mut self, now: Ms, config: &CouncilConfig, effects: &mut dyn Effects) {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.ask_next_at.min(pending.deadline) <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let Some(mut pending) = self.pending.remove(&number) else { continue };
            if pending.deadline <= now {
                effects.answered(number, &Outcome::Unanswered);
                continue;
            }
            pending.attempts += 1;
            pending.ask_next_at = now + config.answer_timeout;
            self.send(config, number, &pending, effects);
            self.pending.insert(number, pending);
        }
    }

    /// Takes the first definite answer. If a councillor gave up, the request is left to the next one.
    pub fn answer(
        &mut self,
        config: &CouncilConfig,
        request: RequestId,
        outcome: &Outcome,
        effects: &mut dyn Effects,
    ) {
        let own = request.member == config.own_id && request.life == config.life;
        if own && *outcome != Outcome::Unanswered && self.pending.remove(&request.number).is_some() {
            effects.answered(request.number, outcome);
        }
    }
}
