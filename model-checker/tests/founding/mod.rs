//! Councillors that found a council. Nothing that was ever sent is gone: it may come at any time, as often
//! as it
//! will, or never. So messages lost, late, doubled and overtaken are all in it without a budget.

pub mod node;
mod sent;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Debug, Formatter};
use std::rc::Rc;

use node::{id, Node, Wished};
use ottersail_consensus::{Ballot, Change, Guards, Key, Message, Outcome, RequestId, StoreGeneration, Value};
use ottersail_membership::{InstanceId, MemberId};
use ottersail_model_checker::{print_of, World};

const KEY: Key = Key::Founding;
/// Asks for rounds; no councillor.
const ASKER: MemberId = MemberId(99);

/// What differs from one search to the next.
#[derive(Clone)]
pub struct Setting {
    pub guards: Guards,
    pub size: usize,
    /// Who may lose its store, and the memory drawn after each loss.
    pub losing: Vec<usize>,
    pub drawn: Vec<u64>,
    pub rounds: u64,
    /// Whose disk is not done at once: a crash may fall between its wish and its sync.
    pub slow: Vec<usize>,
    /// Ways cut from the first to the last step.
    pub cuts: Vec<(usize, usize)>,
    /// Whether a founding that can't end counts as found.
    pub seeks_wait: bool,
    /// Who may find an old copy of its file put in the place of its file.
    pub put_back: Vec<usize>,
}

type Sent = (usize, usize, Message);

#[derive(Clone)]
pub struct Founding {
    nodes: Vec<Rc<Node>>,
    sent: Rc<BTreeSet<Sent>>,
    /// Stores lost so far.
    lost: usize,
    rounds: u64,
    chosen: BTreeMap<u64, Value>,
    wrong: Option<String>,
    setting: Rc<Setting>,
}

#[derive(Clone)]
pub enum Step {
    Deliver(Sent),
    Sync(usize),
    /// It crashes before the disk is done, and starts again.
    Crash(usize),
    Lose(usize),
    /// It starts again from a copy of its file, made when it began to take part.
    PutBack(usize),
    /// The first runs a whole round with the second, heard by nobody else.
    Round(usize, usize),
}

impl Debug for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Step::Deliver((from, to, message)) => write!(f, "deliver {from} -> {to}: {message:?}"),
            Step::Sync(node) => write!(f, "{node} has it on disk"),
            Step::Crash(node) => write!(f, "{node} starts again from its disk"),
            Step::Lose(node) => write!(f, "{node} starts again, its store is lost"),
            Step::PutBack(node) => write!(f, "{node} starts again, an old copy of its file is put back"),
            Step::Round(by, with) => write!(f, "{by} runs a round with {with}"),
        }
    }
}

impl Founding {
    pub fn new(setting: Setting) -> Founding {
        let node = |me| {
            let generation = StoreGeneration::drawn(100 + me as u64);
            Rc::new(Node::new(me, setting.size, generation, setting.guards))
        };
        let mut founding = Founding {
            nodes: (0..setting.size).map(node).collect(),
            sent: Rc::default(),
            lost: 0,
            rounds: 0,
            chosen: BTreeMap::new(),
            wrong: None,
            setting: Rc::new(setting),
        };
        (0..founding.nodes.len()).for_each(|by| founding.asks(by));
        founding
    }

    /// Sent as soon as it may be: what comes later, or never, came too early to none.
    fn asks(&mut self, by: usize) {
        if !self.nodes[by].participates() {
            let asks = self.nodes[by].asks();
            self.send(by, asks);
        }
    }

    fn send(&mut self, by: usize, messages: Vec<(MemberId, Message)>) {
        for (to, message) in messages.into_iter().filter(|(to, _)| *to != ASKER) {
            let sent = (by, to.0 as usize - 1, message);
            if self.matters(&sent) && !self.sent.contains(&sent) {
                Rc::make_mut(&mut self.sent).insert(sent);
            }
        }
    }

    fn with(&mut self, by: usize, does: impl FnOnce(&mut Node, &mut Wished)) {
        let mut wished = Wished::default();
        does(Rc::make_mut(&mut self.nodes[by]), &mut wished);
        while !self.setting.slow.contains(&by) && self.nodes[by].syncs() {
            Rc::make_mut(&mut self.nodes[by]).sync(&mut wished);
        }
        self.send(by, wished.sent);
        self.asks(by);
    }

    /// All of a round at one moment, between these two alone.
    fn round(&mut self, by: usize, with: usize) {
        self.rounds += 1;
        let request = RequestId { member: ASKER, life: InstanceId(1), number: self.rounds };
        let change = Change::Set { if_revision: 0, body: vec![self.rounds as u8] };
        let propose = Message::Propose { request, key: KEY, change };
        // As if it had been refused before: its ballot is above those of earlier rounds.
        let promised = Ballot { number: self.rounds * 10, ..Ballot::default() };
        let above = Message::Refused { key: KEY, ballot: Ballot::default(), promised };
        Rc::make_mut(&mut self.nodes[by]).restart(1 + self.rounds);
        let mut queue = vec![(with, by, above), (98, by, propose)];
        while !queue.is_empty() {
            let (from, to, message) = queue.remove(0);
            let mut wished = Wished::default();
            Rc::make_mut(&mut self.nodes[to]).take_part(id(from), &message, &mut wished);
            for (to_id, message) in wished.sent {
                match message {
                    Message::Answer { outcome, .. } => self.told(outcome),
                    Message::Learned { .. } => {}
                    Message::Outdated { .. } => self.send(to, vec![(to_id, message)]),
                    _ if to_id == id(by) || to_id == id(with) => {
                        queue.push((to, to_id.0 as usize - 1, message));
                    }
                    _ => {}
                }
            }
        }
        for node in [by, with] {
            Rc::make_mut(&mut self.nodes[node]).restart(1);
        }
    }

    fn told(&mut self, outcome: Outcome) {
        let (Outcome::Chosen(value) | Outcome::Current(Some(value))) = outcome else { return };
        let held = self.chosen.entry(value.revision).or_insert_with(|| value.clone());
        if *held != value {
            self.wrong = Some(format!("two values at one revision: {held:?} and {value:?}"));
        }
    }
}

impl World for Founding {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        if let Some(first) = self.sent.iter().find(|sent| self.at_once(sent) && self.tells(sent)) {
            return vec![Step::Deliver(first.clone())];
        }
        let mut steps: Vec<Step> = self.sent.iter().cloned().map(Step::Deliver).collect();
        let all = 0..self.nodes.len();
        for node in all.clone() {
            if self.nodes[node].syncs() {
                steps.extend([Step::Sync(node), Step::Crash(node)]);
            }
            if self.lost < self.setting.drawn.len() && self.setting.losing.contains(&node) {
                steps.push(Step::Lose(node));
            }
            if self.setting.put_back.contains(&node) && self.nodes[node].has_old() {
                steps.push(Step::PutBack(node));
            }
        }
        let participating: Vec<usize> = all.filter(|node| self.nodes[*node].participates()).collect();
        if self.rounds < self.setting.rounds {
            let pairs =
                participating.iter().flat_map(|by| participating.iter().map(move |with| (*by, *with)));
            steps.extend(
                pairs
                    .filter(|(a, b)| a < b && !self.setting.cuts.contains(&(*a, *b)))
                    .map(|(by, with)| Step::Round(by, with)),
            );
        }
        steps
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Deliver((from, to, message)) => {
                self.with(*to, |node, wished| node.hear(id(*from), message, wished));
            }
            Step::Sync(node) => self.with(*node, Node::sync),
            Step::Crash(node) => self.with(*node, |node, _| node.restart(1)),
            Step::Lose(node) => {
                let generation = StoreGeneration::drawn(self.setting.drawn[self.lost]);
                self.lost += 1;
                self.with(*node, |node, _| node.lose(generation));
            }
            Step::PutBack(node) => self.with(*node, |node, _| node.put_back()),
            Step::Round(by, with) => self.round(*by, *with),
        }
        if !self.sent.iter().all(|sent| self.matters(sent) && self.newest(sent)) {
            let kept = self.sent.iter().filter(|sent| self.matters(sent) && self.newest(sent));
            self.sent = Rc::new(kept.cloned().collect());
        }
    }

    fn broken(&self) -> Option<String> {
        let waits = self.setting.seeks_wait && self.waits();
        self.wrong.clone().or_else(|| waits.then(|| "all wait for the operator".to_owned()))
    }

    fn print(&self) -> u128 {
        let nodes: Vec<u128> = self.nodes.iter().map(|node| node.print).collect();
        print_of(&(nodes, &self.sent, self.lost, self.rounds, &self.chosen))
    }

    fn weight(&self) -> usize {
        4000
    }
}
