//! What was sent, answered and run, with times in milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    start_unix_ms: f64,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, which `RECORD` names.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| give_up(&format!("{path}: {error}")));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start_unix_ms = unix.as_secs_f64() * 1e3;
        Record { start: Instant::now(), start_unix_ms, file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// The Unix millisecond of a time of this record.
    pub fn unix_ms(&self, at: f64) -> f64 {
        self.start_unix_ms + at
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        _ = writeln!(self.file.lock().unwrap(), "{now:10.1} {text}");
    }
}

/// Ends the case as one that could not run.
pub fn give_up(why: &str) -> ! {
    crate::sys::end_started();
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

/// Writes the result, and ends the case with its exit code.
pub fn finish(record: &Record, broken: &[String], held: &str) -> i32 {
    for line in broken.iter().take(40) {
        record.line(&format!("BROKEN {line}"));
        println!("BROKEN {line}");
    }
    if broken.is_empty() {
        record.line(&format!("HELD {held}"));
        println!("HELD {held}");
        return 0;
    }
    record.line(&format!("RULE BROKEN {} times; {held}", broken.len()));
    println!("RULE BROKEN {} times; {held}", broken.len());
    1
}
