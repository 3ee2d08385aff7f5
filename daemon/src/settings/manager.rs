//! The settings file of a manager, and its section `[manager]`.

use super::council::{council, Council};
use super::error::SettingsError;
use super::ini_file::{IniFile, Section};
use super::links::{links, Links};
use super::members::{is_valid_name, members, Members, MAX_NAME_LENGTH, NAME_CHARACTERS};
use super::releases::{releases, Releases};
use super::terms::{terms, ManagerIdentity};
use ottersail::config::PlacementConfig;
use std::path::{Path, PathBuf};

/// All settings of a manager.
#[derive(Clone, Debug)]
pub struct ManagerSettings {
    /// The configuration of placement.
    pub terms: PlacementConfig,
    /// The address that players connect to, `host:port`.
    pub listen: String,
    /// The URL that players reach this manager by.
    pub url: String,
    /// File with the keys that sign playlist addresses.
    pub keys: PathBuf,
    /// How long a playlist address is valid, in seconds.
    pub ticket_s: u64,
    /// Most requests that wait for an answer.
    pub most_waiting: usize,
    /// Most viewers that watch.
    pub most_watches: usize,
    /// Most connections from players.
    pub connections: usize,
    /// Number of threads that hold connections. The first one is the placement owner too.
    pub cores: usize,
    /// How the manager reaches the discovery service and the servers.
    pub links: Links,
    /// The cluster of managers; `None` if this manager is no member of one.
    pub members: Option<Members>,
    /// The council's settings, only with members.
    pub council: Option<Council>,
    /// The settings for releases, only with members and a council.
    pub releases: Option<Releases>,
}

/// Parses the text of a manager's settings file. `path` is the file's path.
///
/// # Errors
/// All problems of the file.
pub fn parse_manager(path: &Path, text: &str) -> Result<ManagerSettings, SettingsError> {
    let ini = IniFile::read(&path.display().to_string(), text);
    read_manager(&ini, path.parent().unwrap_or(Path::new(".")))
}

/// Reads all sections of a manager's file. Paths in the settings are relative to `folder`.
pub(super) fn read_manager(ini: &IniFile, folder: &Path) -> Result<ManagerSettings, SettingsError> {
    let section = ini.section("manager");
    let number = section.whole("number", 0..=1_000_000);
    let managers = section.whole("managers", 1..=1_000_000);
    if number >= managers {
        section.add_problem("number", format!("counts from 0 and must be under managers, {managers}"));
    }
    let members = members(ini, folder, number);
    let council = council(ini, folder, members.as_ref());
    let releases = releases(ini, folder, members.as_ref(), council.as_ref());
    let zone = section.text("zone");
    if members.is_some() && !is_valid_name(&zone) {
        section.add_problem(
            "zone",
            format!("with [members] expected up to {MAX_NAME_LENGTH} of {NAME_CHARACTERS}, read {zone:?}"),
        );
    }
    let (mut terms, links) = (terms(ini, &ManagerIdentity { number, managers, zone: &zone }), links(ini));
    terms.cold.max_send_delay = links.send_within;
    let listen = section.address("listen");
    let manager = ManagerSettings {
        url: section.get("url").map_or_else(|| format!("http://{listen}"), str::to_string),
        keys: folder.join(section.text("keys")),
        ticket_s: section.whole_or("ticket-s", 10..=86_400, 600),
        most_waiting: section.whole_or("most-waiting", 1..=1_000_000, 2_000) as usize,
        most_watches: section.whole_or("most-watches", 1..=10_000_000, 100_000) as usize,
        connections: section.whole_or("connections", 1..=1_000_000, 8_000) as usize,
        cores: cores(&section),
        links,
        members,
        council,
        releases,
        terms,
        listen,
    };
    if !manager.url.starts_with("http://") && !manager.url.starts_with("https://") {
        section.add_problem("url", format!("expected http://host:port, read {:?}", manager.url));
    }
    ini.finish()?;
    Ok(manager)
}

/// The number of cores; `auto` stands for as many as the machine has.
fn cores(section: &Section) -> usize {
    match section.get("cores") {
        Some("auto") => std::thread::available_parallelism().map_or(1, usize::from).min(MAX_CORES as usize),
        _ => section.whole_or("cores", 1..=MAX_CORES, 1) as usize,
    }
}

/// Most cores that a manager uses.
const MAX_CORES: u64 = 64;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::write::{write_manager, LocalSettings};
    use ottersail::time::Ms;
    use test_case::test_case;

    const FILE: &str = "[manager]\nnumber = 1\nmanagers = 3\nzone = a\nlisten = 127.0.0.1:8080\nkeys = k\n\
        [list]\naddress = 127.0.0.1:8500\nservice = streaming\nwait-ms = 2000\n[servers]\nsilence-ms = 3000\n\
        [ladder]\nrates-kb = 100, 200, 400\nlink-unit-kb = 3000\nrack-link-kb = 9000\n\
        uplinks-reported = yes\ncells = 12\nracks = 2\nplaces = small:20, large:40\nseen-after-ms = 900\n\
        reports-every-ms = 3000\nchange-cost-ms = 600\n[rules]\ndrain-grace-ms = 1000\ncold-ms = 8000\n\
        start-capacity = 0.3\nfall-multiple = 3\nfall-ms = 2000\nmax-tune-ins = 3\nmax-stay-away-ms = 500\n\
        budget-free = 5\nbudget-ratio = 0.2\nbudget-span-ms = 10000\n[package clips]\nvalue = 1\n\
        join-target-ms = 800\nrepeat = safe\nfloor = 1\n[package rides]\nvalue = 3\njoin-target-ms = 1000\n\
        repeat = keyed\ngroup = zone\nwindow-ms = 5000\nseats = 4\n[tenant coop]\nallowance-per-s = 2.5\n";

    fn read(text: &str) -> Result<ManagerSettings, SettingsError> {
        parse_manager(Path::new("m.ini"), text)
    }

    const MEMBERS: &str = "[members]\ncluster = east\nlisten = 127.0.0.1:1\nkeys = m\nseeds = 127.0.0.1:2\n";
    const COUNCIL: &str =
        "[council]\ncouncillors = manager-1, b, c\nstore = s\nslots = 32\nlease-ms = 900\ndrift-ppm = 7\n";
    const RELEASES: &str = "[releases]\norders = o.ini\nversion = 2.0\nnext = n\nplay-out-ms = 50\n";
    const PROBE_TERMS: &str =
        "cells = 12\nworth = 0.2, 0.6, 1\njoin = 0.3\nreports-on-probe = yes\nweights-told = no";

    #[test]
    fn optional_terms_have_defaults() {
        let terms = read(FILE).unwrap().terms;
        assert!(
            !terms.reports_on_probe
                && terms.weights_listed
                && terms.rung_values.is_empty()
                && terms.live_join_share == 1.0
        );
        assert!(terms.packages.iter().all(|package| !package.live));
    }

    #[test]
    fn the_cold_window_includes_the_time_to_send() {
        let text = FILE.replace("silence-ms = 3000", "silence-ms = 3000\nsend-within-ms = 120");
        assert_eq!(read(&text).unwrap().terms.cold.send_window(), Ms(2120.0));
    }

    #[test]
    fn an_interval_of_zero_turns_reports_off() {
        let settings = read(&FILE.replace("reports-every-ms = 3000", "reports-every-ms = 0")).unwrap();
        assert_eq!(settings.terms.report_interval, Ms(0.0));
    }

    #[test_case(FILE.to_string(); "without optional terms")]
    #[test_case(FILE.replace("cells = 12", PROBE_TERMS).replace("[rules]", "[rules]\nprobes-allowed = yes")
        .replace("seats = 4", "seats = 4\nlive = yes"); "probes and shared streams")]
    #[test_case(FILE.to_string() + MEMBERS; "members")]
    #[test_case(FILE.to_string() + MEMBERS + COUNCIL; "a councillor")]
    #[test_case(FILE.to_string() + MEMBERS + COUNCIL + RELEASES; "releases")]
    fn written_settings_are_read_unchanged(text: String) {
        let first = read(&text).unwrap();
        let local = LocalSettings {
            listen: "127.0.0.1:8080",
            list: "127.0.0.1:8500",
            keys: "k",
            grace: Ms(1000.0),
            list_wait: Ms(2000.0),
            silence: Ms(3000.0),
            cores: 1,
            members: first.members.as_ref(),
            council: first.council.as_ref(),
            releases: first.releases.as_ref(),
        };
        let again = read(&write_manager(&first.terms, &local)).unwrap();
        assert_eq!(format!("{first:?}"), format!("{again:?}"));
    }

    #[test_case("number = 1", "number = 3", "m.ini:2: number: counts from 0"; "a number past the count")]
    #[test_case("floor = 1", "floor = 2\ntop = 1", "floor: must not be above top, 1"; "floor above top")]
    #[test_case("100, 200", "300, 200", "each rung's rate must be higher"; "rates that do not increase")]
    #[test_case(
        "silence-ms = 3000", "send-within-ms = 1000", "must be under the drain grace of 1000 ms";
        "a send limit not under the drain grace"
    )]
    #[test_case("budget-free = 5\n", "", "[rules] lacks budget-free"; "an incomplete budget")]
    #[test_case("repeat = safe", "repeat = often", "expected one of safe, unsafe, keyed"; "an unknown word")]
    #[test_case("listen = 127.0.0.1:8080", "listen = here", "expected an address like"; "no address")]
    #[test_case(
        "zone = a", "zone = a\nzoen = b", "m.ini:5: zoen is not known in [manager]";
        "an unknown key"
    )]
    #[test_case(
        "cells = 12", "cells = 12\nreports-on-probe = yes", "needs probes, but [rules] has no probes-allowed";
        "probes needed but not allowed"
    )]
    #[test_case(
        "cells = 12", "cells = 12\njoin = 1.5", "m.ini:19: join: expected a number from 0 to 1";
        "a share of a stream over one"
    )]
    #[test_case(
        "floor = 1", "floor = 1\nlive = yes", "live: shares streams, but [ladder] has no join under 1";
        "live without a share"
    )]
    #[test_case(
        "cells = 12", "cells = 12\nworth = 0.5, 1", "one figure for each of the 3 rungs";
        "a wrong number of rung values"
    )]
    #[test_case(
        "[list]", "[members]\ncluster = c\nlisten = 127.0.0.1:1\nkeys = k\n[manager2]\n[list]",
        "m.ini:11: [manager2] is not known here; did you mean [manager]?";
        "an unknown heading like manager"
    )]
    #[test_case(
        "zone = a", "zone = A\n[members]\ncluster = c\nlisten = 127.0.0.1:1\nkeys = k\n[x]",
        "m.ini:4: zone: with [members] expected up to 32 of a-z, 0-9 and -";
        "an invalid zone name with members"
    )]
    #[test_case("[list]", "[lits]", "[list] is missing"; "a missing section")]
    #[test_case(
        "[list]", "[lits]", "[lits] is not known here; did you mean [list]?";
        "swapped letters in a heading"
    )]
    #[test_case(
        "[package clips]", "[pakage clips]", "did you mean [package clips]?";
        "a missing letter in a heading"
    )]
    #[test_case(
        "[rules]", "[fleet]\n[rules]", "m.ini:24: [fleet] is not known here; it belongs in a day's file";
        "a day's section"
    )]
    #[test_case(
        "wait-ms", "wiat-ms", "m.ini:10: wiat-ms is not known in [list]; did you mean wait-ms?";
        "swapped letters in a key"
    )]
    #[test_case(
        "wait-ms", "colour", "m.ini:10: colour is not known in [list]; take it out";
        "a key without a similar name"
    )]
    fn problems_are_reported(original: &str, replacement: &str, expected: &str) {
        let error = read(&FILE.replace(original, replacement)).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}
