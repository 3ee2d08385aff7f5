//! Which of all that was ever sent still matters, and what may be heard at once without losing a bad
//! history; and a founding that can't end.

use std::rc::Rc;

use ottersail_consensus::{MemberId, Message, StoreGeneration, StoreGenerations};

use super::node::{id, Node, Wished};
use super::{Founding, Sent};

impl Founding {
    /// Whether it may ever do anything. A sound councillor does not hear what one that recovers is told,
    /// and one
    /// that has lost its store since does not believe it: it is told of another memory.
    pub(super) fn matters(&self, (from, to, message): &Sent) -> bool {
        let held = &self.nodes[*to].disk;
        let open = !self.setting.cuts.contains(&(*from, *to));
        open && match message {
            Message::Recovered { generation, .. } => !held.participating && *generation == held.generation,
            Message::Founded { founders } => {
                !held.participating && founders.get(&id(*to)) == Some(&held.generation)
            }
            Message::Outdated { known } => {
                let loses = self.lost < self.setting.drawn.len() && self.setting.losing.contains(to);
                loses || *known > held.generation
            }
            _ => true,
        }
    }

    /// Of one memory's claims only the newest: one with its roll lets its hearer do all that one without
    /// does.
    pub(super) fn newest(&self, (from, to, message): &Sent) -> bool {
        let Message::Recover { generation, founders: None, .. } = message else { return true };
        let later = |it: &Sent| match it {
            (by, at, Message::Recover { generation: of, founders: Some(_), .. }) => {
                (by, at, of) == (from, to, generation)
            }
            _ => false,
        };
        !self.sent.iter().any(later)
    }

    /// Whether it changes anything; hearing it again does if the disk was busy before.
    pub(super) fn tells(&self, (from, to, message): &Sent) -> bool {
        let (mut node, mut wished) = (Node::clone(&self.nodes[*to]), Wished::default());
        node.hear(id(*from), message, &mut wished);
        let new = |(at, message): &(MemberId, Message)| {
            let sent = (*to, at.0 as usize - 1, message.clone());
            self.matters(&sent) && !self.sent.contains(&sent)
        };
        node.print != self.nodes[*to].print || wished.sent.iter().any(new)
    }

    /// What one that keeps its store claims makes its hearer act only together with the claim of one that may
    /// lose it, and that one comes at any time. So it is heard at once. With a founding by less than all,
    /// whoever is heard first founds: there nothing is hastened. The disk of one that may lose its store
    /// has to be
    /// slow for this: a roll not yet done stands for the claim not yet heard.
    /// What one that recovers is told was fixed when it was sent: told at once, it only takes part earlier.
    pub(super) fn at_once(&self, (from, to, message): &Sent) -> bool {
        if matches!(message, Message::Recovered { .. } | Message::Founded { .. }) {
            return true;
        }
        let claim = matches!(message, Message::Recover { .. }) && !self.nodes[*to].participates();
        self.setting.guards.founding_by_all && claim && !self.setting.losing.contains(from)
    }

    /// Nobody takes part, and one has kept a roll with a memory that is lost and never told that it kept
    /// it, too:
    /// that roll can't become unanimous, and it keeps no other.
    pub(super) fn waits(&self) -> bool {
        let lost = |(of, generation): (&MemberId, &StoreGeneration)| {
            let kept = self.nodes.iter().zip(0..).find(|(_, node)| id(*node) == *of);
            kept.is_some_and(|(node, _)| node.disk.generation != *generation)
        };
        let told = |founders: &StoreGenerations| {
            self.sent.iter().any(|(by, _, message)| match message {
                Message::Recover { generation, founders: Some(kept), .. } => {
                    kept == founders
                        && founders.get(&id(*by)) == Some(generation)
                        && lost((&id(*by), generation))
                }
                _ => false,
            })
        };
        let stuck =
            |node: &Rc<Node>| node.disk.founders.as_ref().is_some_and(|it| it.iter().any(lost) && !told(it));
        !self.nodes.iter().any(|node| node.participates()) && self.nodes.iter().any(stuck)
    }
}
