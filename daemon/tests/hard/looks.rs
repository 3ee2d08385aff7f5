//! Looks at all processes, from outside: their pages of figures and their logs.

use crate::cluster::node::Beliefs;
use crate::cluster::{Cluster, Node};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const BETWEEN: Duration = Duration::from_millis(50);

/// Who believes what, by name.
pub type Look = Vec<(String, Beliefs)>;

pub fn dead(_: &str, _: &str, state: &str) -> bool {
    state == "dead"
}

/// One look: no member that runs may hold what `never` names, by whom, of whom, and what.
pub fn once(all: &Cluster, never: impl Fn(&str, &str, &str) -> bool) -> Look {
    let look: Look = all.up().map(|it| (it.name.clone(), it.beliefs())).collect();
    for (by, beliefs) in &look {
        for (of, (state, _)) in beliefs {
            assert!(!never(by, of, state), "{by} holds {of} for {state}{}", all.told());
        }
    }
    look
}

pub fn during(all: &Cluster, span: Duration, never: impl Fn(&str, &str, &str) -> bool) {
    let began = Instant::now();
    while began.elapsed() < span {
        once(all, &never);
        std::thread::sleep(BETWEEN);
    }
}

/// Looks until it is so, and how long that took.
pub fn until(
    all: &Cluster,
    seconds: u64,
    never: impl Fn(&str, &str, &str) -> bool,
    so: impl Fn(&Look) -> bool,
) -> Duration {
    let began = Instant::now();
    while !so(&once(all, &never)) {
        assert!(began.elapsed() < Duration::from_secs(seconds), "not after {seconds} s{}", all.told());
        std::thread::sleep(BETWEEN);
    }
    began.elapsed()
}

/// Whether each that runs and is one `by` holds each other `of` those for that.
pub fn hold(look: &Look, by: impl Fn(&str) -> bool, of: &[String], state: &str) -> bool {
    let is = |(name, beliefs): &(String, Beliefs)| {
        let mut others = of.iter().filter(|it| *it != name);
        others.all(|it| beliefs.get(it).is_some_and(|it| it.0 == state))
    };
    look.iter().filter(|it| by(&it.0)).all(is)
}

/// Until all that run hold each other for alive, nobody for dead for that.
pub fn until_whole(all: &Cluster, seconds: u64, never: impl Fn(&str, &str, &str) -> bool) -> Duration {
    let names = names(all, |_| true);
    until(all, seconds, never, |it| hold(it, |_| true, &names, "alive"))
}

/// Until all hold each other for alive, and nobody has changed its mind for some seconds.
pub fn until_at_rest(all: &Cluster, seconds: u64, never: impl Fn(&str, &str, &str) -> bool) {
    let began = Instant::now();
    loop {
        until_whole(all, seconds, &never);
        let before = changes(all);
        during(all, Duration::from_secs(3), &never);
        if changes(all) == before {
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(seconds), "somebody swings{}", all.told());
    }
}

/// Of those whose number is so.
pub fn names(all: &Cluster, so: impl Fn(usize) -> bool) -> Vec<String> {
    let named = all.nodes.iter().enumerate().filter(|it| so(it.0) && it.1.runs());
    named.map(|it| it.1.name.clone()).collect()
}

/// Lines with that in all logs, those of former lives too.
pub fn lines(all: &Cluster, what: &str) -> usize {
    all.nodes.iter().map(|it| it.log().matches(what).count()).sum()
}

/// Changes of anybody's mind about anybody so far.
pub fn changes(all: &Cluster) -> usize {
    lines(all, " believed ")
}

/// The most that one changed its mind about one other, since the logs were so long.
pub fn most_changes(all: &Cluster, since: &[usize]) -> usize {
    let of = |node: &Node, from: usize, name: &str| {
        node.log()[from..].lines().filter(|it| it.contains(" believed ") && it.contains(name)).count()
    };
    let named = |it: &Node| format!("name=\"{}\"", it.name);
    let each = all.nodes.iter().zip(since);
    let counts = each.flat_map(|(node, from)| all.nodes.iter().map(move |it| of(node, *from, &named(it))));
    counts.max().unwrap_or(0)
}

pub fn lengths(all: &Cluster) -> Vec<usize> {
    all.nodes.iter().map(|it| it.log().len()).collect()
}

/// All met, and none has an HTTP address that a member could be told: an IPv4 address written as IPv6 is none.
pub fn without_second_way(count: usize, period: u64) -> Cluster {
    let edit = |_: usize, text: String| {
        let told = text.lines().find(|it| it.starts_with("listen = ")).unwrap();
        let at: SocketAddr = told.trim_start_matches("listen = ").parse().unwrap();
        text.replacen(told, &format!("listen = [::ffff:{}]:{}", at.ip(), at.port()), 1)
    };
    let mut all = Cluster::edited(count, period, |ix| ("east".into(), format!("m-{ix}")), edit);
    all.nodes.iter_mut().for_each(Node::start);
    all.all_alive(20);
    assert_eq!(all.sum("ottersail_member_doors"), 0.0, "{}", all.told());
    all
}
