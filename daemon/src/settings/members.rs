//! `[members]`: the cluster that this manager is a member of. Optional.

use super::ini_file::{IniFile, Section};
use ottersail::time::Ms;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// A manager's settings as a member of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// The member's name, unique within the cluster.
    pub name: String,
    /// The cluster's name.
    pub cluster: String,
    /// The address that datagrams are received on.
    pub listen: SocketAddrV4,
    /// The address that other members send datagrams to.
    pub advertise: SocketAddrV4,
    /// Members to contact at the start.
    pub seeds: Vec<SocketAddrV4>,
    /// File with the keys that sign datagrams.
    pub keys: PathBuf,
    /// Interval between probes of other members.
    pub period: Ms,
}

/// Longest name, in characters. Names go over the wire and into logs, so they are short and need no escaping.
pub(super) const MAX_NAME_LENGTH: usize = 32;
/// The characters that names may have, for messages.
pub(super) const NAME_CHARACTERS: &str = "a-z, 0-9 and -";
/// Seeds are contacted one after another until one answers, so more of them are of no use.
const MAX_SEEDS: usize = 32;
/// Describes an address, for messages.
const EXPECTED_ADDRESS: &str = "an IPv4 address like 10.0.0.1:7946";

/// Reads `[members]`. `number` is the manager's number. `None` if the section is missing or its addresses are
/// invalid.
pub(super) fn members(ini: &IniFile, folder: &Path, number: u64) -> Option<Members> {
    let section = ini.optional_section("members")?;
    let default_name = format!("manager-{number}");
    let name = if section.get("name").is_some() { name(&section, "name") } else { default_name };
    let cluster = self::name(&section, "cluster");
    let listen = address(&section, "listen", &section.text("listen"));
    let advertise = match section.get("advertise") {
        Some(text) => address(&section, "advertise", text),
        None => listen,
    };
    // Other members could not send datagrams to such an address.
    if advertise.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
        let key = if section.get("advertise").is_some() { "advertise" } else { "listen" };
        let message = "must be one that the others can reach; write advertise = IP:PORT beside listen";
        section.add_problem(key, message);
    }
    let texts = section.get("seeds").unwrap_or("").split(',').map(str::trim).filter(|text| !text.is_empty());
    let seeds: Vec<SocketAddrV4> = texts.filter_map(|text| address(&section, "seeds", text)).collect();
    if seeds.len() > MAX_SEEDS {
        section.add_problem("seeds", format!("must be {MAX_SEEDS} at most, {} are there", seeds.len()));
    }
    Some(Members {
        name,
        cluster,
        listen: listen?,
        advertise: advertise?,
        seeds,
        keys: folder.join(section.text("keys")),
        period: Ms(section.number_or("period-ms", 50.0..=60_000.0, 1_000.0)),
    })
}

/// Whether a name has only `NAME_CHARACTERS` and is not too long.
pub(super) fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    text.len() <= MAX_NAME_LENGTH && text.chars().all(is_allowed)
}

fn name(section: &Section, key: &str) -> String {
    // `text` reports a missing name, and the empty text that it returns then is valid.
    let text = section.text(key);
    if !is_valid_name(&text) {
        section.add_problem(
            key,
            format!("expected up to {MAX_NAME_LENGTH} of {NAME_CHARACTERS}, read {text:?}"),
        );
    }
    text
}

fn address(section: &Section, key: &str, text: &str) -> Option<SocketAddrV4> {
    let address = text.parse().ok();
    if address.is_none() && !text.is_empty() {
        section.add_problem(key, format!("expected {EXPECTED_ADDRESS}, read {text:?}"));
    }
    address
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::error::SettingsError;
    use test_case::test_case;

    const FILE: &str = "[members]\ncluster = east\nlisten = 127.0.0.1:7946\nkeys = m\n";

    fn read(text: &str) -> (Option<Members>, Result<(), SettingsError>) {
        let ini = IniFile::read("m.ini", text);
        (members(&ini, Path::new("folder"), 7), ini.finish())
    }

    #[test]
    fn without_the_section_there_are_no_members() {
        let (section, result) = read("");
        assert!(section.is_none() && result.is_ok());
    }

    #[test]
    fn missing_keys_have_defaults() {
        let (section, result) = read(FILE);
        result.unwrap();
        let section = section.unwrap();
        assert_eq!(
            (section.name.as_str(), section.cluster.as_str(), section.period),
            ("manager-7", "east", Ms(1_000.0))
        );
        assert_eq!((section.advertise, section.seeds.len()), (section.listen, 0));
        assert_eq!(section.keys, Path::new("folder/m"));
    }

    #[test]
    fn all_keys_are_read() {
        let more = "name = a-1\nadvertise = 127.0.0.9:1\nseeds = 127.0.0.2:2, 127.0.0.3:3\nperiod-ms = 200\n";
        let (section, result) = read(&format!("{FILE}{more}"));
        result.unwrap();
        let section = section.unwrap();
        assert_eq!((section.name.as_str(), section.period), ("a-1", Ms(200.0)));
        assert_eq!(section.advertise.to_string(), "127.0.0.9:1");
        assert_eq!(
            section.seeds.iter().map(|seed| seed.to_string()).collect::<Vec<_>>(),
            ["127.0.0.2:2", "127.0.0.3:3"]
        );
    }

    #[test_case("cluster = east", "cluster = East", "m.ini:2: cluster: expected up to 32"; "a name in capitals")]
    #[test_case("cluster = east\n", "", "[members] lacks cluster"; "no cluster")]
    #[test_case("127.0.0.1:7946", "[::1]:7946", "m.ini:3: listen: expected an IPv4"; "not IPv4")]
    #[test_case("127.0.0.1:7946", "0.0.0.0:7946", "m.ini:3: listen: must be one"; "an unspecified address")]
    #[test_case("keys = m", "keys = m\nadvertise = 127.0.0.1:0", "m.ini:5: advertise: must be one"; "no port")]
    #[test_case("keys = m", "keys = m\nseeds = 127.0.0.1:1, x", "m.ini:5: seeds: expected"; "an invalid seed")]
    #[test_case("keys = m", "keys = m\nperiod-ms = 5", "period-ms: expected a number from 50"; "too short a period")]
    #[test_case("keys = m", "keys = m\nseed = x", "seed is not known in [members]; did you mean seeds?"; "an unknown key")]
    #[test_case("[members]", "[member]", "[member] is not known here; did you mean [members]?"; "an unknown heading")]
    fn problems_are_reported_with_their_line(original: &str, replacement: &str, expected: &str) {
        let error = read(&FILE.replace(original, replacement)).1.unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}
