use crate::error::RecorderError;
use ottersail_invariants::{Event, Line, Terms};
use ottersail_net::Clock;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// Writes down what was seen on the sockets, from any thread, by one clock.
#[derive(Clone)]
pub struct Recorder {
    clock: Clock,
    path: Arc<Path>,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Recorder {
    /// Begins a record.
    ///
    /// # Errors
    /// If the file can't be made.
    pub fn begin(path: &Path, clock: Clock, terms: Terms) -> Result<Recorder, RecorderError> {
        let file = File::create(path);
        let file = file.map_err(|source| RecorderError::Begin { file: path.to_path_buf(), source })?;
        let file = BufWriter::new(file);
        let recorder = Recorder { clock, path: path.into(), file: Arc::new(Mutex::new(file)) };
        recorder.note(Event::Begins { terms });
        Ok(recorder)
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    pub fn note(&self, event: Event) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let line = Line { at: self.clock.now(), event };
        // A record that can't be written ends short, and is then refused by the judge for what it lacks.
        _ = serde_json::to_writer(&mut *file, &line)
            .map_err(std::io::Error::from)
            .and_then(|()| file.write_all(b"\n"));
    }

    /// # Errors
    /// If the record could not be written out.
    pub fn close(&self) -> Result<(), RecorderError> {
        self.file
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .flush()
            .map_err(|source| RecorderError::Close { file: self.path.to_path_buf(), source })
    }
}
