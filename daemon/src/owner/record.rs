//! The record of a manager: one line for each event that the front handled, for `ottersail replay`.

use ottersail_front::recording::FrontInput;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

/// Writes events of the front, and what the front asked for, to a file.
pub struct EventRecorder(BufWriter<File>);

impl EventRecorder {
    /// Creates the file and writes its header line.
    ///
    /// # Errors
    /// If the file can't be created or written.
    pub fn create(path: &Path, header: &serde_json::Value) -> std::io::Result<EventRecorder> {
        let mut recorder = EventRecorder(BufWriter::new(File::create(path)?));
        writeln!(recorder.0, "{header}")?;
        recorder.0.flush()?;
        Ok(recorder)
    }

    /// Appends an event at `at` (milliseconds since 1970), seen by `core`, and what the front asked for.
    pub(super) fn append(
        &mut self,
        at: f64,
        core: usize,
        event: &FrontInput,
        orders: &[String],
    ) -> std::io::Result<()> {
        let line = serde_json::json!({ "at": at, "core": core, "told": event, "wanted": orders });
        writeln!(self.0, "{line}")?;
        self.0.flush()
    }
}
