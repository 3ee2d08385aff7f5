//! Measures the session manager. Figures hold for the machine that they were taken on; compare within one
//! run.

mod errors;
mod fleet;
mod library;
mod load;
mod loopback;
mod managing;
mod published;
mod queue;
mod scale;
mod shared;
mod timed;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Measures the session manager.
#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Set-ups a second of one manager over loopback until p99 of the time to the answer passes 50 ms, with
    /// the module and with a plain random pick.
    Loopback {
        /// Seconds at each rate.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
        #[arg(long, default_value_t = 280)]
        servers: usize,
        /// The first rate tried, set-ups a second.
        #[arg(long, default_value_t = 400.0)]
        from: f64,
        /// Cores of the manager.
        #[arg(long, default_value_t = 1)]
        cores: usize,
    },
    /// One rate of `loopback`, for its own use.
    #[command(hide = true)]
    AtRate { pick: String, rate: f64, seconds: f64, servers: usize, cores: usize },
    /// The manager of `loopback`, for its own use.
    #[command(hide = true)]
    Manage { pick: String, servers: usize, cores: usize, address: String, list: String },
    /// A decision's cost in the library, by viewings held.
    Decision {
        #[arg(long, default_values_t = [280, 2_800, 28_000])]
        held: Vec<usize>,
    },
    /// One owner of a front beside a lock round it, at 1, 2 and 4 cores, without sockets.
    Front,
    /// What all cores read: published without a lock, in a mutex, and as a copy a core.
    Published,
    /// The laboratory's event queue beside plain ones.
    Queue {
        #[arg(long, default_values_t = [10_000, 100_000, 1_000_000, 10_000_000])]
        pending: Vec<usize>,
    },
    /// Members as processes of the program: at rest, deaths one after the other, and the council's slots.
    Scale {
        /// The program's own file, a release build.
        #[arg(long, default_value = "target/release/ottersail")]
        program: PathBuf,
        #[arg(long, default_value_t = 30)]
        members: usize,
        /// None, 3, 5 or 7.
        #[arg(long, default_value_t = 0)]
        councillors: usize,
        #[arg(long, default_value_t = 64)]
        slots: u16,
        #[arg(long, default_value_t = 10_000)]
        lease_ms: u32,
        /// At rest.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        #[arg(long, default_value_t = 5)]
        deaths: usize,
        /// Managers beside them without members, to compare with.
        #[arg(long, default_value_t = 3)]
        plain: usize,
    },
    /// Memory after many viewings were set up and ended, in the library.
    Memory {
        #[arg(long, default_values_t = [10_000, 200_000])]
        viewings: Vec<usize>,
    },
}

fn main() -> ExitCode {
    let done = match Line::parse().what {
        What::Loopback { seconds, servers, from, cores } => loopback::measure(seconds, servers, from, cores),
        What::AtRate { pick, rate, seconds, servers, cores } => {
            loopback::at_rate(&pick, rate, seconds, servers, cores)
        }
        What::Manage { pick, servers, cores, address, list } => {
            managing::manage(&pick, servers, cores, &address, &list)
        }
        What::Decision { held } => library::decision(&held),
        What::Front => shared::front(),
        What::Published => published::measure(),
        What::Queue { pending } => {
            queue::measure(&pending);
            Ok(())
        }
        What::Scale { program, members, councillors, slots, lease_ms, seconds, deaths, plain } => {
            let plan = scale::Plan { program, members, councillors, slots, lease_ms, plain };
            scale::measure(&plan, seconds, deaths)
        }
        What::Memory { viewings } => library::memory(&viewings),
    };
    if let Err(trouble) = done {
        eprintln!("ottersail-bench: {trouble}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
