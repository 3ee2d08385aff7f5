//! `[members]`: the other managers that this one knows as members of its cluster. Off unless told.

use super::ini_file::{IniFile, Section};
use ottersail::time::Ms;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Where a manager is found by the others, and by what it knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    pub name: String,
    pub cluster: String,
    /// Where datagrams are taken.
    pub listen: SocketAddrV4,
    /// Where the others send them.
    pub advertise: SocketAddrV4,
    pub seeds: Vec<SocketAddrV4>,
    pub keys: PathBuf,
    pub period: Ms,
}

/// Names go over the wire and into logs: short, and of letters that need no care there.
pub(super) const LONGEST_NAME: usize = 32;
pub(super) const LETTERS: &str = "a-z, 0-9 and -";
/// Seeds are asked one after the other until one answers; more would tell nothing new.
const MOST_SEEDS: usize = 32;
const ADDRESS: &str = "an IPv4 address like 10.0.0.1:7946";

pub(super) fn members(ini: &IniFile, folder: &Path, number: u64) -> Option<Members> {
    let it = ini.optional_section("members")?;
    let own = format!("manager-{number}");
    let name = if it.get("name").is_some() { named(&it, "name") } else { own };
    let cluster = named(&it, "cluster");
    let listen = address(&it, "listen", &it.text("listen"));
    let advertise = match it.get("advertise") {
        Some(text) => address(&it, "advertise", text),
        None => listen,
    };
    // Members who are told this address could not answer to it.
    if advertise.is_some_and(|it| it.ip().is_unspecified() || it.port() == 0) {
        let key = if it.get("advertise").is_some() { "advertise" } else { "listen" };
        let rule = "must be one that the others can reach; write advertise = IP:PORT beside listen";
        it.add_problem(key, rule);
    }
    let texts = it.get("seeds").unwrap_or("").split(',').map(str::trim).filter(|it| !it.is_empty());
    let seeds: Vec<SocketAddrV4> = texts.filter_map(|text| address(&it, "seeds", text)).collect();
    if seeds.len() > MOST_SEEDS {
        it.add_problem("seeds", format!("must be {MOST_SEEDS} at most, {} are there", seeds.len()));
    }
    Some(Members {
        name,
        cluster,
        listen: listen?,
        advertise: advertise?,
        seeds,
        keys: folder.join(it.text("keys")),
        period: Ms(it.number_or("period-ms", 50.0..=60_000.0, 1_000.0)),
    })
}

/// Of those letters, and not too long.
pub(super) fn short(text: &str) -> bool {
    let plain = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || it == '-';
    text.len() <= LONGEST_NAME && text.chars().all(plain)
}

fn named(it: &Section, key: &str) -> String {
    let text = it.text(key);
    // That it is missing has been told.
    if !short(&text) {
        it.add_problem(key, format!("expected up to {LONGEST_NAME} of {LETTERS}, read {text:?}"));
    }
    text
}

fn address(it: &Section, key: &str, text: &str) -> Option<SocketAddrV4> {
    let read = text.parse().ok();
    if read.is_none() && !text.is_empty() {
        it.add_problem(key, format!("expected {ADDRESS}, read {text:?}"));
    }
    read
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::error::SettingsError;
    use test_case::test_case;

    const FILE: &str = "[members]\ncluster = east\nlisten = 127.0.0.1:7946\nkeys = m\n";

    fn read(text: &str) -> (Option<Members>, Result<(), SettingsError>) {
        let ini = IniFile::read("m.ini", text);
        (members(&ini, Path::new("folder"), 7), ini.end())
    }

    #[test]
    fn off_unless_told() {
        let (it, end) = read("");
        assert!(it.is_none() && end.is_ok());
    }

    #[test]
    fn what_is_not_said_is_taken_from_what_is() {
        let (it, end) = read(FILE);
        end.unwrap();
        let it = it.unwrap();
        assert_eq!((it.name.as_str(), it.cluster.as_str(), it.period), ("manager-7", "east", Ms(1_000.0)));
        assert_eq!((it.advertise, it.seeds.len()), (it.listen, 0));
        assert_eq!(it.keys, Path::new("folder/m"));
    }

    #[test]
    fn all_of_it_is_read() {
        let more = "name = a-1\nadvertise = 127.0.0.9:1\nseeds = 127.0.0.2:2, 127.0.0.3:3\nperiod-ms = 200\n";
        let (it, end) = read(&format!("{FILE}{more}"));
        end.unwrap();
        let it = it.unwrap();
        assert_eq!((it.name.as_str(), it.period), ("a-1", Ms(200.0)));
        assert_eq!(it.advertise.to_string(), "127.0.0.9:1");
        assert_eq!(
            it.seeds.iter().map(|it| it.to_string()).collect::<Vec<_>>(),
            ["127.0.0.2:2", "127.0.0.3:3"]
        );
    }

    #[test_case("cluster = east", "cluster = East", "m.ini:2: cluster: expected up to 32"; "a name in capitals")]
    #[test_case("cluster = east\n", "", "[members] lacks cluster"; "no cluster")]
    #[test_case("127.0.0.1:7946", "[::1]:7946", "m.ini:3: listen: expected an IPv4"; "not IPv4")]
    #[test_case("127.0.0.1:7946", "0.0.0.0:7946", "m.ini:3: listen: must be one"; "nobody's address")]
    #[test_case("keys = m", "keys = m\nadvertise = 127.0.0.1:0", "m.ini:5: advertise: must be one"; "no port")]
    #[test_case("keys = m", "keys = m\nseeds = 127.0.0.1:1, x", "m.ini:5: seeds: expected"; "a seed that is none")]
    #[test_case("keys = m", "keys = m\nperiod-ms = 5", "period-ms: expected a number from 50"; "too quick")]
    #[test_case("keys = m", "keys = m\nseed = x", "seed is not known in [members]; did you mean seeds?"; "a key")]
    #[test_case("[members]", "[member]", "[member] is not known here; did you mean [members]?"; "a heading")]
    fn what_is_wrong_is_told_with_its_line(was: &str, becomes: &str, expected: &str) {
        let told = read(&FILE.replace(was, becomes)).1.unwrap_err().to_string();
        assert!(told.contains(expected), "{told}");
    }
}
