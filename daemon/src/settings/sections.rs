//! All sections that settings have, and the module that reads each. A further one gets a module with a
//! function that takes the [`IniFile`](super::ini_file::IniFile), its line here, and its call in `parse_manager` or
//! `parse_day`; one that is off unless told asks with [`optional_section`](super::ini_file::IniFile::optional_section).

/// The files in which a section may stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum In {
    Manager,
    Day,
    Both,
    Orders,
}

/// A section by its heading, the files it may stand in, and the module that reads it. Where NAME follows,
/// there may be several.
pub const SECTIONS: &[(&str, In, &str)] = &[
    ("manager", In::Manager, "manager"),
    ("list", In::Manager, "links"),
    ("servers", In::Manager, "links"),
    ("members", In::Manager, "members"),
    ("council", In::Manager, "council"),
    ("releases", In::Manager, "releases"),
    ("ladder", In::Both, "terms"),
    ("rules", In::Both, "terms"),
    ("package NAME", In::Both, "package"),
    ("tenant NAME", In::Both, "package"),
    ("day", In::Day, "day"),
    ("fleet", In::Day, "day"),
    ("players", In::Day, "day"),
    ("even", In::Day, "day"),
    ("fault NAME", In::Day, "fault"),
    ("release NAME", In::Orders, "orders"),
    ("drain NAME", In::Orders, "orders"),
];

/// What follows the first word of a heading of which there may be several.
pub(super) const NAMED: &str = " NAME";

/// The files in which a section may stand, for one that stands elsewhere.
pub(super) fn files(heading: &str) -> Option<&'static str> {
    let same = |listed: &str| match listed.strip_suffix(NAMED) {
        Some(kind) => heading.split_once(' ').is_some_and(|it| it.0 == kind),
        None => heading == listed,
    };
    let (_, files, _) = SECTIONS.iter().find(|it| same(it.0))?;
    Some(match files {
        In::Manager => "a manager's file",
        In::Day => "a day's file",
        In::Both => "a manager's or a day's file",
        In::Orders => "an orders' file",
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::ini_file::IniFile;
    use crate::settings::write::{write_manager, LocalSettings};
    use crate::settings::{day, manager, orders};
    use ottersail::time::Ms;
    use std::collections::BTreeSet;
    use std::path::Path;

    const DAY: &str = include_str!("../../tests/day.ini");

    fn listed(files: &[In]) -> BTreeSet<String> {
        SECTIONS.iter().filter(|it| files.contains(&it.1)).map(|it| it.0.to_string()).collect()
    }

    /// A section that is read but not listed, or listed and read by nobody, is found here.
    #[test]
    fn the_list_names_all_sections_that_are_read() {
        let ini = IniFile::read("day.ini", DAY);
        let plan = day::plan(&ini).unwrap();
        assert_eq!(ini.asked(), listed(&[In::Day, In::Both]));
        let local = LocalSettings {
            listen: "127.0.0.1:1",
            list: "127.0.0.1:2",
            keys: "k",
            grace: plan.drain_grace,
            list_wait: Ms(2_000.0),
            silence: Ms(3_000.0),
            cores: 1,
            members: None,
            council: None,
            releases: None,
        };
        let ini = IniFile::read("m.ini", &write_manager(&plan.terms, &local));
        manager::manager(&ini, Path::new(".")).unwrap();
        assert_eq!(ini.asked(), listed(&[In::Manager, In::Both]));
        let ini = IniFile::read("o.ini", "");
        orders::orders(&ini);
        assert_eq!(ini.asked(), listed(&[In::Orders]));
    }
}
