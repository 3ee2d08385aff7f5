//! `[releases]`: that this manager goes out for releases when the fleet agrees, and whether it reads the
//! orders' file. Off unless told.

use super::council::Council;
use super::ini_file::IniFile;
use super::members::Members;
use super::values::NAMES;
use ottersail::time::Ms;
use ottersail_rollout::Name;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug, PartialEq)]
pub struct Releases {
    /// The orders' file; only the manager that is given it reads it.
    pub orders: Option<PathBuf>,
    /// This program with these settings, as orders name it.
    pub version: Name,
    /// The version to come back with is written there before the process ends, for whoever starts it again.
    pub next: PathBuf,
    /// So long it lets play what it holds before it ends.
    pub play_out: Ms,
}

const HOUR: f64 = 3.6e6;

/// `None` if there is no such section, or if it can't be followed: then a problem says cause.
pub(super) fn releases(
    ini: &IniFile,
    folder: &Path,
    (members, council): (Option<&Members>, Option<&Council>),
) -> Option<Releases> {
    let it = ini.optional_section("releases")?;
    let told = it.get("version").unwrap_or(env!("CARGO_PKG_VERSION"));
    let version = Name::new(told);
    if version.is_none() {
        it.add_problem("version", format!("expected {NAMES}, read {told:?}"));
    }
    let file = |key: &str| it.get(key).filter(|it| !it.is_empty()).map(|it| folder.join(it));
    let (orders, next) = (file("orders"), folder.join(it.text("next")));
    // It is written over: an orders' file, keys or a store would be gone.
    let keys = members.map(|it| ("[members] keys", &it.keys));
    let store = council.and_then(|it| it.store.as_ref()).map(|it| ("[council] store", it));
    let others = orders.as_ref().map(|it| ("orders", it)).into_iter().chain(keys).chain(store);
    for (other, _) in others.filter(|it| *it.1 == next) {
        it.add_problem("next", format!("must be a file of its own, and is that of {other} too"));
    }
    let play_out = Ms(it.number_or("play-out-ms", 0.0..=HOUR, 0.0));
    // Those that are there and wrong have their own problems.
    let lacks = |it: &&&str| ini.optional_section(it).is_none();
    if let Some(lacking) = ["members", "council"].iter().find(lacks) {
        let rule = format!("[releases] needs [{lacking}]; write that section too, or take this one out");
        ini.add_problem(it.heading(), rule);
    }
    Some(Releases { orders, version: version?, next, play_out }).filter(|_| council.is_some())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::error::SettingsError;
    use crate::settings::manager::parse_manager;
    use test_case::test_case;

    const FILE: &str = "[releases]\nnext = n\n[members]\ncluster = c\nlisten = 127.0.0.1:1\nkeys = k\n\
        [council]\ncouncillors = manager-0, b, c\nstore = s\n";

    fn read(text: &str) -> (Option<Releases>, Result<(), SettingsError>) {
        let (ini, folder) = (IniFile::read("m.ini", text), Path::new("folder"));
        let members = crate::settings::members::members(&ini, folder, 0);
        let council = crate::settings::council::council(&ini, folder, members.as_ref());
        (releases(&ini, folder, (members.as_ref(), council.as_ref())), ini.end())
    }

    #[test]
    fn off_unless_told() {
        let (it, end) = read(FILE.strip_prefix("[releases]\nnext = n\n").unwrap());
        assert!(it.is_none() && end.is_ok(), "{end:?}");
    }

    #[test]
    fn what_is_not_said_is_filled_in_and_what_is_said_is_read() {
        let (it, end) = read(FILE);
        end.unwrap();
        let it = it.unwrap();
        assert_eq!((it.version.as_str(), it.play_out, it.orders), (env!("CARGO_PKG_VERSION"), Ms(0.0), None));
        assert_eq!(it.next, Path::new("folder/n"));
        let more = "next = n\norders = o.ini\nversion = 2.0-b\nplay-out-ms = 1500";
        let (it, end) = read(&FILE.replace("next = n", more));
        end.unwrap();
        let it = it.unwrap();
        assert_eq!((it.version.as_str(), it.play_out), ("2.0-b", Ms(1_500.0)));
        assert_eq!(it.orders.as_deref(), Some(Path::new("folder/o.ini")));
    }

    #[test_case("next = n\n", "", "1: [releases] lacks next; expected a text"; "nowhere to write")]
    #[test_case("next = n", "next = k", "2: next: must be a file of its own, and is that of [m"; "over keys")]
    #[test_case("next = n", "next = s", "2: next: must be a file of its own, and is that of"; "over a store")]
    #[test_case("next = n", "next = n\norders = n", "2: next: must be a file of its own, and is"; "over orders")]
    #[test_case("next = n", "next = n\nversion = 2 0", "3: version: expected 1 to 32 of a-z"; "no version")]
    #[test_case("next = n", "next = n\nplay-out-ms = -1", "3: play-out-ms: expected a numb"; "under nothing")]
    #[test_case("next", "nxt", "2: nxt is not known in [releases]; did you mean next?"; "a key")]
    #[test_case("[releases]", "[release]", "1: [release] is not known here; did you mean [rel"; "a heading")]
    #[test_case("[council]", "[x]", "1: [releases] needs [council]; write that section"; "no council")]
    #[test_case("[members]", "[x]", "1: [releases] needs [members]; write that section"; "no members")]
    fn what_is_wrong_is_told_with_its_line(was: &str, becomes: &str, expected: &str) {
        let told = read(&FILE.replace(was, becomes)).1.unwrap_err().to_string();
        assert!(told.lines().any(|it| it.starts_with(&format!("m.ini:{expected}"))), "{told}");
    }

    #[test]
    fn a_council_that_is_wrong_is_told_alone() {
        let (it, end) = read(&FILE.replace("manager-0, b, c", "manager-0, b"));
        let told = end.unwrap_err().to_string();
        assert!(it.is_some() && told.lines().count() == 1 && told.contains("councillors:"), "{told}");
    }

    #[test]
    fn an_order_in_a_managers_file_is_sent_to_its_own() {
        let told = parse_manager(Path::new("m.ini"), "[release a]\nserial = 1\n").unwrap_err().to_string();
        assert!(
            told.contains("m.ini:1: [release a] is not known here; it belongs in an orders' file"),
            "{told}"
        );
    }
}
