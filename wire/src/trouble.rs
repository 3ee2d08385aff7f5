//! What is wrong with what a peer says.

use thiserror::Error;

/// A line of notes may be so long, in bytes; what is longer is not a note.
pub(crate) const MOST_LINE: usize = 4096;

/// What is wrong with an answer of the catalogue; none of it is used then. Rows are counted from 0.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogueError {
    #[error(
        "the catalogue's answer is not a list in JSON, {cause}; see that the list's address is a catalogue's"
    )]
    NotAList { cause: String },
    #[error(
        "the catalogue's row {row}: Service.ID {id:?} can't be an id; use letters, digits and -_.: only"
    )]
    ServerId { row: usize, id: String },
    #[error("the catalogue's server {id} is there twice; take one of its entries out")]
    Twice { id: String },
    #[error("the catalogue's server {id}: Service.Address or Service.Port is missing or bad; register both")]
    Address { id: String },
    #[error(
        "the catalogue's server {id}: Service.Meta.{key} is missing or nonsense; register it again with one"
    )]
    Meta { id: String, key: &'static str },
    #[error(
        "the catalogue's row {row}: {key} can't be a title's key; name it titles/NAME, of letters and digits"
    )]
    TitleKey { row: usize, key: String },
    #[error(
        "the catalogue's key titles/{name} holds no title; write {{\"base\": N, \"copies\": 1 or more}}"
    )]
    Title { name: String },
}

impl CatalogueError {
    pub(crate) fn not_a_list(cause: serde_json::Error) -> CatalogueError {
        CatalogueError::NotAList { cause: cause.to_string() }
    }
}

/// A server speaks something else than notes; the stream is of no use any more.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NoteStreamError {
    #[error("a line of the notes is over {MOST_LINE} bytes; see that the address is a streaming server's")]
    LongLine,
    #[error("a line of the notes is not UTF-8; see that the address is a streaming server's")]
    NotText,
    #[error(
        "the notes' event {event:?} has data that can't be read; see that the server's release fits this one"
    )]
    Event { event: &'static str },
    #[error("the notes' line {line:?} is no event stream's; see that the address is a streaming server's")]
    NoField { line: String },
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::catalogue::{read_servers, read_titles};
    use test_case::test_case;

    fn id() -> String {
        "box-1".into()
    }

    #[test_case(read_servers(b"<html>").unwrap_err(), "line 1 column 1", "is a catalogue's"; "not a list")]
    #[test_case(read_servers(b"[{}]").unwrap_err(), "row 0: Service.ID \"\"", "letters"; "a server's id")]
    #[test_case(CatalogueError::Twice { id: id() }, "server box-1", "take one"; "twice")]
    #[test_case(CatalogueError::Address { id: id() }, "box-1: Service.Address", "register both"; "an address")]
    #[test_case(CatalogueError::Meta { id: id(), key: "cell" }, "box-1: Service.Meta.cell", "register it"; "a key")]
    #[test_case(read_titles(b"[{\"Key\":\"x\"}]").unwrap_err(), "row 0: \"x\"", "titles/NAME"; "a key")]
    #[test_case(read_titles(b"[{\"Key\":\"titles/t\"}]").unwrap_err(), "titles/t", "\"base\""; "a title")]
    fn what_is_unusable_says_where_and_what_to_try(told: CatalogueError, place: &str, advice: &str) {
        checked(&told.to_string(), place, advice);
    }

    #[test_case(NoteStreamError::LongLine, "a line of the notes", "address"; "a long line")]
    #[test_case(NoteStreamError::NotText, "a line of the notes", "address"; "no text")]
    #[test_case(NoteStreamError::Event { event: "load" }, "event \"load\"", "release"; "an event")]
    #[test_case(NoteStreamError::NoField { line: "HTTP".into() }, "line \"HTTP\"", "address"; "no field")]
    fn what_is_garbled_says_where_and_what_to_try(told: NoteStreamError, place: &str, advice: &str) {
        checked(&told.to_string(), place, advice);
    }

    fn checked(told: &str, place: &str, advice: &str) {
        let (wrong, what_to_try) = told.split_once("; ").unwrap_or((told, ""));
        assert!(wrong.contains(place) && what_to_try.contains(advice), "{told}");
    }
}
