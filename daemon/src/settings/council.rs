//! `[council]`: which members keep what all agree on, and how the whole is cut into slots. Off unless told.

use super::ini_file::IniFile;
use super::members::{short, Members, LETTERS, LONGEST_NAME};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The same in every member's file, but for `store`.
#[derive(Clone, Debug, PartialEq)]
pub struct Council {
    /// Names of members.
    pub councillors: Vec<String>,
    /// The file of a councillor; none with the others.
    pub store: Option<PathBuf>,
    /// Slots that the whole is cut into; the first to be founded stays.
    pub slots: u16,
    pub lease_ms: u32,
    pub drift_ppm: u32,
}

/// With 1, 2 or 3 of them lost the others are a majority yet.
const COUNTS: [usize; 3] = [3, 5, 7];

/// `None` if there is no such section, or if it can't be followed: then a problem says cause.
pub(super) fn council(ini: &IniFile, folder: &Path, members: Option<&Members>) -> Option<Council> {
    let it = ini.optional_section("council")?;
    let text = it.text("councillors");
    let councillors: Vec<String> =
        text.split(',').map(str::trim).filter(|it| !it.is_empty()).map(str::to_string).collect();
    let different: BTreeSet<&String> = councillors.iter().collect();
    if let Some(odd) = councillors.iter().find(|it| !short(it)) {
        let rule = format!("expected names of up to {LONGEST_NAME} of {LETTERS}, read {odd:?}");
        it.add_problem("councillors", rule);
    } else if !COUNTS.contains(&councillors.len()) || different.len() < councillors.len() {
        let rule = format!("expected 3, 5 or 7 different names, read {text:?}");
        it.add_problem("councillors", rule);
    }
    let store = it.get("store").filter(|it| !it.is_empty()).map(|it| folder.join(it));
    let council = Council {
        slots: it.whole_or("slots", 32..=512, 64) as u16,
        lease_ms: it.whole_or("lease-ms", 500..=600_000, 10_000) as u32,
        drift_ppm: it.whole_or("drift-ppm", 0..=100_000, 1_000) as u32,
        councillors,
        store,
    };
    let Some(members) = members else {
        // One that is there and wrong has its own problems.
        if ini.optional_section("members").is_some() {
            return None;
        }
        let rule = "[council] needs [members]; write that section too, or take this one out";
        it.add_problem("councillors", rule);
        return None;
    };
    match (council.councillors.contains(&members.name), &council.store) {
        (true, None) => {
            it.add_problem("store", "a councillor needs store = FILE for what it promises to the others")
        }
        (false, Some(_)) => {
            let rule = format!("{} is no councillor and keeps nothing; take store out", members.name);
            it.add_problem("store", rule);
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

    fn read(text: &str, me: Option<&str>) -> (Option<Council>, Result<(), SettingsError>) {
        let ini = IniFile::read("m.ini", text);
        let members = me.map(member);
        (council(&ini, Path::new("folder"), members.as_ref()), ini.end())
    }

    #[test]
    fn off_unless_told() {
        let (it, end) = read("", Some("m-0"));
        assert!(it.is_none() && end.is_ok());
    }

    #[test]
    fn what_is_not_said_is_filled_in_and_what_is_said_is_read() {
        let (it, end) = read(FILE, Some("m-1"));
        end.unwrap();
        let it = it.unwrap();
        assert_eq!((it.slots, it.lease_ms, it.drift_ppm), (64, 10_000, 1_000));
        assert_eq!(it.store.as_deref(), Some(Path::new("folder/c")));
        let more = "[council]\ncouncillors = a,b,c,d,e\nslots = 32\nlease-ms = 2000\ndrift-ppm = 5\n";
        let (it, end) = read(more, Some("m-1"));
        end.unwrap();
        let it = it.unwrap();
        assert_eq!((it.slots, it.lease_ms, it.drift_ppm, it.store), (32, 2_000, 5, None));
        assert_eq!(it.councillors, ["a", "b", "c", "d", "e"]);
    }

    #[test_case("m-0, m-1, m-2", "m-0, m-1", "m.ini:2: councillors: expected 3, 5 or 7"; "an even count")]
    #[test_case("m-0, m-1, m-2", "m-0, m-1, m-1", "m.ini:2: councillors: expected 3, 5"; "one twice")]
    #[test_case("m-0, m-1, m-2", "m-0, M, m-2", "m.ini:2: councillors: expected names"; "not a name")]
    #[test_case("store = c\n", "", "store: a councillor needs store = FILE"; "nowhere to keep it")]
    #[test_case("m-0, m-1, m-2", "a, b, c", "m.ini:3: store: m-0 is no councillor"; "nothing to keep")]
    #[test_case("store = c", "store = c\nslots = 9", "slots: expected a whole number from 32"; "few slots")]
    #[test_case("store", "stor", "stor is not known in [council]; did you mean store?"; "a key")]
    #[test_case("[council]", "[counsil]", "did you mean [council]?"; "a heading")]
    fn what_is_wrong_is_told_with_its_line(was: &str, becomes: &str, expected: &str) {
        let told = read(&FILE.replace(was, becomes), Some("m-0")).1.unwrap_err().to_string();
        assert!(told.contains(expected), "{told}");
    }

    #[test]
    fn without_members_there_is_no_council() {
        let told = read(FILE, None).1.unwrap_err().to_string();
        assert!(told.contains("m.ini:2: councillors: [council] needs [members]"), "{told}");
    }
}
