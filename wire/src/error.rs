//! Errors in data received from the service catalogue or a streaming server.

use thiserror::Error;

/// Maximum length of a line of a note stream, in bytes; a longer line is not a note.
pub(crate) const MAX_LINE_BYTES: usize = 4096;

/// Reason to reject an answer of the catalogue; no part of a rejected answer is used. Rows are counted from 0.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogueError {
    /// The answer is not a JSON array.
    #[error(
        "the catalogue's answer is not a list in JSON, {cause}; check that the list's address is a catalogue's"
    )]
    NotAList { cause: String },
    /// The id of a server is missing or not a safe name.
    #[error(
        "the catalogue's row {row}: Service.ID {id:?} is not a valid id; use only letters, digits and -_.:"
    )]
    InvalidServerId { row: usize, id: String },
    /// Two entries have the same server id.
    #[error("the catalogue's server {id} is there twice; remove one of its entries")]
    DuplicateServer { id: String },
    /// The host or port of a server is missing or invalid.
    #[error(
        "the catalogue's server {id}: Service.Address or Service.Port is missing or invalid; register both"
    )]
    InvalidAddress { id: String },
    /// A metadata value of a server is missing or invalid.
    #[error(
        "the catalogue's server {id}: Service.Meta.{key} is missing or invalid; register it again \
         with a valid value"
    )]
    InvalidMeta { id: String, key: &'static str },
    /// A key is not `titles/` followed by a safe name.
    #[error(
        "the catalogue's row {row}: {key} is not a valid key of a title; name it titles/NAME, with letters, \
         digits and -_.: only"
    )]
    InvalidTitleKey { row: usize, key: String },
    /// The value of a title's key can't be parsed or has no copies.
    #[error(
        "the catalogue's key titles/{name} does not hold a title; write {{\"base\": N, \"copies\": 1 or more}}"
    )]
    InvalidTitle { name: String },
}

impl CatalogueError {
    pub(crate) fn not_a_list(cause: serde_json::Error) -> CatalogueError {
        CatalogueError::NotAList { cause: cause.to_string() }
    }
}

/// Reason to give up a stream of notes: the server sent something that is not a note stream.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NoteStreamError {
    /// A line, or the data of an event, is longer than the limit.
    #[error(
        "a line of the notes is over {MAX_LINE_BYTES} bytes; check that the address is a streaming server's"
    )]
    LineTooLong,
    /// A line is not valid UTF-8.
    #[error("a line of the notes is not UTF-8; check that the address is a streaming server's")]
    NotUtf8,
    /// The data of a known event can't be parsed.
    #[error(
        "the notes' event {event:?} has data that can't be parsed; check that the server's release is \
         compatible"
    )]
    InvalidEvent { event: &'static str },
    /// A line is not a field of an event stream.
    #[error(
        "the notes' line {line:?} is not valid in an event stream; check that the address is a streaming \
         server's"
    )]
    InvalidLine { line: String },
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::catalogue::{read_servers, read_titles};
    use test_case::test_case;

    fn server_id() -> String {
        "box-1".into()
    }

    #[test_case(read_servers(b"<html>").unwrap_err(), "line 1 column 1", "is a catalogue's"; "not a list")]
    #[test_case(read_servers(b"[{}]").unwrap_err(), "row 0: Service.ID \"\"", "letters"; "a server's id")]
    #[test_case(CatalogueError::DuplicateServer { id: server_id() }, "server box-1", "remove one"; "a duplicate server")]
    #[test_case(CatalogueError::InvalidAddress { id: server_id() }, "box-1: Service.Address", "register both"; "an address")]
    #[test_case(CatalogueError::InvalidMeta { id: server_id(), key: "cell" }, "box-1: Service.Meta.cell", "register it"; "a key")]
    #[test_case(read_titles(b"[{\"Key\":\"x\"}]").unwrap_err(), "row 0: \"x\"", "titles/NAME"; "a key")]
    #[test_case(read_titles(b"[{\"Key\":\"titles/t\"}]").unwrap_err(), "titles/t", "\"base\""; "a title")]
    fn catalogue_errors_name_the_place_and_a_remedy(error: CatalogueError, place: &str, remedy: &str) {
        assert_names_place_and_remedy(&error.to_string(), place, remedy);
    }

    #[test_case(NoteStreamError::LineTooLong, "a line of the notes", "address"; "a long line")]
    #[test_case(NoteStreamError::NotUtf8, "a line of the notes", "address"; "no text")]
    #[test_case(NoteStreamError::InvalidEvent { event: "load" }, "event \"load\"", "release"; "an event")]
    #[test_case(NoteStreamError::InvalidLine { line: "HTTP".into() }, "line \"HTTP\"", "address"; "no field")]
    fn note_stream_errors_name_the_place_and_a_remedy(error: NoteStreamError, place: &str, remedy: &str) {
        assert_names_place_and_remedy(&error.to_string(), place, remedy);
    }

    fn assert_names_place_and_remedy(message: &str, place: &str, remedy: &str) {
        let (fault, advice) = message.split_once("; ").unwrap_or((message, ""));
        assert!(fault.contains(place) && advice.contains(remedy), "{message}");
    }
}
