//! `[council]`: the members that replicate the fleet's agreed state, and the slots that are divided among all
//! members. Optional.

use super::ini_file::IniFile;
use super::members::{is_valid_name, Members, MAX_NAME_LENGTH, NAME_CHARACTERS};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The settings of the council. All but `store` are the same for every member.
#[derive(Clone, Debug, PartialEq)]
pub struct Council {
    /// Names of the members that are councillors.
    pub councillors: Vec<String>,
    /// The file that a councillor stores its state in; `None` for other members.
    pub store: Option<PathBuf>,
    /// Number of slots. The value at the council's founding stays in force.
    pub slots: u16,
    /// Duration of a slot's lease, in milliseconds.
    pub lease_ms: u32,
    /// Bound on the drift between members' clocks, in parts per million.
    pub drift_ppm: u32,
}

/// Allowed numbers of councillors. With these, 1, 2 or 3 of them may fail and the others are a majority.
const COUNCILLOR_COUNTS: [usize; 3] = [3, 5, 7];

/// Reads `[council]`. `None` if the section is missing, or if there are no members; then a problem is added.
pub(super) fn council(ini: &IniFile, folder: &Path, members: Option<&Members>) -> Option<Council> {
    let section = ini.optional_section("council")?;
    let text = section.text("councillors");
    let councillors: Vec<String> =
        text.split(',').map(str::trim).filter(|name| !name.is_empty()).map(str::to_string).collect();
    let distinct: BTreeSet<&String> = councillors.iter().collect();
    if let Some(invalid) = councillors.iter().find(|name| !is_valid_name(name)) {
        let message =
            format!("expected names of up to {MAX_NAME_LENGTH} of {NAME_CHARACTERS}, read {invalid:?}");
        section.add_problem("councillors", message);
    } else if !COUNCILLOR_COUNTS.contains(&councillors.len()) || distinct.len() < councillors.len() {
        let message = format!("expected 3, 5 or 7 different names, read {text:?}");
        section.add_problem("councillors", message);
    }
    let store = section.get("store").filter(|path| !path.is_empty()).map(|path| folder.join(path));
    let council = Council {
        slots: section.whole_or("slots", 32..=512, 64) as u16,
        lease_ms: section.whole_or("lease-ms", 500..=600_000, 10_000) as u32,
        drift_ppm: section.whole_or("drift-ppm", 0..=100_000, 1_000) as u32,
        councillors,
        store,
    };
    let Some(members) = members else {
        // An invalid [members] section has problems of its own.
        if ini.optional_section("members").is_some() {
            return None;
        }
        let message = "[council] needs [members]; write that section too, or take this one out";
        section.add_problem("councillors", message);
        return None;
    };
    match (council.councillors.contains(&members.name), &council.store) {
        (true, None) => {
            section.add_problem("store", "a councillor needs store = FILE for what it promises to the others")
        }
        (false, Some(_)) => {
            let message = format!("{} is no councillor and keeps nothing; take store out", members.name);
            section.add_problem("store", message);
        }
        _ => {}
    }
    Some(council)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::error::SettingsError;
    use std::net::SocketAddrV4;
    use test_case::test_case;

    const FILE: &str = "[council]\ncouncillors = m-0, m-1, m-2\nstore = c\n";

    fn member(name: &str) -> Members {
        let listen = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
        let (cluster, keys, period) = ("east".into(), PathBuf::from("k"), ottersail::time::Ms(1e3));
        Members { name: name.into(), cluster, listen, advertise: listen, seeds: vec![], keys, period }
    }

    fn read(text: &str, member_name: Option<&str>) -> (Option<Council>, Result<(), SettingsError>) {
        let ini = IniFile::read("m.ini", text);
        let members = member_name.map(member);
        (council(&ini, Path::new("folder"), members.as_ref()), ini.finish())
    }

    #[test]
    fn without_the_section_there_is_no_council() {
        let (section, result) = read("", Some("m-0"));
        assert!(section.is_none() && result.is_ok());
    }

    #[test]
    fn missing_keys_have_defaults_and_others_are_read() {
        let (section, result) = read(FILE, Some("m-1"));
        result.unwrap();
        let section = section.unwrap();
        assert_eq!((section.slots, section.lease_ms, section.drift_ppm), (64, 10_000, 1_000));
        assert_eq!(section.store.as_deref(), Some(Path::new("folder/c")));
        let more = "[council]\ncouncillors = a,b,c,d,e\nslots = 32\nlease-ms = 2000\ndrift-ppm = 5\n";
        let (section, result) = read(more, Some("m-1"));
        result.unwrap();
        let section = section.unwrap();
        assert_eq!((section.slots, section.lease_ms, section.drift_ppm, section.store), (32, 2_000, 5, None));
        assert_eq!(section.councillors, ["a", "b", "c", "d", "e"]);
    }

    #[test_case("m-0, m-1, m-2", "m-0, m-1", "m.ini:2: councillors: expected 3, 5 or 7"; "an even count")]
    #[test_case("m-0, m-1, m-2", "m-0, m-1, m-1", "m.ini:2: councillors: expected 3, 5"; "a duplicate name")]
    #[test_case("m-0, m-1, m-2", "m-0, M, m-2", "m.ini:2: councillors: expected names"; "an invalid name")]
    #[test_case("store = c\n", "", "store: a councillor needs store = FILE"; "a councillor without a store")]
    #[test_case("m-0, m-1, m-2", "a, b, c", "m.ini:3: store: m-0 is no councillor"; "a store at another member")]
    #[test_case("store = c", "store = c\nslots = 9", "slots: expected a whole number from 32"; "too few slots")]
    #[test_case("store", "stor", "stor is not known in [council]; did you mean store?"; "an unknown key")]
    #[test_case("[council]", "[counsil]", "did you mean [council]?"; "an unknown heading")]
    fn problems_are_reported_with_their_line(original: &str, replacement: &str, expected: &str) {
        let error = read(&FILE.replace(original, replacement), Some("m-0")).1.unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }

    #[test]
    fn a_council_needs_members() {
        let error = read(FILE, None).1.unwrap_err().to_string();
        assert!(error.contains("m.ini:2: councillors: [council] needs [members]"), "{error}");
    }
}
