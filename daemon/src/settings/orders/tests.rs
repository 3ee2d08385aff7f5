//! Orders' files that are complete, short, empty and invalid.

use super::*;
use std::collections::BTreeMap;
use test_case::test_case;

const FULL: &str =
    "; a comment\n[release spring]\nserial = 12\nwho = zone east\nversion = 2.0\nbefore = 1.9\n\
    steps = one, 5, 5%, 25%, all\nsettle-ms = 30000\nuse-ms = 5000\nfleet = 40\nmost-out = 3\n\
    zones = east 20 2, west 20 2\nhalt-by = order\nalarms = 0.5%\npoints = 3\nstate = back\n\
    strike = m-9, m-7\n[drain racks]\nserial = 4\nwho = part 12.5%\nsteps = all\n\
    settle-ms = 60000\nfleet = 90\nmost-out = 5\nleast-holders = 2\nheadroom = 7.5%\nstate = halt\n";

fn read(text: &str) -> Result<Orders, SettingsError> {
    parse_orders(Path::new("o.ini"), text)
}

fn order_name(text: &str) -> Name {
    Name::new(text).unwrap()
}

#[test]
fn all_keys_are_read() {
    let Orders { release, drain } = read(FULL).unwrap();
    let zones = BTreeMap::from([(order_name("east"), (20, 2)), (order_name("west"), (20, 2))]);
    let steps =
        [Step::Count(1), Step::Count(5), Step::PerMille(50), Step::PerMille(250), Step::PerMille(1_000)];
    let expected = Order {
        serial: Serial(12),
        name: order_name("spring"),
        scope: Scope::Zone(order_name("east")),
        version: order_name("2.0"),
        previous_version: order_name("1.9"),
        steps: steps.to_vec(),
        settle_ms: 30_000,
        use_ms: 5_000,
        bounds: Bounds { fleet: 40, most_out: 3, zones, least_holders: 0, headroom: 0 },
        halt_policy: HaltPolicy { by_evidence: false, alarms: 50, points: 3 },
        state: State::Back,
        struck: vec![order_name("m-7"), order_name("m-9")],
    };
    assert_eq!(release, Some(expected));
    let drain = drain.unwrap();
    assert_eq!((drain.scope, drain.state), (Scope::PerMille(125), State::Halt));
    assert_eq!((drain.bounds.least_holders, drain.bounds.headroom), (2, 75));
}

#[test]
fn missing_keys_have_defaults() {
    let release = "[release a]\nserial = 1\nwho = name b, a\nversion = 2\nbefore = 1\nsteps = all\n\
        settle-ms = 100\nfleet = 2\nmost-out = 1\nstate = go\n";
    let Orders { release, drain } = read(release).unwrap();
    let release = release.unwrap();
    assert_eq!(
        (drain, release.use_ms, release.bounds.zones.len(), release.struck.len()),
        (None, 10_000, 0, 0)
    );
    assert_eq!(release.halt_policy, HaltPolicy { by_evidence: true, alarms: 100, points: 5 });
    // Names are sorted, so their order in the file does not matter.
    assert_eq!(release.scope, Scope::Named(vec![order_name("a"), order_name("b")]));
    let drain =
        "[drain a]\nserial = 1\nwho = all\nsteps = 1\nsettle-ms = 100\nfleet = 2\nmost-out = 1\nstate = go\n";
    let drain = read(drain).unwrap().drain.unwrap();
    assert_eq!((drain.bounds.least_holders, drain.bounds.headroom), (1, 200));
    assert_eq!(drain.halt_policy, HaltPolicy { by_evidence: false, alarms: 100, points: 5 });
    assert_eq!((drain.version, drain.previous_version), (Name::default(), Name::default()));
}

#[test_case(FULL.to_string(); "unchanged")]
#[test_case(FULL.replace('\n', "\r\n"); "with CRLF line ends")]
#[test_case(format!("\u{feff}{FULL}"); "with a byte order mark")]
#[test_case(FULL.replace("zone east", "name m-1, m-2"); "names")]
fn written_orders_are_read_unchanged(text: String) {
    let first = read(&text).unwrap();
    assert_eq!(read(&write_orders(&first)).unwrap(), first);
    assert!(first.release.is_some() && first.drain.is_some() && is_orders_file(&text));
}

#[test]
fn a_halt_by_evidence_is_not_written() {
    let first = read(&FULL.replace("state = back", "state = go")).unwrap();
    let halted = ottersail_rollout::halted_by_evidence(first.release.as_ref().unwrap());
    assert_eq!(read(&write_orders(&Orders { release: halted, ..first.clone() })).unwrap(), first);
}

#[test_case(""; "empty")]
#[test_case("\r\n\r\n; nothing yet\r\n"; "only a comment")]
fn a_file_without_orders_is_valid(text: &str) {
    assert_eq!(read(text).unwrap(), Orders::default());
    assert!(!is_orders_file(text));
}

#[test_case("serial = 12\n", "", "2: [release spring] lacks serial; expected a whole"; "no serial")]
#[test_case("serial = 12", "serial = 0", "3: serial: expected a whole number from 1 to"; "a serial of zero")]
#[test_case("zone east", "zone east west", "4: who: expected all, zone NAME, name A, B or part"; "two zones")]
#[test_case("zone east", "name", "4: who: expected all, zone NAME"; "an empty list of names")]
#[test_case("zone east", "name a, b, a", "4: who: a is there twice; take one out"; "a name twice")]
#[test_case("zone east", "name a,b,c,d,e,f,g,h,i", "4: who: 9 names; 8 are the most"; "nine names")]
#[test_case("zone east", "part 150%", "4: who: a part of 1500 in a thousand; expected from 1"; "a part over 100 percent")]
#[test_case("zone east", "part 0.01%", "4: who: expected all, zone"; "a part finer than a thousandth")]
#[test_case("version = 2.0", "version = 2 0", "5: version: expected 1 to 32 of a-z"; "an invalid version")]
#[test_case("before = 1.9", "before = 2.0", "6: before: must be another than version"; "a previous version equal to the version")]
#[test_case("before = 1.9\n", "", "2: [release spring] lacks before"; "no previous version")]
#[test_case("one, 5, 5%", "one, 0", "7: steps: expected one, a number, a part like 5%"; "a step of zero")]
#[test_case("one, 5, 5%, 25%, all", "25%, 5%", "7: steps: must grow from step"; "steps that decrease")]
#[test_case("one, 5, 5%, 25%, all", ",", "7: steps: it has no steps; write"; "no steps")]
#[test_case("one, 5, 5%, 25%, all", "1,2,3,4,5,6,7,8,9", "7: steps: it has 9 steps; 8"; "nine steps")]
#[test_case("5%, 25%, all", "500%", "7: steps: a part of 5000 in a thousand; expected"; "a step over 100 percent")]
#[test_case("settle-ms = 30000", "settle-ms = 5", "8: settle-ms: settle-ms of 5; expected"; "too short a settle time")]
#[test_case("use-ms = 5000", "use-ms = 5", "9: use-ms: use-ms of 5; expected from 500"; "too short a use time")]
#[test_case("fleet = 40", "fleet = many", "10: fleet: expected a whole number"; "a fleet that is not a number")]
#[test_case("most-out = 3", "most-out = 0", "11: most-out: most-out of 0 lets nobody go; write 1"; "most out of zero")]
#[test_case("most-out = 3", "most-out = 40", "11: most-out: most-out of 40 is not under"; "most out not below the fleet")]
#[test_case("west 20 2", "west 20", "12: zones: expected zones like east 20 2"; "an incomplete zone")]
#[test_case("west 20 2", "east 20 2", "12: zones: east is there twice; take one out"; "a zone twice")]
#[test_case("west 20 2", "west 19 2", "12: zones: the zones hold 39, the fleet 40"; "zones smaller than the fleet")]
#[test_case("west 20 2", "west 20 21", "12: zones: zone west has 20 and most-out 21"; "a zone bound above the zone")]
#[test_case("halt-by = order", "halt-by = me", "13: halt-by: expected one of evidence, order"; "an unknown halt source")]
#[test_case("alarms = 0.5%", "alarms = 0%", "14: alarms: expected a part from 0.01% to 50%"; "no alarms")]
#[test_case("alarms = 0.5%", "alarms = 1", "14: alarms: expected a part like 5%, in steps of"; "a part without a percent sign")]
#[test_case("points = 3", "points = 0", "15: points: expected a whole number from 1 to 100"; "no points")]
#[test_case("state = back", "state = stopped", "16: state: expected one of go, halt, bac"; "an unknown state")]
#[test_case("state = back\n", "", "2: [release spring] lacks state; expected one of go"; "no state")]
#[test_case("m-9, m-7", "m-9, m 7", "17: strike: expected names of 1 to 32"; "an invalid struck name")]
#[test_case("m-9, m-7", "a,b,c,d,e,f,g,h,i", "17: strike: 9 names are struck; 8"; "nine struck")]
#[test_case("[release spring]", "[release a b]", "2: [release a b]: expected a name of 1"; "a title of two words")]
#[test_case("[release spring]", "[release]", "2: [release] is not known here; did you mean [rel"; "no title")]
#[test_case("[drain racks]", "[drian racks]", "18: [drian racks] is not known here; did you mean"; "a misspelt heading")]
#[test_case("[drain racks]", "[members]", "18: [members] is not known here; it belongs in a"; "a section of a manager's file")]
#[test_case("settle-ms = 6", "setle-ms = 6", "22: setle-ms is not known in [drain racks]; did you"; "an unknown key")]
#[test_case("fleet = 90", "version = 2\nfleet = 90", "23: version is not known in [dra"; "a drain's version")]
#[test_case("points = 3", "headroom = 1%", "15: headroom is not known in [release"; "a release's headroom")]
#[test_case("headroom = 7.5%", "headroom = x", "26: headroom: expected a part like 5%, in steps"; "an invalid headroom")]
#[test_case("[drain racks]", "[release summer]", "18: [release summer] is a second release, bes"; "a second release")]
#[test_case("[drain racks]", "[release spring]", "18: [release spring] is there already, at li"; "a duplicate release")]
fn problems_are_reported_with_their_line(original: &str, replacement: &str, expected: &str) {
    let file = FULL.replace(original, replacement);
    assert_ne!(file, FULL);
    let error = read(&file).unwrap_err().to_string();
    assert!(error.lines().any(|line| line.starts_with(&format!("o.ini:{expected}"))), "{error}");
    // The same problems are reported with CRLF line ends.
    assert_eq!(read(&file.replace('\n', "\r\n")).unwrap_err().to_string(), error);
}

#[test]
fn an_order_that_is_too_long_is_reported_at_its_heading() {
    let zones: Vec<String> = (10..22).map(|number| format!("{number}{} 1 1", "z".repeat(30))).collect();
    let names: Vec<String> = (0..8).map(|number| format!("{number}{}", "y".repeat(31))).collect();
    let file = FULL.replace("east 20 2, west 20 2", &zones.join(", ")).replace("fleet = 40", "fleet = 12");
    let error = read(&file.replace("m-9, m-7", &names.join(", "))).unwrap_err().to_string();
    assert!(error.starts_with("o.ini:2: [release spring]: an order of "), "{error}");
    assert!(error.ends_with("600 are the most, write shorter names or fewer zones"), "{error}");
}

#[test]
fn only_a_regular_file_that_is_not_too_long_is_loaded() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("o.ini");
    let load_error = || load_orders(&file).unwrap_err().to_string();
    assert!(
        load_error().contains("o.ini: No such file") && load_error().contains("name a settings file"),
        "{}",
        load_error()
    );
    std::fs::write(&file, FULL).unwrap();
    assert_eq!(load_orders(&file).unwrap(), read(FULL).unwrap());
    std::fs::write(&file, [b'[', 0xff, b']']).unwrap();
    assert!(load_error().contains("valid UTF-8"), "{}", load_error());
    let fits = format!("{FULL};{}", "x".repeat(MAX_FILE_BYTES as usize - FULL.len() - 1));
    std::fs::write(&file, &fits).unwrap();
    assert_eq!(load_orders(&file).unwrap(), read(FULL).unwrap());
    std::fs::write(&file, fits + "x").unwrap();
    assert!(load_error().contains("o.ini: over 65536 bytes; name an orders' file"), "{}", load_error());
    let folder_error = load_orders(folder.path()).unwrap_err().to_string();
    assert!(folder_error.contains("it is no plain file"), "{folder_error}");
}

/// Guards the example that operators copy.
#[test]
fn the_example_of_the_manual_is_valid() {
    let manual = include_str!("../../../../docs/operating.md");
    let lines = manual.lines().skip_while(|line| !line.starts_with("    [release "));
    let lines = lines.take_while(|line| line.is_empty() || line.starts_with("    "));
    let text: String = lines.map(|line| format!("{}\n", line.trim_start())).collect();
    let Orders { release, drain } = read(&text).unwrap();
    assert!(release.is_some() && drain.is_some(), "{text}");
}
