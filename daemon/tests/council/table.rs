//! Five managers of which three are councillors, and who holds what.

use crate::cluster::{Cluster, Node};
use crate::peer::{get, within};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const SLOTS: usize = 32;
pub const LEASE: Duration = Duration::from_millis(2_000);
/// The slowest that a death, a lease and some rounds take on a machine with other work.
pub const LONG: Duration = Duration::from_secs(25);
pub const ASK: &str = "/watch/t?package=clips&best=1&patience-ms=4000";

pub type Slots = BTreeSet<u16>;

pub struct Table(pub Cluster);

/// What a page tells.
pub struct Page(pub String);

impl Page {
    pub fn of(node: &Node) -> Page {
        Page(get(node.http, "/metrics"))
    }

    pub fn slots(&self) -> Slots {
        let number =
            |it: &str| it.strip_prefix("ottersail_part_slot{slot=\"")?.split('"').next()?.parse().ok();
        self.0.lines().filter_map(number).collect()
    }

    pub fn figure(&self, name: &str) -> f64 {
        let mut found = self.0.lines().filter_map(|it| it.strip_prefix(name)?.strip_prefix(' '));
        found.next().and_then(|it| it.trim().parse().ok()).unwrap_or(-1.0)
    }
}

pub fn seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

impl Table {
    /// All started, and all slots held.
    pub fn full() -> Table {
        Table::full_with(|_, _| ())
    }

    /// The same; each is prepared before it is started.
    pub fn full_with(prepare: impl Fn(usize, &mut Node)) -> Table {
        let edit = |ix: usize, text: String| {
            let store = if ix < 3 { "store = council\n" } else { "" };
            text.replace("number = 0\nmanagers = 1\n", &format!("number = {ix}\nmanagers = 5\n"))
                + &format!(
                    "[council]\ncouncillors = m-0, m-1, m-2\nslots = {SLOTS}\nlease-ms = {}\n{store}",
                    LEASE.as_millis()
                )
        };
        let mut all = Cluster::edited(5, 400, |ix| ("east".into(), format!("m-{ix}")), edit);
        all.nodes.iter_mut().enumerate().for_each(|(ix, it)| prepare(ix, it));
        all.nodes.iter_mut().for_each(Node::start);
        let it = Table(all);
        it.fills(5);
        it
    }

    /// Waits until all slots are held but one a member, which rounding leaves, and by so many members; at
    /// each look none by two.
    pub fn fills(&self, members: usize) {
        let full = || {
            let held = self.look();
            held.iter().map(Slots::len).sum::<usize>() > SLOTS - members
                && held.iter().filter(|it| !it.is_empty()).count() == members
        };
        assert!(within(LONG, full), "{:?}{}", self.look(), self.0.told());
    }

    /// What each that runs holds for as long as a look takes. A slot that goes from one to the other between
    /// two pages is seen with neither: only what a member held before and after all were asked counts.
    pub fn look(&self) -> Vec<Slots> {
        let pass = || self.0.up().map(|it| Page::of(it).slots()).collect::<Vec<_>>();
        let (before, after) = (pass(), pass());
        let held: Vec<Slots> = before.iter().zip(&after).map(|it| it.0 & it.1).collect();
        let (sum, different) =
            (held.iter().map(Slots::len).sum::<usize>(), held.iter().flatten().collect::<BTreeSet<_>>());
        assert_eq!(sum, different.len(), "a slot of two at once: {held:?}{}", self.0.told());
        assert!(sum <= SLOTS);
        held
    }

    /// All that members but that one hold.
    pub fn others(&self, than: usize) -> Slots {
        let name = &self.0.nodes[than].name;
        self.0.up().filter(|it| it.name != *name).flat_map(|it| Page::of(it).slots()).collect()
    }
}
