//! Three or five councillors with one register, and two or three that propose.

pub mod node;

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use node::{Node, Told};
use ottersail_consensus::{Change, Guards, Message, Outcome, Value};
use ottersail_model_checker::net::{Faults, Net, NetStep};
use ottersail_model_checker::{print_of, World};

#[derive(Clone)]
pub struct Registers {
    net: Net<Node>,
    /// What anybody was told is chosen, by revision.
    chosen: BTreeMap<u64, Value>,
    /// The newest that had been told when each request was asked.
    floors: BTreeMap<(usize, u64), u64>,
    follows: Vec<u64>,
    wrong: Option<String>,
    crashing: Vec<usize>,
}

/// What differs from one search to the next.
#[derive(Clone)]
pub struct Setting {
    pub guards: Guards,
    pub faults: Faults,
    pub asks: Vec<Vec<Change>>,
    pub bells: Vec<u8>,
    /// Ways cut from the first to the last step.
    pub cuts: Vec<(usize, usize)>,
    /// Who may crash.
    pub crashing: Vec<usize>,
    pub synced_at_once: bool,
    pub word: bool,
    pub tries_again: bool,
}

impl Registers {
    pub fn new(setting: &Setting) -> Registers {
        let size = setting.asks.len();
        let node = |me: usize| {
            let (asks, bells) = (&setting.asks[me], setting.bells[me]);
            let mut node = Node::founded((me, size), asks, bells, setting.guards, setting.synced_at_once);
            node.word = setting.word;
            node.tries_again = setting.tries_again;
            node
        };
        let nodes = (0..size).map(node).collect();
        let mut net = Net::new(nodes, setting.faults, vec![]);
        net.cuts = setting.cuts.iter().copied().collect();
        Registers {
            net,
            chosen: BTreeMap::new(),
            floors: BTreeMap::new(),
            follows: vec![0; size],
            wrong: None,
            crashing: setting.crashing.clone(),
        }
    }

    fn may_go(&self, step: &NetStep<Node>) -> bool {
        match step {
            NetStep::Crash(node) => self.crashing.contains(node),
            NetStep::Heal(..) => false,
            _ => true,
        }
    }

    fn judge(&mut self, by: usize, told: Told) {
        match told {
            Told::Asked(number) => {
                let floor = self.chosen.keys().next_back().copied().unwrap_or(0);
                self.floors.insert((by, number), floor);
            }
            Told::Chosen(value) => self.is_chosen(value),
            Told::Answered(number, outcome) => {
                let own = |it: &Value| it.request.member == node::id(by) && it.request.number == number;
                if matches!(&outcome, Outcome::Current(Some(it)) if own(it)) {
                    self.wrong = Some(format!("{by} is told that its own change {number} came too late"));
                }
                let now = match outcome {
                    Outcome::Chosen(value) | Outcome::Current(Some(value)) => Some(value),
                    Outcome::Current(None) => None,
                    Outcome::Unanswered | Outcome::Rejected => return,
                };
                let revision = now.as_ref().map_or(0, |value| value.revision);
                if let Some(floor) = self.floors.remove(&(by, number)).filter(|floor| revision < *floor) {
                    self.wrong =
                        Some(format!("{by} is told revision {revision}, {floor} was told before it asked"));
                }
                now.into_iter().for_each(|value| self.is_chosen(value));
            }
            Told::Follows(revision) => {
                if revision < self.follows[by] {
                    self.wrong = Some(format!("{by} follows {revision} after {}", self.follows[by]));
                }
                self.follows[by] = revision;
            }
        }
    }

    fn is_chosen(&mut self, value: Value) {
        let held = self.chosen.entry(value.revision).or_insert_with(|| value.clone());
        if *held != value {
            self.wrong = Some(format!("two values at one revision: {held:?} and {value:?}"));
        }
        // A request that is done twice stands at two revisions.
        let twice = self.chosen.values().filter(|it| it.request == value.request).count() > 1;
        if twice {
            self.wrong = Some(format!("one request done twice: {:?}", value.request));
        }
    }
}

impl World for Registers {
    type Step = NetStep<Node>;

    /// A crash just before the next start is one at any time before: nothing is heard or done in between.
    /// Cuts stand.
    fn steps(&self) -> Vec<NetStep<Node>> {
        let mut steps = self.net.steps();
        steps.retain(|step| matches!(step, NetStep::Restart(..)) || self.may_go(step));
        // What one that recovers is told was fixed when it was sent, and until it has recovered it hears
        // nothing else: told at once, it only takes part earlier.
        let told = |step: &NetStep<Node>| matches!(step, NetStep::Deliver(_, _, Message::Recovered { .. }));
        if let Some(first) = steps.iter().position(told) {
            return vec![steps.swap_remove(first)];
        }
        let starts = steps.iter().filter(|step| matches!(step, NetStep::Restart(..))).count();
        if starts > 0 {
            steps.retain(|step| matches!(step, NetStep::Restart(..)));
            // A lost memory, offered last, is the stronger fault; where none may be lost, it is kept.
            steps.drain(..starts - 1);
        }
        steps
    }

    fn take(&mut self, step: &NetStep<Node>) {
        self.net.take(step);
        for by in 0..self.follows.len() {
            for told in self.net.spots[by].machine.told() {
                self.judge(by, told);
            }
        }
    }

    fn broken(&self) -> Option<String> {
        self.wrong.clone()
    }

    fn print(&self) -> u128 {
        print_of(self)
    }

    fn weight(&self) -> usize {
        4000
    }
}

impl Hash for Registers {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.net, &self.chosen, &self.floors, &self.follows).hash(into);
    }
}
