//! Runs instances of the placement decisions under the bench's protocol, on standard input and output.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

const USAGE: &str = "usage: ottersail-drill [--help | --version]
Reads event batches on standard input and writes one reply for each on standard output.";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {}
        ["--help" | "-h"] => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        ["--version" | "-V"] => {
            println!("ottersail-drill {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    }
    // A panic of an instance is reported as a PANIC line, without a backtrace on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    match wire::serve(input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ottersail-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
