//! Notes of a streaming server. The server sends one stream of server-sent events to each manager that has
//! viewings on it.

use crate::error::MAX_LINE_BYTES;
use crate::report::Report;
use serde::{Deserialize, Serialize};

pub use crate::error::NoteStreamError;

/// Reason why a viewing ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The title played to its end.
    Done,
    /// The player stopped fetching segments.
    Left,
}

/// A notification from a streaming server to a manager.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// Load of the link and the uplink, or the share of the bit rates that is delivered.
    Load(Report),
    /// A viewing ended.
    Ended { viewing: String, cause: EndCause },
    /// A keep-alive without content.
    Alive,
}

impl Note {
    /// Formats the note as a server-sent event.
    pub fn write(&self) -> String {
        match self {
            Note::Load(report) => format!("event: load\ndata: {}\n\n", report.json()),
            Note::Ended { viewing, cause } => {
                let data = serde_json::json!({ "viewing": viewing, "cause": cause });
                format!("event: ended\ndata: {data}\n\n")
            }
            Note::Alive => ":\n\n".into(),
        }
    }
}

/// Incremental parser of a stream of notes.
#[derive(Debug, Default)]
pub struct NoteReader {
    line: Vec<u8>,
    event: String,
    data: String,
}

impl NoteReader {
    /// Parses the next received bytes and calls `on_note` with each complete note.
    ///
    /// # Errors
    /// [`NoteStreamError`] if a line is too long or an event can't be parsed; the stream must not be read any further.
    pub fn feed(&mut self, bytes: &[u8], mut on_note: impl FnMut(Note)) -> Result<(), NoteStreamError> {
        for byte in bytes {
            match byte {
                b'\n' => {
                    let line = std::mem::take(&mut self.line);
                    let line = std::str::from_utf8(&line).map_err(|_| NoteStreamError::NotUtf8)?;
                    if let Some(note) = self.parse_line(line.trim_end_matches('\r'))? {
                        on_note(note);
                    }
                }
                _ if self.line.len() >= MAX_LINE_BYTES => return Err(NoteStreamError::LineTooLong),
                byte => self.line.push(*byte),
            }
        }
        Ok(())
    }

    fn parse_line(&mut self, line: &str) -> Result<Option<Note>, NoteStreamError> {
        if line.is_empty() {
            let (event, data) = (std::mem::take(&mut self.event), std::mem::take(&mut self.data));
            return match event.as_str() {
                "load" => Report::read_json(&data)
                    .map(|report| Some(Note::Load(report)))
                    .ok_or(NoteStreamError::InvalidEvent { event: "load" }),
                "ended" => {
                    #[derive(Deserialize)]
                    struct Ended {
                        viewing: String,
                        cause: EndCause,
                    }
                    let ended = serde_json::from_str(&data)
                        .map_err(|_| NoteStreamError::InvalidEvent { event: "ended" });
                    let Ended { viewing, cause } = ended?;
                    Ok(Some(Note::Ended { viewing, cause }))
                }
                // Unknown events are ignored, as the format of server-sent events requires.
                _ => Ok(None),
            };
        }
        match line.split_once(':') {
            Some(("", _)) => return Ok(Some(Note::Alive)),
            Some(("event", value)) => self.event = value.trim().into(),
            Some(("data", value)) if self.data.len() < MAX_LINE_BYTES => self.data.push_str(value.trim()),
            Some(("data", _)) => return Err(NoteStreamError::LineTooLong),
            Some(("id" | "retry", _)) => {}
            _ => return Err(NoteStreamError::InvalidLine { line: line.chars().take(40).collect() }),
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn read(bytes: &[u8], chunk_bytes: usize) -> Result<Vec<Note>, NoteStreamError> {
        let (mut reader, mut notes) = (NoteReader::default(), Vec::new());
        for chunk in bytes.chunks(chunk_bytes.max(1)) {
            reader.feed(chunk, |note| notes.push(note))?;
        }
        Ok(notes)
    }

    proptest! {
        // The fixed seed gives the same cases in each run; PROPTEST_CASES sets their number.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        #[test]
        fn notes_are_read_back_from_chunks_of_any_size(chunk_bytes in 1usize..40) {
            let load = Report { link: Some(0.5), ..Report::default() };
            let ended = Note::Ended { viewing: "0-1.2".into(), cause: EndCause::Left };
            let notes = vec![Note::Load(load), Note::Alive, ended];
            let text: String = notes.iter().map(Note::write).collect();
            prop_assert_eq!(read(text.as_bytes(), chunk_bytes), Ok(notes));
        }

        #[test]
        fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            _ = read(&bytes, 7);
        }
    }

    #[test]
    fn invalid_streams_are_rejected_and_unknown_events_ignored() {
        assert_eq!(read(&[b'x'; 5000], 64), Err(NoteStreamError::LineTooLong));
        let line = "HTTP/1.1 200 OK".into();
        assert_eq!(read(b"HTTP/1.1 200 OK\n\n", 64), Err(NoteStreamError::InvalidLine { line }));
        assert_eq!(read(b"event: \xff\n\n", 64), Err(NoteStreamError::NotUtf8));
        assert_eq!(
            read(b"event: load\ndata: nonsense\n\n", 64),
            Err(NoteStreamError::InvalidEvent { event: "load" })
        );
        assert_eq!(read(b"event: later\ndata: x\n\n", 64), Ok(vec![]));
    }
}
