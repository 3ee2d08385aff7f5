//! The record of a run: what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file =
            File::create(path).unwrap_or_else(|error| crate::cannot_run(&format!("{path:?}: {error}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Writes one line; returns its time.
    pub fn note(&self, who: &str, what: &str) -> f64 {
        let now = self.now();
        let what = what.replace("\r\n", "|").replace('\n', "|");
        if let Ok(mut file) = self.file.lock() {
            _ = writeln!(file, "{now:10.1} {who}: {what}");
        }
        now
    }

    /// Writes one line, also to standard output.
    pub fn tell(&self, what: &str) {
        self.note("check", what);
        println!("{what}");
    }
}
