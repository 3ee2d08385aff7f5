//! `ottersail-lab`: plays days in simulated time.

use clap::{Parser, Subcommand};
use ottersail_daemon::settings::day::read_day;
use ottersail_lab::model::Model;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// A laboratory for session managers.
#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays a day once and prints its figures.
    Play {
        day: PathBuf,
        /// Another seed than the day's.
        #[arg(long)]
        seed: Option<u64>,
    },
}

fn main() -> ExitCode {
    let What::Play { day, seed } = Line::parse().what;
    let done = std::fs::read_to_string(&day)
        .map_err(|it| vec![format!("{}: {it}", day.display())])
        .and_then(|text| read_day(&day, &text))
        .and_then(|plan| {
            let seed = seed.unwrap_or(plan.day.seed);
            Model::new(&plan, seed).map_err(|it| vec![it])
        });
    match done {
        Err(complaints) => {
            complaints.iter().for_each(|it| eprintln!("{it}"));
            ExitCode::from(2)
        }
        Ok(model) => {
            let began = Instant::now();
            let (figures, drift) = model.run();
            println!("{figures}");
            println!("took                 {:>10.1} s", began.elapsed().as_secs_f64());
            let broken = figures.broken_laws(drift);
            broken.iter().for_each(|it| println!("LAW BROKEN: {it}"));
            ExitCode::from(u8::from(!broken.is_empty()))
        }
    }
}
