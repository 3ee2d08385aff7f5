//! The sections of all settings files, and the module that reads each. A new section needs a module with a
//! function that takes the [`IniFile`](super::ini_file::IniFile), an entry here, and a call in `parse_manager` or
//! `parse_day`. Optional sections are read with
//! [`optional_section`](super::ini_file::IniFile::optional_section).

/// The kinds of settings files that a section may be in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A manager's file.
    Manager,
    /// A day's file.
    Day,
    /// A manager's file or a day's file.
    Both,
    /// An orders' file.
    Orders,
}

/// A kind of section.
#[derive(Clone, Copy, Debug)]
pub struct SectionInfo {
    /// The heading. If it ends with ` NAME`, there may be several sections, each with its own name.
    pub heading: &'static str,
    /// The kinds of files that the section may be in.
    pub files: FileKind,
    /// The module that reads the section.
    pub module: &'static str,
}

/// All kinds of sections.
pub const SECTIONS: &[SectionInfo] = &[
    SectionInfo { heading: "manager", files: FileKind::Manager, module: "manager" },
    SectionInfo { heading: "list", files: FileKind::Manager, module: "links" },
    SectionInfo { heading: "servers", files: FileKind::Manager, module: "links" },
    SectionInfo { heading: "members", files: FileKind::Manager, module: "members" },
    SectionInfo { heading: "council", files: FileKind::Manager, module: "council" },
    SectionInfo { heading: "releases", files: FileKind::Manager, module: "releases" },
    SectionInfo { heading: "ladder", files: FileKind::Both, module: "terms" },
    SectionInfo { heading: "rules", files: FileKind::Both, module: "terms" },
    SectionInfo { heading: "package NAME", files: FileKind::Both, module: "package" },
    SectionInfo { heading: "tenant NAME", files: FileKind::Both, module: "package" },
    SectionInfo { heading: "day", files: FileKind::Day, module: "day" },
    SectionInfo { heading: "fleet", files: FileKind::Day, module: "day" },
    SectionInfo { heading: "players", files: FileKind::Day, module: "day" },
    SectionInfo { heading: "even", files: FileKind::Day, module: "day" },
    SectionInfo { heading: "fault NAME", files: FileKind::Day, module: "fault" },
    SectionInfo { heading: "release NAME", files: FileKind::Orders, module: "orders" },
    SectionInfo { heading: "drain NAME", files: FileKind::Orders, module: "orders" },
];

/// Ends the heading of a kind of section of which there may be several.
pub(super) const NAME_SUFFIX: &str = " NAME";

/// Describes the files that a section may be in, for one that is in another file.
pub(super) fn files_of(heading: &str) -> Option<&'static str> {
    let matches = |known: &str| match known.strip_suffix(NAME_SUFFIX) {
        Some(kind) => heading.split_once(' ').is_some_and(|(first_word, _)| first_word == kind),
        None => heading == known,
    };
    let section = SECTIONS.iter().find(|section| matches(section.heading))?;
    Some(match section.files {
        FileKind::Manager => "a manager's file",
        FileKind::Day => "a day's file",
        FileKind::Both => "a manager's or a day's file",
        FileKind::Orders => "an orders' file",
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

    fn listed_headings(files: &[FileKind]) -> BTreeSet<String> {
        let in_files = SECTIONS.iter().filter(|section| files.contains(&section.files));
        in_files.map(|section| section.heading.to_string()).collect()
    }

    /// Fails if a section is read but not listed, or listed but not read.
    #[test]
    fn the_listed_sections_are_those_that_are_read() {
        let ini = IniFile::read("day.ini", DAY);
        let plan = day::read_plan(&ini).unwrap();
        assert_eq!(ini.known_headings(), listed_headings(&[FileKind::Day, FileKind::Both]));
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
        manager::read_manager(&ini, Path::new(".")).unwrap();
        assert_eq!(ini.known_headings(), listed_headings(&[FileKind::Manager, FileKind::Both]));
        let ini = IniFile::read("o.ini", "");
        orders::orders(&ini);
        assert_eq!(ini.known_headings(), listed_headings(&[FileKind::Orders]));
    }
}
