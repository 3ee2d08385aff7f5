//! Three councillors, holders `A` and `B`, and one slot. The register beneath is taken for sound (the
//! council's model is about that): one candidate at a time, chosen once a majority of councillors has let
//! it pass, each at its own time.

pub mod node;

use std::hash::{Hash, Hasher};

use node::{Ask, Does, Node, Says};
use ottersail_leases::{Bucket, BucketId, Guards, LeaseConfig, Slot};
use ottersail_model_checker::net::{Faults, Net, NetStep, Rates};
use ottersail_model_checker::{print_of, World};

pub const COUNCIL: usize = 3;
pub const A: usize = 3;
pub const B: usize = 4;
pub const NO: BucketId = BucketId(0);

/// A change under way: by whom, to what, and which councillors let it pass.
#[derive(Clone, Debug, Hash)]
struct Candidate {
    by: usize,
    bucket: Bucket,
    passed: [bool; COUNCIL],
}

#[derive(Clone)]
pub struct Fleet {
    net: Net<Node>,
    revision: u64,
    chosen: Bucket,
    candidate: Option<Candidate>,
}

#[derive(Clone)]
pub enum Step {
    Net(NetStep<Node>),
    /// That councillor lets the candidate pass.
    Pass(usize),
}

impl Step {
    /// What goes before all else, for fewer states. A councillor that is down does what a slow one does,
    /// nothing: so it may as well crash just before it starts again. And what is told to B comes at once.
    fn is_prompt(&self) -> bool {
        matches!(self, Step::Net(NetStep::Restart(..) | NetStep::Deliver(_, B, _)))
    }
}

impl std::fmt::Debug for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Step::Net(step) => step.fmt(f),
            Step::Pass(councillor) => write!(f, "{councillor} lets the change pass"),
        }
    }
}

/// What differs from one search to the next.
#[derive(Clone, Default)]
pub struct Setting {
    pub guards: Guards,
    pub faults: Faults,
    pub rates: Rates,
    /// How often A and B may be rung: each ring may send a round of renewals.
    pub bells: [u8; 2],
    /// Who has rung before the first step.
    pub rung: Vec<usize>,
    /// Ways cut from the first to the last step.
    pub cuts: Vec<(usize, usize)>,
    /// Whether A may be told to hold nothing any more; it holds by its first renewal from the start then.
    pub lets_go: bool,
}

/// A lease of 32 units; a tick of 8 true units takes a clock on by 7 to 9 of its own: within an eighth.
pub fn terms(guards: Guards) -> LeaseConfig {
    let councillors = (0..COUNCIL).map(node::id).collect();
    LeaseConfig { slots: 1, lease_ms: 32, drift_ppm: 125_000, councillors, guards }
}

impl Fleet {
    /// A's name stands in the register, and it may renew; B believes A gone, wrongly, and wants the slot.
    pub fn new(setting: Setting) -> Fleet {
        let terms = terms(setting.guards);
        let chosen = Bucket::empty(1).acquire(1, node::who(A));
        let mut nodes: Vec<Node> = (0..COUNCIL).map(|_| Node::councillor(&terms, &chosen)).collect();
        nodes.push(Node::holder(A, &terms, &chosen, setting.bells[0], setting.lets_go));
        nodes.push(Node::holder(B, &terms, &chosen, setting.bells[1], false));
        let mut net = Net::new(nodes, setting.faults, setting.rates);
        net.cuts = setting.cuts.into_iter().collect();
        let mut fleet = Fleet { net, revision: 1, chosen, candidate: None };
        for node in setting.rung {
            fleet.take(&Step::Net(NetStep::Act(node, Does::Bell)));
        }
        while let Some((from, to, says)) = fleet.net.flight.keys().next().filter(|_| setting.lets_go).cloned()
        {
            fleet.take(&Step::Net(NetStep::Deliver(from, to, says)));
        }
        fleet
    }

    /// The register's side of what a holder asked, at once; the answer is under way like any message.
    fn serve(&mut self, by: usize, ask: Ask) {
        match ask {
            Ask::Read => self.answer(by, true),
            Ask::Propose(revision, _) if revision != self.revision => self.answer(by, false),
            Ask::Propose(_, bucket) => {
                self.candidate = Some(Candidate { by, bucket, passed: [false; COUNCIL] });
            }
        }
    }

    fn answer(&mut self, to: usize, chosen: bool) {
        let says = Says::Answer { chosen, revision: self.revision, bucket: Some(self.chosen.clone()) };
        *self.net.flight.entry((0, to, says)).or_default() += 1;
    }

    /// A does not hold, will ask nothing, and no renewal of its is under way, asked or answered: only such an
    /// answer could make it hold.
    fn a_is_over(&self) -> bool {
        let spot = &self.net.spots[A];
        let renewal = |says: &Says| matches!(says, Says::Renew(_) | Says::Renewed(_));
        let mut flight = self.net.flight.keys();
        let under_way = flight.any(|(from, to, says)| (*from == A || *to == A) && renewal(says));
        !spot.machine.holds(spot.clock, Slot(0)) && !spot.machine.may_ring() && !under_way
    }

    fn may_pass(&self, councillor: usize) -> bool {
        let spot = &self.net.spots[councillor];
        let open = self.candidate.as_ref().filter(|it| spot.up && !spot.paused && !it.passed[councillor]);
        open.is_some_and(|it| spot.machine.allows(spot.clock, &it.bucket))
    }

    fn pass(&mut self, councillor: usize) {
        let Some(candidate) = &mut self.candidate else { return };
        candidate.passed[councillor] = true;
        self.net.spots[councillor].machine.accept(&candidate.bucket);
        if candidate.passed.iter().filter(|it| **it).count() > COUNCIL / 2 {
            let Candidate { by, bucket, .. } = candidate.clone();
            (self.revision, self.chosen, self.candidate) = (self.revision + 1, bucket, None);
            self.answer(by, true);
        }
    }
}

impl World for Fleet {
    type Step = Step;

    /// Nothing where A cannot hold again: two holders are out of reach there, so what follows need not be
    /// seen.
    fn steps(&self) -> Vec<Step> {
        if self.a_is_over() {
            return vec![];
        }
        let mut steps: Vec<Step> = self.net.steps().into_iter().map(Step::Net).collect();
        if let Some(first) = steps.iter().position(Step::is_prompt) {
            return vec![steps.swap_remove(first)];
        }
        // A holder that starts again comes with a new life: a third member, not in this model. Cuts stand.
        let out = |step: &Step| match step {
            Step::Net(NetStep::Crash(node)) => *node >= COUNCIL,
            Step::Net(NetStep::Heal(..)) => true,
            _ => false,
        };
        steps.retain(|step| !out(step));
        steps.extend((0..COUNCIL).filter(|it| self.may_pass(*it)).map(Step::Pass));
        steps
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Net(step) => self.net.take(step),
            Step::Pass(councillor) => self.pass(*councillor),
        }
        for by in [A, B] {
            if let Some(ask) = self.net.spots[by].machine.asked() {
                self.serve(by, ask);
            }
        }
    }

    /// At this instant of true time, each looking at its own clock.
    fn broken(&self) -> Option<String> {
        let holds = |node: &usize| {
            let spot = &self.net.spots[*node];
            spot.up && spot.machine.holds(spot.clock, Slot(0))
        };
        let both = holds(&A) && holds(&B);
        both.then(|| format!("A and B both hold slot 0 at tick {}: parts sum to 2", self.net.truth))
    }

    fn print(&self) -> u128 {
        print_of(self)
    }

    fn weight(&self) -> usize {
        3000
    }
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.net, self.revision, &self.chosen, &self.candidate).hash(into);
    }
}
