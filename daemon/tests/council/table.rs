//! Managers of which some are councillors, and who holds what.

use crate::cluster::{pairs, Cluster, Node, CUT};
use crate::peer::{get, within};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const SLOTS: usize = 32;
pub const LEASE: Duration = Duration::from_millis(2_000);
/// The slowest that a death, a lease and some rounds take on a machine with other work.
pub const LONG: Duration = Duration::from_secs(90);
pub const ASK: &str = "/watch/t?package=clips&best=1&patience-ms=4000";

pub type Slots = BTreeSet<u16>;
/// Of each register by its name, the revision.
type Revisions = BTreeMap<String, f64>;

/// A cluster, and the highest revision seen of each register by the process that told it.
pub struct Table(pub Cluster, RefCell<BTreeMap<(String, u32), Revisions>>);

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

    pub fn sound(&self) -> bool {
        self.figure("ottersail_council_sound") == 1.0
    }

    fn revisions(&self) -> Revisions {
        let of = |it: &str| {
            let (key, revision) = it.strip_prefix("ottersail_council_revision{key=\"")?.split_once("\"} ")?;
            Some((key.to_string(), revision.trim().parse().ok()?))
        };
        self.0.lines().filter_map(of).collect()
    }
}

pub fn seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

impl Table {
    /// Five managers, three of them councillors; all slots held.
    pub fn full() -> Table {
        Table::full_with(|_, _| ())
    }

    /// The same; each is prepared before it is started.
    pub fn full_with(prepare: impl Fn(usize, &mut Node)) -> Table {
        let it = Table::prepared((5, 3, 0), LEASE, prepare);
        it.fills(5);
        it
    }

    /// So many managers started, of which the first are councillors. The last of them take up the names of
    /// the first ones, and are not started.
    pub fn set(managers: usize, councillors: usize, lease: Duration, doubles: usize) -> Table {
        Table::prepared((managers, councillors, doubles), lease, |_, _| ())
    }

    fn prepared(
        (managers, councillors, doubles): (usize, usize, usize),
        lease: Duration,
        prepare: impl Fn(usize, &mut Node),
    ) -> Table {
        let name = |ix: usize| format!("m-{}", ix % managers);
        let names: Vec<String> = (0..councillors).map(name).collect();
        let edit = |ix: usize, text: String| {
            let (ix, named) = (ix % managers, names.join(", "));
            let store = if ix < councillors { "store = council\n" } else { "" };
            let number = format!("number = {ix}\nmanagers = {managers}\n");
            text.replace("number = 0\nmanagers = 1\n", &number)
                + &format!(
                    "[council]\ncouncillors = {named}\nslots = {SLOTS}\nlease-ms = {}\n{store}",
                    lease.as_millis()
                )
        };
        let mut all = Cluster::edited(managers + doubles, 400, |ix| ("east".into(), name(ix)), edit);
        all.nodes.iter_mut().enumerate().for_each(|(ix, it)| prepare(ix, it));
        // Councillors last: a council that is founded before all are known shares out slots twice.
        all.nodes[..managers].iter_mut().rev().for_each(Node::start);
        Table(all, RefCell::default())
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
        let pass = || self.0.up().map(|it| self.page(it).slots()).collect::<Vec<_>>();
        let (before, after) = (pass(), pass());
        let held: Vec<Slots> = before.iter().zip(&after).map(|it| it.0 & it.1).collect();
        let (sum, different) =
            (held.iter().map(Slots::len).sum::<usize>(), held.iter().flatten().collect::<BTreeSet<_>>());
        assert_eq!(sum, different.len(), "a slot of two at once: {held:?}{}", self.0.told());
        assert!(sum <= SLOTS);
        held
    }

    /// A page; what the same process told before must not be newer.
    fn page(&self, node: &Node) -> Page {
        let page = Page::of(node);
        let process = node.child.as_ref().map_or(0, |it| it.id());
        let mut all = self.1.borrow_mut();
        let seen = all.entry((node.name.clone(), process)).or_default();
        for (key, revision) in page.revisions() {
            let most = seen.entry(key).or_insert(revision);
            assert!(revision >= *most, "{} went back from {most} to {revision}: {}", node.name, node.log());
            *most = revision;
        }
        page
    }

    /// The highest revisions that anybody was ever seen to follow.
    pub fn most(&self) -> Revisions {
        let mut most = Revisions::new();
        for (key, revision) in self.1.borrow().values().flatten() {
            let it = most.entry(key.clone()).or_insert(*revision);
            *it = it.max(*revision);
        }
        most
    }

    /// Waits until all that run follow at least the highest revisions that were ever seen: nothing that was
    /// agreed is lost.
    pub fn keeps_all(&self) {
        let most = self.most();
        assert!(most.len() >= 2, "{most:?}");
        let has = |it: &Node| {
            let told = self.page(it).revisions();
            most.iter().all(|(key, revision)| told.get(key).is_some_and(|it| it >= revision))
        };
        assert!(within(LONG, || self.0.up().all(has)), "{most:?}{}", self.0.told());
    }

    /// Waits until those councillors take part, looking at all meanwhile.
    pub fn take_part(&self, councillors: impl Iterator<Item = usize> + Clone) {
        let sound = || {
            self.look();
            councillors.clone().all(|it| Page::of(&self.0.nodes[it]).sound())
        };
        assert!(within(LONG, sound), "{}", self.0.told());
    }

    /// Cuts the way between any two of which the first one is `from` and the second one `to`, or heals all.
    pub fn cut(&self, one_way: impl Fn(usize, usize) -> bool) {
        for (from, to) in pairs(self.0.nodes.len()) {
            self.0.set(from, to, if one_way(from, to) { CUT } else { Default::default() });
        }
    }

    /// All that members but that one hold.
    pub fn others(&self, than: usize) -> Slots {
        let name = &self.0.nodes[than].name;
        self.0.up().filter(|it| it.name != *name).flat_map(|it| Page::of(it).slots()).collect()
    }
}
