//! A manager's settings.

use super::sheet::{Section, Sheet};
use ottersail::ids::{Kind, ManagerIx, Rung};
use ottersail::terms::{Budget, ColdPace, Group, Package, Repeat, Tenant, Terms};
use ottersail::time::Ms;
use std::path::{Path, PathBuf};

/// All that a manager reads from its file. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Manager {
    pub terms: Terms,
    pub listen: String,
    pub url: String,
    pub keys: PathBuf,
    pub ticket_s: u64,
    pub most_waiting: usize,
    pub most_watches: usize,
    pub connections: usize,
    /// Threads that hold connections; the first owns placement too.
    pub cores: usize,
    pub list: String,
    pub service: String,
    pub list_wait: Ms,
    pub list_retry: Ms,
    pub connect: Ms,
    pub silence: Ms,
    pub send_within: Ms,
    pub linger: Ms,
}

const SPAN: std::ops::RangeInclusive<f64> = 1.0..=3.6e6;

/// Reads a manager's file.
///
/// # Errors
/// Every complaint, each with file and line.
pub fn read_manager(path: &Path, text: &str) -> Result<Manager, Vec<String>> {
    let sheet = Sheet::read(&path.display().to_string(), text);
    let me = sheet.section("manager");
    let list = sheet.section("list");
    let servers = sheet.section("servers");
    let rules = sheet.section("rules");
    let grace = rules.number("drain-grace-ms", SPAN);
    let send_within = servers.number_or("send-within-ms", SPAN, grace / 4.0);
    if send_within >= grace {
        servers.complain("send-within-ms", format!("must be under the drain grace of {grace} ms"));
    }
    let connect = servers.number_or("connect-ms", SPAN, 250.0_f64.min(grace / 4.0));
    if connect + send_within >= grace {
        servers.complain(
            "connect-ms",
            format!("with send-within-ms it must be under the drain grace of {grace} ms"),
        );
    }
    let number = me.whole("number", 0..=1_000_000);
    let managers = me.whole("managers", 1..=1_000_000);
    if number >= managers {
        me.complain("number", format!("counts from 0 and must be under managers, {managers}"));
    }
    let terms = terms(&sheet, (number, managers, &me.text("zone")));
    let folder = path.parent().unwrap_or(Path::new("."));
    let listen = me.address("listen");
    let manager = Manager {
        url: me.get("url").map_or_else(|| format!("http://{listen}"), str::to_string),
        keys: folder.join(me.text("keys")),
        ticket_s: me.whole_or("ticket-s", 10..=86_400, 600),
        most_waiting: me.whole_or("most-waiting", 1..=1_000_000, 2_000) as usize,
        most_watches: me.whole_or("most-watches", 1..=10_000_000, 100_000) as usize,
        connections: me.whole_or("connections", 1..=1_000_000, 8_000) as usize,
        cores: cores(&me),
        list: list.address("address"),
        service: list.text("service"),
        list_wait: Ms(list.number_or("wait-ms", 100.0..=600_000.0, 10_000.0)),
        list_retry: Ms(list.number_or("retry-ms", 10.0..=60_000.0, 300.0)),
        connect: Ms(connect),
        silence: Ms(servers.number_or("silence-ms", 200.0..=120_000.0, 3_000.0)),
        send_within: Ms(send_within),
        linger: Ms(servers.number_or("linger-ms", SPAN, 1_000.0)),
        terms,
        listen,
    };
    if !manager.url.starts_with("http://") && !manager.url.starts_with("https://") {
        me.complain("url", format!("expected http://host:port, read {:?}", manager.url));
    }
    let complaints = sheet.complaints();
    if complaints.is_empty() {
        Ok(manager)
    } else {
        Err(complaints)
    }
}

/// `auto` is as many as the machine has.
fn cores(me: &Section) -> usize {
    match me.get("cores") {
        Some("auto") => std::thread::available_parallelism().map_or(1, usize::from).min(MOST_CORES as usize),
        _ => me.whole_or("cores", 1..=MOST_CORES, 1) as usize,
    }
}

const MOST_CORES: u64 = 64;

/// The terms of a manager, by number, count and zone, from the sections that a day's file has too.
pub fn terms(sheet: &Sheet, (number, managers, zone): (u64, u64, &str)) -> Terms {
    let ladder = sheet.section("ladder");
    let rules = sheet.section("rules");
    let ladder_kb = ladder.numbers("rates-kb", 0.001..=1e9);
    if ladder_kb.windows(2).any(|it| it[0] >= it[1]) {
        ladder.complain("rates-kb", "each rung's rate must be higher than the one before");
    }
    let spans = ["budget-free", "budget-ratio", "budget-span-ms"].map(|it| rules.get(it).is_some());
    let budget = spans.contains(&true).then(|| Budget {
        free: rules.number("budget-free", 0.0..=1e9),
        ratio: rules.number("budget-ratio", 0.0..=1e3),
        span: Ms(rules.number("budget-span-ms", SPAN)),
    });
    let packages: Vec<Package> =
        sheet.sections("package").iter().map(|(name, part)| package(name, part, ladder_kb.len())).collect();
    if packages.is_empty() {
        sheet.complain(0, "no [package NAME]; at least one is needed".into());
    }
    let tenant = |(name, part): &(&str, Section)| Tenant {
        name: (*name).to_string(),
        allowance_per_s: part.number("allowance-per-s", 0.0..=1e9),
    };
    let worth = if ladder.get("worth").is_some() { ladder.numbers("worth", 0.0..=1.0) } else { Vec::new() };
    if !worth.is_empty() && worth.len() != ladder_kb.len() {
        ladder.complain("worth", format!("one figure for each of the {} rungs", ladder_kb.len()));
    }
    let join = ladder.number_or("join", 0.0..=1.0, 1.0);
    for (_, part) in sheet.sections("package").iter().filter(|it| it.1.flag_or("live", false)) {
        if join >= 1.0 {
            part.complain("live", "shares streams, but [ladder] has no join under 1");
        }
    }
    let reports_on_probe = ladder.flag_or("reports-on-probe", false);
    let probes_allowed = rules.flag_or("probes-allowed", false);
    if reports_on_probe && !probes_allowed {
        ladder.complain("reports-on-probe", "needs probes, but [rules] has no probes-allowed = yes");
    }
    let kinds = ladder.pairs("places", 1.0..=1e9);
    Terms {
        me: ManagerIx(number),
        managers: managers as f64,
        zone: zone.into(),
        packages,
        tenants: sheet.sections("tenant").iter().map(tenant).collect(),
        cells: ladder.whole("cells", 1..=1_000_000),
        racks: ladder.whole("racks", 1..=1_000_000),
        link_unit_kb: ladder.number("link-unit-kb", 0.001..=1e12),
        uplink_kb: ladder.number_or("rack-link-kb", 0.0..=1e12, 0.0),
        uplinks_reported: ladder.flag_or("uplinks-reported", true),
        reports_on_probe,
        weights_told: ladder.flag_or("weights-told", true),
        places: kinds.into_iter().map(|(kind, places)| (Kind::from(kind.as_str()), places)).collect(),
        ladder_kb,
        worth,
        join,
        seen_after: Ms(ladder.number("seen-after-ms", SPAN)),
        reports_every: Ms(ladder.number("reports-every-ms", 0.0..=*SPAN.end())),
        change_cost: Ms(ladder.number("change-cost-ms", 0.0..=3.6e6)),
        max_tune_ins: rules.whole("max-tune-ins", 1..=100) as usize,
        max_stay_away: rules.get("max-stay-away-ms").map(|_| Ms(rules.number("max-stay-away-ms", SPAN))),
        must_subscribe: false,
        cross_price: rules.number_or("cross-price", 0.0..=1.0, 0.0),
        cold: ColdPace {
            lasts: Ms(rules.number("cold-ms", 0.0..=3.6e6)),
            start_capacity: rules.number("start-capacity", 0.0..=1.0),
            fall_multiple: rules.number("fall-multiple", 0.1..=1e3),
            fall_window: Ms(rules.number("fall-ms", SPAN)),
        },
        budget,
        tick: Ms(1.0),
    }
}

fn package(name: &str, part: &Section, rungs: usize) -> Package {
    #[derive(Clone, Copy, PartialEq)]
    enum Kind {
        Safe,
        Unsafe,
        Keyed,
    }
    let kind = part.word("repeat", &[("safe", Kind::Safe), ("unsafe", Kind::Unsafe), ("keyed", Kind::Keyed)]);
    let repeat = match kind {
        Kind::Safe => Repeat::Idempotent,
        Kind::Unsafe => Repeat::AtMostOnce,
        Kind::Keyed => Repeat::Deduplicated {
            group: part
                .word("group", &[("all", Group::All), ("zone", Group::SameZone), ("cell", Group::SameCell)]),
            window: Ms(part.number("window-ms", SPAN)),
        },
    };
    let last = rungs.saturating_sub(1) as u64;
    let floor = part.whole_or("floor", 0..=last, 0) as usize;
    let top = part.whole_or("top", 0..=last, last) as usize;
    if floor > top {
        part.complain("floor", format!("must not be above top, {top}"));
    }
    Package {
        name: name.to_string(),
        value: part.number("value", 0.0..=1e9),
        join_target: Ms(part.number("join-target-ms", SPAN)),
        repeat,
        scale: part.number_or("scale", 0.001..=1e3, 1.0),
        floor: Rung(floor),
        top: Rung(top),
        seats: part.whole_or("seats", 0..=1_000_000, 0) as usize,
        live: part.flag_or("live", false),
    }
}

/// What of a manager's file is not in its terms.
pub struct Post<'a> {
    pub listen: &'a str,
    pub list: &'a str,
    pub keys: &'a str,
    pub grace: Ms,
    pub list_wait: Ms,
    pub silence: Ms,
    pub cores: usize,
}

/// Writes a manager's file; [`read_manager`] reads the same terms from it.
pub fn write_manager(terms: &Terms, post: &Post) -> String {
    let yes = |it: bool| if it { "yes" } else { "no" };
    let join = |all: &[f64]| all.iter().map(f64::to_string).collect::<Vec<_>>().join(", ");
    let Post { listen, list, keys, grace, list_wait, silence, cores } = post;
    let places: Vec<String> = terms.places.iter().map(|(kind, places)| format!("{kind}:{places}")).collect();
    let mut text = format!(
        "[manager]\nnumber = {}\nmanagers = {}\nzone = {}\nlisten = {listen}\nkeys = {keys}\n\
         cores = {cores}\n\n\
         [list]\naddress = {list}\nservice = streaming\nwait-ms = {}\n\n[servers]\nsilence-ms = {}\n\n",
        terms.me.0, terms.managers, terms.zone, list_wait.0, silence.0
    );
    text += &format!(
        "[ladder]\nrates-kb = {}\nlink-unit-kb = {}\nrack-link-kb = {}\nuplinks-reported = {}\ncells = {}\n\
         racks = {}\nplaces = {}\nseen-after-ms = {}\nreports-every-ms = {}\nchange-cost-ms = {}\n\
         reports-on-probe = {}\nweights-told = {}\njoin = {}\n",
        join(&terms.ladder_kb),
        terms.link_unit_kb,
        terms.uplink_kb,
        yes(terms.uplinks_reported),
        terms.cells,
        terms.racks,
        places.join(", "),
        terms.seen_after.0,
        terms.reports_every.0,
        terms.change_cost.0,
        yes(terms.reports_on_probe),
        yes(terms.weights_told),
        terms.join
    );
    if !terms.worth.is_empty() {
        text += &format!("worth = {}\n", join(&terms.worth));
    }
    text += &format!(
        "\n[rules]\nprobes-allowed = {}\ndrain-grace-ms = {}\ncold-ms = {}\nstart-capacity = {}\nfall-multiple = {}\nfall-ms = {}\n\
         max-tune-ins = {}\ncross-price = {}\n",
        yes(terms.reports_on_probe),
        grace.0,
        terms.cold.lasts.0,
        terms.cold.start_capacity,
        terms.cold.fall_multiple,
        terms.cold.fall_window.0,
        terms.max_tune_ins,
        terms.cross_price
    );
    if let Some(most) = terms.max_stay_away {
        text += &format!("max-stay-away-ms = {}\n", most.0);
    }
    if let Some(budget) = terms.budget {
        let Budget { free, ratio, span } = budget;
        text += &format!("budget-free = {free}\nbudget-ratio = {ratio}\nbudget-span-ms = {}\n", span.0);
    }
    for it in &terms.packages {
        text +=
            &format!(
            "\n[package {}]\nvalue = {}\njoin-target-ms = {}\nscale = {}\nfloor = {}\ntop = {}\nseats = {}\n\
             live = {}\n",
            it.name, it.value, it.join_target.0, it.scale, it.floor.0, it.top.0, it.seats,
            yes(it.live)
        );
        text += &match it.repeat {
            Repeat::Idempotent => "repeat = safe\n".to_string(),
            Repeat::AtMostOnce => "repeat = unsafe\n".to_string(),
            Repeat::Deduplicated { group, window } => {
                let group = match group {
                    Group::All => "all",
                    Group::SameZone => "zone",
                    Group::SameCell => "cell",
                };
                format!("repeat = keyed\ngroup = {group}\nwindow-ms = {}\n", window.0)
            }
        };
    }
    for it in &terms.tenants {
        text += &format!("\n[tenant {}]\nallowance-per-s = {}\n", it.name, it.allowance_per_s);
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const FILE: &str = "[manager]\nnumber = 1\nmanagers = 3\nzone = a\nlisten = 127.0.0.1:8080\nkeys = k\n\
        [list]\naddress = 127.0.0.1:8500\nservice = streaming\nwait-ms = 2000\n[servers]\nsilence-ms = 3000\n\
        [ladder]\nrates-kb = 100, 200, 400\nlink-unit-kb = 3000\nrack-link-kb = 9000\nuplinks-reported = yes\n\
        cells = 12\nracks = 2\nplaces = small:20, large:40\nseen-after-ms = 900\nreports-every-ms = 3000\n\
        change-cost-ms = 600\n[rules]\ndrain-grace-ms = 1000\ncold-ms = 8000\nstart-capacity = 0.3\n\
        fall-multiple = 3\nfall-ms = 2000\nmax-tune-ins = 3\nmax-stay-away-ms = 500\nbudget-free = 5\n\
        budget-ratio = 0.2\nbudget-span-ms = 10000\n[package clips]\nvalue = 1\njoin-target-ms = 800\n\
        repeat = safe\nfloor = 1\n[package rides]\nvalue = 3\njoin-target-ms = 1000\nrepeat = keyed\n\
        group = zone\nwindow-ms = 5000\nseats = 4\n[tenant coop]\nallowance-per-s = 2.5\n";

    fn read(text: &str) -> Result<Manager, Vec<String>> {
        read_manager(Path::new("m.ini"), text)
    }

    const NEW: &str =
        "cells = 12\nworth = 0.2, 0.6, 1\njoin = 0.3\nreports-on-probe = yes\nweights-told = no";

    #[test]
    fn what_is_not_said_leaves_the_shape_of_before() {
        let it = read(FILE).unwrap().terms;
        assert!(!it.reports_on_probe && it.weights_told && it.worth.is_empty() && it.join == 1.0);
        assert!(it.packages.iter().all(|it| !it.live));
    }

    #[test]
    fn no_notes_at_all_can_be_said() {
        let it = read(&FILE.replace("reports-every-ms = 3000", "reports-every-ms = 0")).unwrap();
        assert_eq!(it.terms.reports_every, Ms(0.0));
    }

    #[test_case(FILE.to_string(); "the shape of before")]
    #[test_case(FILE.replace("cells = 12", NEW).replace("[rules]", "[rules]\nprobes-allowed = yes")
        .replace("seats = 4", "seats = 4\nlive = yes"); "probes and shared streams")]
    fn what_is_written_is_read_again(text: String) {
        let first = read(&text).unwrap();
        let post = Post {
            listen: "127.0.0.1:8080",
            list: "127.0.0.1:8500",
            keys: "k",
            grace: Ms(1000.0),
            list_wait: Ms(2000.0),
            silence: Ms(3000.0),
            cores: 1,
        };
        let again = read(&write_manager(&first.terms, &post)).unwrap();
        assert_eq!(format!("{first:?}"), format!("{again:?}"));
    }

    #[test_case("number = 1", "number = 3", "m.ini:2: number: counts from 0"; "a number past the count")]
    #[test_case("floor = 1", "floor = 2\ntop = 1", "floor: must not be above top, 1"; "floor above top")]
    #[test_case("100, 200", "300, 200", "each rung's rate must be higher"; "a ladder that falls")]
    #[test_case("silence-ms = 3000", "send-within-ms = 1000", "must be under the drain grace of 1000 ms"; "sent past the grace")]
    #[test_case("budget-free = 5\n", "", "[rules] lacks budget-free"; "half a budget")]
    #[test_case("repeat = safe", "repeat = often", "expected one of safe, unsafe, keyed"; "an unknown word")]
    #[test_case("listen = 127.0.0.1:8080", "listen = here", "expected an address like"; "no address")]
    #[test_case("zone = a", "zone = a\nzoen = b", "m.ini:5: zoen is not known in [manager]"; "an unknown key")]
    #[test_case("cells = 12", "cells = 12\nreports-on-probe = yes", "needs probes, but [rules] has no probes-allowed"; "probes needed but not allowed")]
    #[test_case("cells = 12", "cells = 12\njoin = 1.5", "m.ini:19: join: expected a number from 0 to 1"; "a share of a stream over one")]
    #[test_case("floor = 1", "floor = 1\nlive = yes", "live: shares streams, but [ladder] has no join under 1"; "live without a share")]
    #[test_case("cells = 12", "cells = 12\nworth = 0.5, 1", "one figure for each of the 3 rungs"; "worth of other rungs")]
    #[test_case("[list]", "[lits]", "[list] is missing"; "a section with another name")]
    fn contradictions_are_told(was: &str, becomes: &str, expected: &str) {
        let told = read(&FILE.replace(was, becomes)).unwrap_err().join("\n");
        assert!(told.contains(expected), "{told}");
    }
}
