//! A simulation of members and councillors: clocks drift, messages are lost, late or cut in one direction,
//! processes are paused or restarted. It reports when two members consider themselves holders of one slot.

use super::council::{Change, Clock, Councillor, Round};
use crate::*;
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet};

pub struct Rng(pub u64);

impl Rng {
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
    }

    pub fn fraction(&mut self) -> f64 {
        self.below(1 << 24) as f64 / f64::from(1 << 24)
    }
}

#[derive(Clone, Debug)]
pub enum Body {
    Renew(Renew),
    Renewed(Renewed),
    Release(Release),
    Ask(BucketId, Change),
    Answer(BucketId, Answer),
    Round(Round),
    Timer,
    FinishShrink,
}

#[derive(Default)]
struct RecordedEffects {
    outputs: Vec<(Option<MemberId>, Body)>,
    counters: Counters,
}

impl Effects for RecordedEffects {
    fn renew(&mut self, to: MemberId, message: &Renew) {
        self.outputs.push((Some(to), Body::Renew(message.clone())));
    }
    fn release(&mut self, to: MemberId, message: &Release) {
        self.outputs.push((Some(to), Body::Release(message.clone())));
    }
    fn read(&mut self, bucket: BucketId) {
        self.outputs.push((None, Body::Ask(bucket, None)));
    }
    fn propose(&mut self, bucket: BucketId, if_revision: u64, body: Vec<u8>) {
        self.outputs.push((None, Body::Ask(bucket, Some((if_revision, body)))));
    }
    fn shrink(&mut self, _: Option<SlotShare>) {
        self.outputs.push((None, Body::FinishShrink));
    }
    fn note(&mut self, event: LeaseEvent) {
        self.counters.count(event);
    }
}

pub struct Node {
    pub clock: Clock,
    pub instance: InstanceId,
    pub holder: Holder,
    pub balancer: SlotBalancer,
    pub paused_until: Ms,
    pub up: bool,
    timer: Ms,
    unanswered: usize,
    effects: RecordedEffects,
}

pub struct World {
    pub now: Ms,
    pub config: LeaseConfig,
    pub nodes: Vec<Node>,
    pub councillors: Vec<Councillor>,
    pub rng: Rng,
    /// Pairs of sender and receiver between which messages are lost.
    pub cut: BTreeSet<(usize, usize)>,
    /// The fractions of messages that are lost, and that are delayed by up to a lease and a half.
    pub loss: f64,
    pub slow: f64,
    queue: BTreeMap<(Ms, u64), (usize, usize, Body)>,
    queued: u64,
    /// When two members first were holders of one slot, the slot, and the members.
    pub violation: Option<(Ms, Slot, usize, usize)>,
}

pub fn id(node: usize) -> MemberId {
    MemberId(node as u64 + 1)
}

impl World {
    pub fn new(seed: u64, members: usize, config: LeaseConfig) -> World {
        let mut rng = Rng(seed | 1);
        let drift = f64::from(config.drift_ppm) / 1e6;
        let mut node = |index: usize| {
            let clock = Clock::random(&mut rng, drift);
            let (instance, now) = (InstanceId(1), clock.local(Ms(0.0)));
            let holder = Holder::new(now, seed + index as u64 * 2, (id(index), instance), config.clone());
            let balancer = SlotBalancer::new(now, id(index), config.clone());
            let (paused_until, timer, effects) = (Ms(0.0), Ms(f64::INFINITY), RecordedEffects::default());
            Node { clock, instance, holder, balancer, paused_until, up: true, timer, unanswered: 0, effects }
        };
        let nodes: Vec<Node> = (0..members).map(&mut node).collect();
        // The council was founded long ago: the quiet period after the start is over.
        let councillor =
            |index: usize| Councillor::new(nodes[index].clock.local(Ms(-60e3)), index, config.clone());
        let councillors = (0..config.councillors.len()).map(councillor).collect();
        let (cut, queue) = (BTreeSet::new(), BTreeMap::new());
        let now = Ms(0.0);
        let (loss, slow, queued, violation) = (0.0, 0.0, 0, None);
        World { now, config, nodes, councillors, rng, cut, loss, slow, queue, queued, violation }
    }

    /// Restarts the member as a new instance; a councillor forgets the renewals it granted.
    pub fn restart(&mut self, node: usize) {
        let member = &mut self.nodes[node];
        let now = member.clock.local(self.now);
        member.instance = InstanceId(member.instance.0 + 1);
        member.holder = Holder::new(now, self.rng.0, (id(node), member.instance), self.config.clone());
        member.timer = Ms(f64::INFINITY);
        if let Some(councillor) = self.councillors.get_mut(node) {
            councillor.restart(now, self.config.clone());
        }
    }

    fn push(&mut self, when: Ms, from: usize, to: usize, body: Body) {
        self.queued += 1;
        self.queue.insert((when, self.queued), (from, to, body));
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if from != to && (self.cut.contains(&(from, to)) || self.rng.fraction() < self.loss) {
            return;
        }
        let slow = self.rng.fraction() < self.slow;
        let longest = if slow { self.config.lease().0 * 1.5 } else { 10.0 };
        // Answers that a councillor stores first wait for its disk.
        let disk = matches!(&body, Body::Round(Round::Promise(..) | Round::Accepted(..)));
        let delay = self.rng.fraction() * longest + if disk { 5.0 } else { 0.5 };
        self.push(self.now + Ms(delay), from, to, body);
    }

    /// Passes an input to a member, then carries out its outputs.
    pub fn input(&mut self, node: usize, input: impl FnOnce(&mut Node, Ms, &mut dyn Effects)) {
        let member = &mut self.nodes[node];
        let mut effects = std::mem::take(&mut member.effects);
        input(member, member.clock.local(self.now), &mut effects);
        let (outputs, unanswered) =
            (std::mem::take(&mut effects.outputs), effects.counters.unanswered as usize);
        member.effects = effects;
        member.unanswered = unanswered;
        // A microsecond later, so that rounding never makes a timer fire early.
        let timer = member.clock.when(member.holder.next_deadline()).max(self.now) + Ms(1e-3);
        if timer < member.timer {
            member.timer = timer;
            self.push(timer, node, node, Body::Timer);
        }
        let asked = unanswered % self.councillors.len();
        for (to, body) in outputs {
            match (to, &body) {
                (Some(to), _) => self.send(node, to.0 as usize - 1, body),
                (None, Body::FinishShrink) => {
                    let delay = Ms(self.rng.fraction() * 50.0);
                    self.push(self.now + delay, node, node, body);
                }
                _ => self.send(node, asked, body),
            }
        }
    }

    /// Handles all events up to that time.
    pub fn run(&mut self, until: Ms) {
        while let Some(((when, _), (from, to, body))) =
            self.queue.pop_first().filter(|((when, _), _)| *when <= until)
        {
            self.now = when;
            match self.nodes[to].paused_until {
                paused_until if paused_until > when => self.push(paused_until, from, to, body),
                _ if self.nodes[to].up => self.handle(from, to, body),
                _ => {}
            }
        }
        self.now = until;
    }

    fn handle(&mut self, from: usize, to: usize, body: Body) {
        let local = self.nodes[to].clock.local(self.now);
        let mut outputs = Vec::new();
        match body {
            Body::Timer => {
                self.nodes[to].timer = Ms(f64::INFINITY);
                self.input(to, |member, now, effects| member.holder.handle_deadline(now, effects));
            }
            Body::FinishShrink => {
                self.input(to, |member, now, effects| member.holder.finish_shrink(now, effects))
            }
            Body::Renewed(answer) => {
                self.input(to, |member, now, effects| member.holder.renewed(now, id(from), &answer, effects));
                self.check(to);
            }
            Body::Answer(bucket_id, answer) => {
                self.input(to, |member, now, effects| {
                    member.holder.council_answered(now, bucket_id, answer, effects).unwrap()
                });
            }
            Body::Renew(request) => {
                let answer = self.councillors[to].renew(local, id(from), &request);
                outputs.push((from, Body::Renewed(answer)));
            }
            Body::Release(message) => self.councillors[to].renewals.release(local, id(from), &message),
            Body::Ask(bucket_id, change) => {
                self.councillors[to].ask(local, from, bucket_id, change, &mut outputs)
            }
            Body::Round(round) => self.councillors[to].round(local, from, round, &mut outputs),
        }
        outputs.into_iter().for_each(|(receiver, body)| self.send(to, receiver, body));
    }

    /// A holder counts a slot anew only when a renewal is answered: at that time no other member may hold it.
    fn check(&mut self, node: usize) {
        let local = |index: usize| self.nodes[index].clock.local(self.now);
        let others = |index: &usize| *index != node && self.nodes[*index].up;
        for slot in self.nodes[node].holder.slots(local(node)) {
            let holds = |index: &usize| self.nodes[*index].holder.holds_slot(local(*index), slot);
            if let Some(other) = (0..self.nodes.len()).filter(others).find(holds) {
                self.violation.get_or_insert((self.now, slot, node, other));
            }
        }
    }

    pub fn slots(&self, node: usize) -> u16 {
        let member = &self.nodes[node];
        let share = member.holder.current_share(member.clock.local(self.now));
        share.filter(|_| member.up).map_or(0, |share| share.slots)
    }

    pub fn all_slots(&self) -> u16 {
        (0..self.nodes.len()).map(|node| self.slots(node)).sum()
    }

    pub fn counters(&self) -> impl Iterator<Item = &Counters> {
        self.nodes.iter().map(|node| &node.effects.counters)
    }
}
