//! Notes of a server: one stream of server-sent events to each manager with viewings there.

use crate::report::Report;
use crate::trouble::MOST_LINE;
use serde::{Deserialize, Serialize};

pub use crate::trouble::NoteStreamError;

/// Why a viewing ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// Played to its end.
    Done,
    /// The player fetches no more.
    Left,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// How full link and uplink are, or what share is delivered.
    Load(Report),
    Ended {
        viewing: String,
        cause: EndCause,
    },
    /// Nothing but a sign of life.
    Alive,
}

impl Note {
    /// The event's text.
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

/// Reads a stream piece by piece.
#[derive(Debug, Default)]
pub struct NoteReader {
    line: Vec<u8>,
    event: String,
    data: String,
}

impl NoteReader {
    /// Takes what has come; gives each note that is whole.
    ///
    /// # Errors
    /// [`NoteStreamError`] if a line is too long or an event can't be read: the stream is of no use any more.
    pub fn feed(&mut self, bytes: &[u8], mut found: impl FnMut(Note)) -> Result<(), NoteStreamError> {
        for byte in bytes {
            match byte {
                b'\n' => {
                    let line = std::mem::take(&mut self.line);
                    let line = std::str::from_utf8(&line).map_err(|_| NoteStreamError::NotText)?;
                    if let Some(note) = self.line(line.trim_end_matches('\r'))? {
                        found(note);
                    }
                }
                _ if self.line.len() >= MOST_LINE => return Err(NoteStreamError::LongLine),
                byte => self.line.push(*byte),
            }
        }
        Ok(())
    }

    fn line(&mut self, line: &str) -> Result<Option<Note>, NoteStreamError> {
        if line.is_empty() {
            let (event, data) = (std::mem::take(&mut self.event), std::mem::take(&mut self.data));
            return match event.as_str() {
                "load" => Report::read_json(&data)
                    .map(|it| Some(Note::Load(it)))
                    .ok_or(NoteStreamError::Event { event: "load" }),
                "ended" => {
                    #[derive(Deserialize)]
                    struct Ended {
                        viewing: String,
                        cause: EndCause,
                    }
                    let ended =
                        serde_json::from_str(&data).map_err(|_| NoteStreamError::Event { event: "ended" });
                    let Ended { viewing, cause } = ended?;
                    Ok(Some(Note::Ended { viewing, cause }))
                }
                // Events of kinds to come are passed over, as the format wants.
                _ => Ok(None),
            };
        }
        match line.split_once(':') {
            Some(("", _)) => return Ok(Some(Note::Alive)),
            Some(("event", value)) => self.event = value.trim().into(),
            Some(("data", value)) if self.data.len() < MOST_LINE => self.data.push_str(value.trim()),
            Some(("data", _)) => return Err(NoteStreamError::LongLine),
            Some(("id" | "retry", _)) => {}
            _ => return Err(NoteStreamError::NoField { line: line.chars().take(40).collect() }),
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn read(bytes: &[u8], cut: usize) -> Result<Vec<Note>, NoteStreamError> {
        let (mut reader, mut notes) = (NoteReader::default(), Vec::new());
        for part in bytes.chunks(cut.max(1)) {
            reader.feed(part, |it| notes.push(it))?;
        }
        Ok(notes)
    }

    proptest! {
        // The same cases each time; more by PROPTEST_CASES.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        #[test]
        fn notes_come_through_however_they_are_cut(cut in 1usize..40) {
            let load = Report { link: Some(0.5), ..Report::default() };
            let ended = Note::Ended { viewing: "0-1.2".into(), cause: EndCause::Left };
            let notes = vec![Note::Load(load), Note::Alive, ended];
            let text: String = notes.iter().map(Note::write).collect();
            prop_assert_eq!(read(text.as_bytes(), cut), Ok(notes));
        }

        #[test]
        fn any_bytes_are_read_without_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            _ = read(&bytes, 7);
        }
    }

    #[test]
    fn what_is_no_stream_is_told() {
        assert_eq!(read(&[b'x'; 5000], 64), Err(NoteStreamError::LongLine));
        let line = "HTTP/1.1 200 OK".into();
        assert_eq!(read(b"HTTP/1.1 200 OK\n\n", 64), Err(NoteStreamError::NoField { line }));
        assert_eq!(read(b"event: \xff\n\n", 64), Err(NoteStreamError::NotText));
        assert_eq!(
            read(b"event: load\ndata: nonsense\n\n", 64),
            Err(NoteStreamError::Event { event: "load" })
        );
        assert_eq!(read(b"event: later\ndata: x\n\n", 64), Ok(vec![]));
    }
}
