//! `[releases]`: whether this manager exits for releases when the fleet permits it, and whether it reads the
//! orders' file. Optional.

use super::council::Council;
use super::ini_file::IniFile;
use super::members::Members;
use super::values::NAME_DESCRIPTION;
use ottersail::time::Ms;
use ottersail_rollout::Name;
use std::path::{Path, PathBuf};

/// A manager's settings for releases.
#[derive(Clone, Debug, PartialEq)]
pub struct Releases {
    /// The orders' file, for the one manager of the fleet that reads it.
    pub orders: Option<PathBuf>,
    /// The name that orders use for this program with these settings.
    pub version: Name,
    /// The file that the version to start next is written to before the process exits, for its supervisor.
    pub next: PathBuf,
    /// How long viewings may play on before the process exits.
    pub play_out: Ms,
}

/// An hour in milliseconds.
const HOUR_MS: f64 = 3.6e6;

/// Reads `[releases]`. `None` if the section is missing, or if it is invalid or has no council; then a problem is
/// added.
pub(super) fn releases(
    ini: &IniFile,
    folder: &Path,
    members: Option<&Members>,
    council: Option<&Council>,
) -> Option<Releases> {
    let section = ini.optional_section("releases")?;
    let version_text = section.get("version").unwrap_or(env!("CARGO_PKG_VERSION"));
    let version = Name::new(version_text);
    if version.is_none() {
        section.add_problem("version", format!("expected {NAME_DESCRIPTION}, read {version_text:?}"));
    }
    let file = |key: &str| section.get(key).filter(|path| !path.is_empty()).map(|path| folder.join(path));
    let (orders, next) = (file("orders"), folder.join(section.text("next")));
    // `next` is overwritten, so it must not be the orders' file, the keys or the store.
    let keys = members.map(|members| ("[members] keys", &members.keys));
    let store = council.and_then(|council| council.store.as_ref()).map(|path| ("[council] store", path));
    let others = orders.as_ref().map(|path| ("orders", path)).into_iter().chain(keys).chain(store);
    for (other, _) in others.filter(|(_, path)| **path == next) {
        section.add_problem("next", format!("must be a file of its own, and is that of {other} too"));
    }
    let play_out = Ms(section.number_or("play-out-ms", 0.0..=HOUR_MS, 0.0));
    // A section that is there and invalid has problems of its own.
    let is_missing = |name: &&&str| ini.optional_section(name).is_none();
    if let Some(missing) = ["members", "council"].iter().find(is_missing) {
        let message = format!("[releases] needs [{missing}]; write that section too, or take this one out");
        ini.add_problem(section.heading_line(), message);
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
        (releases(&ini, folder, members.as_ref(), council.as_ref()), ini.finish())
    }

    #[test]
    fn without_the_section_there_are_no_releases() {
        let (section, result) = read(FILE.strip_prefix("[releases]\nnext = n\n").unwrap());
        assert!(section.is_none() && result.is_ok(), "{result:?}");
    }

    #[test]
    fn missing_keys_have_defaults_and_others_are_read() {
        let (section, result) = read(FILE);
        result.unwrap();
        let section = section.unwrap();
        assert_eq!(
            (section.version.as_str(), section.play_out, section.orders),
            (env!("CARGO_PKG_VERSION"), Ms(0.0), None)
        );
        assert_eq!(section.next, Path::new("folder/n"));
        let more = "next = n\norders = o.ini\nversion = 2.0-b\nplay-out-ms = 1500";
        let (section, result) = read(&FILE.replace("next = n", more));
        result.unwrap();
        let section = section.unwrap();
        assert_eq!((section.version.as_str(), section.play_out), ("2.0-b", Ms(1_500.0)));
        assert_eq!(section.orders.as_deref(), Some(Path::new("folder/o.ini")));
    }

    #[test_case("next = n\n", "", "1: [releases] lacks next; expected a text"; "a missing next")]
    #[test_case("next = n", "next = k", "2: next: must be a file of its own, and is that of [m"; "next is the keys file")]
    #[test_case("next = n", "next = s", "2: next: must be a file of its own, and is that of"; "next is the store")]
    #[test_case("next = n", "next = n\norders = n", "2: next: must be a file of its own, and is"; "next is the orders file")]
    #[test_case("next = n", "next = n\nversion = 2 0", "3: version: expected 1 to 32 of a-z"; "an invalid version")]
    #[test_case("next = n", "next = n\nplay-out-ms = -1", "3: play-out-ms: expected a numb"; "a negative time")]
    #[test_case("next", "nxt", "2: nxt is not known in [releases]; did you mean next?"; "an unknown key")]
    #[test_case("[releases]", "[release]", "1: [release] is not known here; did you mean [rel"; "an unknown heading")]
    #[test_case("[council]", "[x]", "1: [releases] needs [council]; write that section"; "no council")]
    #[test_case("[members]", "[x]", "1: [releases] needs [members]; write that section"; "no members")]
    fn problems_are_reported_with_their_line(original: &str, replacement: &str, expected: &str) {
        let error = read(&FILE.replace(original, replacement)).1.unwrap_err().to_string();
        assert!(error.lines().any(|line| line.starts_with(&format!("m.ini:{expected}"))), "{error}");
    }

    #[test]
    fn an_invalid_council_is_the_only_problem() {
        let (section, result) = read(&FILE.replace("manager-0, b, c", "manager-0, b"));
        let error = result.unwrap_err().to_string();
        assert!(section.is_some() && error.lines().count() == 1 && error.contains("councillors:"), "{error}");
    }

    #[test]
    fn an_order_in_a_managers_file_is_referred_to_an_orders_file() {
        let error = parse_manager(Path::new("m.ini"), "[release a]\nserial = 1\n").unwrap_err().to_string();
        assert!(
            error.contains("m.ini:1: [release a] is not known here; it belongs in an orders' file"),
            "{error}"
        );
    }
}
