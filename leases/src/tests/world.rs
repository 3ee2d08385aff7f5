//! Members and councillors in true time: clocks that run apart, messages that are lost, late or cut one way,
//! processes that stand still or start anew. Says when two believe that they hold one slot.

use super::council::{Change, Clock, Councillor, Round};
use crate::*;
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet};

pub struct Chance(pub u64);

impl Chance {
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
    }

    pub fn part(&mut self) -> f64 {
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
    Bell,
    Stopped,
}

#[derive(Default)]
struct Out {
    wishes: Vec<(Option<MemberId>, Body)>,
    figures: Counters,
}

impl Effects for Out {
    fn renew(&mut self, to: MemberId, message: &Renew) {
        self.wishes.push((Some(to), Body::Renew(message.clone())));
    }
    fn release(&mut self, to: MemberId, message: &Release) {
        self.wishes.push((Some(to), Body::Release(message.clone())));
    }
    fn read(&mut self, bucket: BucketId) {
        self.wishes.push((None, Body::Ask(bucket, None)));
    }
    fn propose(&mut self, bucket: BucketId, if_revision: u64, body: Vec<u8>) {
        self.wishes.push((None, Body::Ask(bucket, Some((if_revision, body)))));
    }
    fn shrink(&mut self, _: Option<SlotShare>) {
        self.wishes.push((None, Body::Stopped));
    }
    fn note(&mut self, note: LeaseEvent) {
        self.figures.count(note);
    }
}

pub struct Node {
    pub clock: Clock,
    pub instance: InstanceId,
    pub holder: Holder,
    pub needs: SlotBalancer,
    pub stands_until: Ms,
    pub up: bool,
    bell: Ms,
    asks: usize,
    out: Out,
}

pub struct World {
    pub now: Ms,
    pub terms: LeaseConfig,
    pub nodes: Vec<Node>,
    pub councillors: Vec<Councillor>,
    pub chance: Chance,
    /// From, to: nothing gets through.
    pub cut: BTreeSet<(usize, usize)>,
    /// Parts of all messages that are lost, and that take up to a lease and a half.
    pub loss: f64,
    pub slow: f64,
    queue: BTreeMap<(Ms, u64), (usize, usize, Body)>,
    order: u64,
    /// Two who believed at one instant that they hold that slot.
    pub broken: Option<(Ms, Slot, usize, usize)>,
}

pub fn id(node: usize) -> MemberId {
    MemberId(node as u64 + 1)
}

impl World {
    pub fn new(seed: u64, members: usize, terms: LeaseConfig) -> World {
        let mut chance = Chance(seed | 1);
        let drift = f64::from(terms.drift_ppm) / 1e6;
        let mut node = |it: usize| {
            let clock = Clock::drawn(&mut chance, drift);
            let (instance, now) = (InstanceId(1), clock.local(Ms(0.0)));
            let holder = Holder::new(now, seed + it as u64 * 2, (id(it), instance), terms.clone());
            let needs = SlotBalancer::new(now, id(it), terms.clone());
            let (stands_until, bell, out) = (Ms(0.0), Ms(f64::INFINITY), Out::default());
            Node { clock, instance, holder, needs, stands_until, up: true, bell, asks: 0, out }
        };
        let nodes: Vec<Node> = (0..members).map(&mut node).collect();
        // The founding is long past: their first lease of silence is over.
        let new = |it: usize| Councillor::new(nodes[it].clock.local(Ms(-60e3)), it, terms.clone());
        let councillors = (0..terms.councillors.len()).map(new).collect();
        let (cut, queue) = (BTreeSet::new(), BTreeMap::new());
        let now = Ms(0.0);
        let (loss, slow, order, broken) = (0.0, 0.0, 0, None);
        World { now, terms, nodes, councillors, chance, cut, loss, slow, queue, order, broken }
    }

    /// A new instance of that member; a councillor among them forgets its renewals.
    pub fn restart(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        let now = it.clock.local(self.now);
        it.instance = InstanceId(it.instance.0 + 1);
        it.holder = Holder::new(now, self.chance.0, (id(node), it.instance), self.terms.clone());
        it.bell = Ms(f64::INFINITY);
        if let Some(it) = self.councillors.get_mut(node) {
            it.restart(now, self.terms.clone());
        }
    }

    fn put(&mut self, at: Ms, from: usize, to: usize, body: Body) {
        self.order += 1;
        self.queue.insert((at, self.order), (from, to, body));
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if from != to && (self.cut.contains(&(from, to)) || self.chance.part() < self.loss) {
            return;
        }
        let slow = self.chance.part() < self.slow;
        let longest = if slow { self.terms.lease().0 * 1.5 } else { 10.0 };
        // Answers of a councillor's store wait for its disk.
        let disk = matches!(&body, Body::Round(Round::Promise(..) | Round::Accepted(..)));
        let delay = self.chance.part() * longest + if disk { 5.0 } else { 0.5 };
        self.put(self.now + Ms(delay), from, to, body);
    }

    /// Gives a member an input, then sends what it wishes.
    pub fn input(&mut self, node: usize, give: impl FnOnce(&mut Node, Ms, &mut dyn Effects)) {
        let it = &mut self.nodes[node];
        let mut out = std::mem::take(&mut it.out);
        give(it, it.clock.local(self.now), &mut out);
        let (wishes, unanswered) = (std::mem::take(&mut out.wishes), out.figures.unanswered as usize);
        it.out = out;
        it.asks = unanswered;
        // A hair later, so that rounding never rings a bell before its time.
        let bell = it.clock.when(it.holder.next_deadline()).max(self.now) + Ms(1e-3);
        if bell < it.bell {
            it.bell = bell;
            self.put(bell, node, node, Body::Bell);
        }
        let asked = unanswered % self.councillors.len();
        for (to, body) in wishes {
            match (to, &body) {
                (Some(to), _) => self.send(node, to.0 as usize - 1, body),
                (None, Body::Stopped) => {
                    let delay = Ms(self.chance.part() * 50.0);
                    self.put(self.now + delay, node, node, body);
                }
                _ => self.send(node, asked, body),
            }
        }
    }

    /// All that happens up to then.
    pub fn run(&mut self, until: Ms) {
        while let Some(((at, _), (from, to, body))) = self.queue.pop_first().filter(|it| it.0 .0 <= until) {
            self.now = at;
            match self.nodes[to].stands_until {
                stands if stands > at => self.put(stands, from, to, body),
                _ if self.nodes[to].up => self.take(from, to, body),
                _ => {}
            }
        }
        self.now = until;
    }

    fn take(&mut self, from: usize, to: usize, body: Body) {
        let local = self.nodes[to].clock.local(self.now);
        let mut out = Vec::new();
        match body {
            Body::Bell => {
                self.nodes[to].bell = Ms(f64::INFINITY);
                self.input(to, |it, now, out| it.holder.handle_deadline(now, out));
            }
            Body::Stopped => self.input(to, |it, now, out| it.holder.finish_shrink(now, out)),
            Body::Renewed(answer) => {
                self.input(to, |it, now, out| it.holder.renewed(now, id(from), &answer, out));
                self.check(to);
            }
            Body::Answer(no, answer) => {
                self.input(to, |it, now, out| it.holder.council_answered(now, no, answer, out).unwrap());
            }
            Body::Renew(ask) => {
                let answer = self.councillors[to].renew(local, id(from), &ask);
                out.push((from, Body::Renewed(answer)));
            }
            Body::Release(message) => self.councillors[to].renewals.release(local, id(from), &message),
            Body::Ask(no, change) => self.councillors[to].ask(local, from, no, change, &mut out),
            Body::Round(round) => self.councillors[to].round(local, from, round, &mut out),
        }
        out.into_iter().for_each(|(it, body)| self.send(to, it, body));
    }

    /// A slot is counted anew only when a renewal is answered: then nobody else may count it.
    fn check(&mut self, node: usize) {
        let local = |it: usize| self.nodes[it].clock.local(self.now);
        let others = |it: &usize| *it != node && self.nodes[*it].up;
        for slot in self.nodes[node].holder.slots(local(node)) {
            let holds = |it: &usize| self.nodes[*it].holder.holds_slot(local(*it), slot);
            if let Some(other) = (0..self.nodes.len()).filter(others).find(holds) {
                self.broken.get_or_insert((self.now, slot, node, other));
            }
        }
    }

    pub fn slots(&self, node: usize) -> u16 {
        let it = &self.nodes[node];
        it.holder.current_share(it.clock.local(self.now)).filter(|_| it.up).map_or(0, |it| it.slots)
    }

    pub fn all_slots(&self) -> u16 {
        (0..self.nodes.len()).map(|it| self.slots(it)).sum()
    }

    pub fn figures(&self) -> impl Iterator<Item = &Counters> {
        self.nodes.iter().map(|it| &it.out.figures)
    }
}
