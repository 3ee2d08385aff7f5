//! The machines of `parts`, as nodes of the network.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use ottersail::time::Ms;
use ottersail_leases::{
    Answer, Bucket, BucketId, Effects, Holder, InstanceId, LeaseConfig, LeaseEvent, LeaseGrants, MemberId,
    Release, Renew, Renewed, Slot, SlotShare,
};
use ottersail_model_checker::net::{Machine, Memory, Out};

use super::{COUNCIL, NO};

pub fn id(node: usize) -> MemberId {
    MemberId(node as u64 + 1)
}

pub fn who(node: usize) -> (MemberId, InstanceId) {
    (id(node), InstanceId(node as u64 + 1))
}

fn at(clock: u32) -> Ms {
    Ms(f64::from(clock))
}

/// All were there long before the first tick.
const BEFORE: Ms = Ms(-1000.0);
/// A lease after that: a newcomer asks for others' slots only then.
const SETTLED: Ms = Ms(-500.0);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Says {
    Renew(Renew),
    Renewed(Renewed),
    Release(Release),
    /// Chosen or in the way; without a bucket: refused.
    Answer {
        chosen: bool,
        revision: u64,
        bucket: Option<Bucket>,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum Does {
    Bell,
    /// Told to hold nothing any more.
    LetsGo,
    /// What rested on the slot has ended.
    Stopped,
}

/// What a holder asks of the register.
pub enum Ask {
    Read,
    Propose(u64, Bucket),
}

#[derive(Clone, Hash)]
pub enum Node {
    Councillor { terms: LeaseConfig, renewals: LeaseGrants, accepted: Bucket },
    Holder { holder: Box<Holder>, bells: u8, lets_go: bool, asked: Vec<(u64, Option<Bucket>)>, stops: bool },
}

#[derive(Default)]
struct Wished {
    out: Out<Says>,
    asked: Vec<(u64, Option<Bucket>)>,
    stops: bool,
}

impl Effects for Wished {
    fn renew(&mut self, to: MemberId, message: &Renew) {
        self.out.push((to.0 as usize - 1, Says::Renew(message.clone())));
    }
    fn release(&mut self, to: MemberId, message: &Release) {
        self.out.push((to.0 as usize - 1, Says::Release(message.clone())));
    }
    fn read(&mut self, _: BucketId) {
        self.asked.push((0, None));
    }
    fn propose(&mut self, no: BucketId, if_revision: u64, body: Vec<u8>) {
        let bucket = Bucket::decode(no, 1, &body).expect("its own body");
        self.asked.push((if_revision, Some(bucket)));
    }
    fn shrink(&mut self, _: Option<SlotShare>) {
        self.stops = true;
    }
    fn note(&mut self, _: LeaseEvent) {}
}

impl Node {
    pub fn councillor(terms: &LeaseConfig, chosen: &Bucket) -> Node {
        let renewals = LeaseGrants::new(BEFORE, terms.clone());
        Node::Councillor { terms: terms.clone(), renewals, accepted: chosen.clone() }
    }

    pub fn holder(node: usize, terms: &LeaseConfig, chosen: &Bucket, bells: u8, lets_go: bool) -> Node {
        let mut holder = Holder::new(BEFORE, 5, who(node), terms.clone());
        holder.set_alive(BTreeMap::from([who(node)]));
        let mut wished = Wished::default();
        let body = chosen.encode().expect("one seat fits");
        holder.register_changed(NO, 1, &body, &mut wished).expect("as written");
        // What is wished before the first tick is lost, and A's name stands already: B is refused and waits.
        holder.set_target(SETTLED, 1, &mut wished);
        if !wished.asked.is_empty() {
            let refused = holder.council_answered(SETTLED, NO, Answer::Refused, &mut Wished::default());
            refused.expect("nothing to read");
        }
        Node::Holder { holder: Box::new(holder), bells, lets_go, asked: vec![], stops: false }
    }

    /// What it asked of the register with its last step.
    pub fn asked(&mut self) -> Option<Ask> {
        let Node::Holder { asked, .. } = self else { return None };
        let (revision, bucket) = asked.pop()?;
        Some(bucket.map_or(Ask::Read, |it| Ask::Propose(revision, it)))
    }

    pub fn holds(&self, clock: u32, slot: Slot) -> bool {
        matches!(self, Node::Holder { holder, .. } if holder.holds_slot(at(clock), slot))
    }

    pub fn may_ring(&self) -> bool {
        matches!(self, Node::Holder { bells: 1.., .. })
    }

    pub fn allows(&self, clock: u32, to: &Bucket) -> bool {
        match self {
            Node::Councillor { renewals, accepted, .. } => {
                renewals.allows(at(clock), NO, accepted, to).is_ok()
            }
            Node::Holder { .. } => false,
        }
    }

    pub fn accept(&mut self, to: &Bucket) {
        if let Node::Councillor { accepted, .. } = self {
            *accepted = to.clone();
        }
    }

    fn with(&mut self, out: &mut Out<Says>, does: impl FnOnce(&mut Holder, &mut Wished)) {
        let Node::Holder { holder, asked, stops, .. } = self else { return };
        let mut wished = Wished::default();
        does(holder, &mut wished);
        out.append(&mut wished.out);
        asked.append(&mut wished.asked);
        *stops |= wished.stops;
    }
}

impl Machine for Node {
    type Message = Says;
    type Act = Does;

    fn hear(&mut self, clock: u32, from: usize, says: &Says, out: &mut Out<Says>) {
        let now = at(clock);
        if let Node::Councillor { renewals, accepted, .. } = self {
            match says {
                Says::Renew(ask) => {
                    let renewed = renewals.renew(now, id(from), ask, |slot| accepted.entry(slot.0.into()));
                    out.push((from, Says::Renewed(renewed)));
                }
                Says::Release(release) => renewals.release(now, id(from), release),
                Says::Renewed(_) | Says::Answer { .. } => {}
            }
            return;
        }
        self.with(out, |holder, wished| match says {
            Says::Renewed(answer) => holder.renewed(now, id(from), answer, wished),
            Says::Answer { chosen, revision, bucket } => {
                let body = bucket.as_ref().map(|it| it.encode().expect("one seat fits"));
                let answer = match (body, chosen) {
                    (Some(body), true) => Answer::Chosen { revision: *revision, body },
                    (Some(body), false) => Answer::Conflict { revision: *revision, body },
                    (None, _) => Answer::Refused,
                };
                holder.council_answered(now, NO, answer, wished).expect("as written");
            }
            Says::Renew(_) | Says::Release(_) => {}
        });
    }

    fn acts(&self, clock: u32) -> Vec<Does> {
        let Node::Holder { holder, bells, lets_go, stops, .. } = self else { return vec![] };
        let bell = (*bells > 0 && at(clock) >= holder.next_deadline()).then_some(Does::Bell);
        let lets_go = lets_go.then_some(Does::LetsGo);
        bell.into_iter().chain(lets_go).chain(stops.then_some(Does::Stopped)).collect()
    }

    fn act(&mut self, clock: u32, does: &Does, out: &mut Out<Says>) {
        if let Node::Holder { bells, lets_go, stops, .. } = self {
            match does {
                Does::Bell => *bells -= 1,
                Does::LetsGo => *lets_go = false,
                Does::Stopped => *stops = false,
            }
        }
        let now = at(clock);
        self.with(out, |holder, wished| match does {
            Does::Bell => holder.handle_deadline(now, wished),
            Does::LetsGo => holder.set_target(now, 0, wished),
            Does::Stopped => holder.finish_shrink(now, wished),
        });
    }

    /// Renewals are in memory only. A lost disk is taken back from the others, and so is what was accepted.
    fn restart(&mut self, clock: u32, memory: Memory) {
        if let Node::Councillor { terms, renewals, .. } = self {
            *renewals = LeaseGrants::new(at(clock), terms.clone());
            if memory == Memory::Lost {
                renewals.restart_quiet_period(at(clock));
            }
        }
    }

    fn state<H: Hasher>(&self, into: &mut H) {
        self.hash(into);
    }
}

const _: () = assert!(COUNCIL == 3);
