//! The record of a manager, a line for each thing told.

use ottersail_front::recording::FrontInput;
use std::fs::File;
use std::io::{BufWriter, Write};

/// Where all that is told and wanted is written down.
pub struct Tape(BufWriter<File>);

impl Tape {
    /// # Errors
    /// If the file can't be made.
    pub fn begin(path: &std::path::Path, header: &serde_json::Value) -> std::io::Result<Tape> {
        let mut tape = Tape(BufWriter::new(File::create(path)?));
        writeln!(tape.0, "{header}")?;
        tape.0.flush()?;
        Ok(tape)
    }

    /// `core` is the one that saw it.
    pub(super) fn line(
        &mut self,
        at: f64,
        core: usize,
        told: &FrontInput,
        wanted: &[String],
    ) -> std::io::Result<()> {
        let line = serde_json::json!({ "at": at, "core": core, "told": told, "wanted": wanted });
        writeln!(self.0, "{line}")?;
        self.0.flush()
    }
}
