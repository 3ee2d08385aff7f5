//! The bench's protocol: lines of positional values, in batches from MARK to FLUSH, with one reply for each
//! batch.

mod errors;
mod host;
mod reply;
mod values;

use errors::{ErrorKind, WireError};
use host::Host;
use ottersail::time::Ms;
use std::io::{BufRead, Write};
use values::{entry, unexpected, ParseResult, Values};

/// Reads and counts lines.
struct Lines<R> {
    input: R,
    count: u64,
    line: String,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> ParseResult<Option<&str>> {
        self.line.clear();
        self.count += 1;
        match self.input.read_line(&mut self.line) {
            Ok(0) => Ok(None),
            Ok(_) => Ok(Some(self.line.trim_end_matches(['\n', '\r']))),
            Err(error) => Err(ErrorKind::Input(error)),
        }
    }
}

/// Processes batches until the input ends.
pub fn serve<R: BufRead, W: Write>(input: R, output: &mut W) -> Result<(), WireError> {
    let mut lines = Lines { input, count: 0, line: String::new() };
    process_batches(&mut lines, output).map_err(|kind| WireError { line: lines.count, kind })
}

fn process_batches<R: BufRead, W: Write>(lines: &mut Lines<R>, output: &mut W) -> ParseResult<()> {
    let mut host = Host::default();
    // The time of the open batch.
    let mut batch_time: Option<Ms> = None;
    loop {
        let Some(line) = lines.next()? else {
            return batch_time.map_or(Ok(()), |_| unexpected("the end of input", "FLUSH"));
        };
        if line.is_empty() && batch_time.is_none() {
            continue;
        }
        let mut values = Values::new(line);
        let name = values.text("a message")?;
        match (name, batch_time) {
            ("MARK", None) => {
                batch_time = Some(values.time("a clock time")?);
                values.end()?;
            }
            (other, None) => return unexpected(other, "MARK"),
            ("MARK", Some(_)) => return unexpected(line, "an event or FLUSH"),
            ("FLUSH", Some(_)) => {
                values.end()?;
                let written = output.write_all(b"FINISHED\n").and_then(|()| output.flush());
                written.map_err(ErrorKind::Output)?;
                batch_time = None;
            }
            ("REGISTER", Some(_)) => {
                let sheet = values.number("sheet")?;
                let count = values.number::<usize>("rows-in")?;
                values.end()?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    match lines.next()? {
                        Some(line) => entries.push(entry(line)?),
                        None => return unexpected("the end of input", "a list entry"),
                    }
                }
                host.sheets.insert(sheet, entries.into());
            }
            (_, Some(now)) => host.event(name, values, now, output)?,
        }
    }
}

#[cfg(test)]
mod tests;
