//! `ottersail-simulation`: plays days in simulated time.

use clap::{Parser, Subcommand};
use ottersail_daemon::settings::day::parse_day;
use ottersail_simulation::compare::compare;
use ottersail_simulation::errors::LabError;
use ottersail_simulation::experiment::Experiment;
use ottersail_simulation::figures::Figures;
use ottersail_simulation::grid::{self, results, results_of, variants};
use ottersail_simulation::model::Model;
use std::path::{Path, PathBuf};
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
    /// Plays an experiment's grid of days, seeds and variants; what was played before is not played again.
    Run {
        experiment: PathBuf,
        /// Where results are kept; target/lab/NAME.jsonl if not told.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Runs at once; as many as the machine has cores if not told.
        #[arg(long)]
        threads: Option<usize>,
    },
    /// One HTML file of an experiment that was played.
    Report {
        experiment: PathBuf,
        #[arg(long)]
        out: Option<PathBuf>,
        /// The file; beside the results if not told.
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Two variants of an experiment that was played, by pairs of the same day and seed.
    Compare {
        experiment: PathBuf,
        a: String,
        b: String,
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let done = match Line::parse().what {
        What::Play { day, seed } => play(&day, seed),
        What::Run { experiment, out, threads } => run(&experiment, out, threads),
        What::Report { experiment, out, html } => report(&experiment, out, html),
        What::Compare { experiment, a, b, out } => show(&experiment, out, &a, &b),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(trouble) => {
            eprintln!("{trouble}");
            ExitCode::from(2)
        }
    }
}

type Done = Result<bool, LabError>;

fn play(day: &Path, seed: Option<u64>) -> Done {
    let text =
        std::fs::read_to_string(day).map_err(|source| LabError::Unread { path: day.into(), source })?;
    let plan = parse_day(day, &text)
        .map_err(|complaints| LabError::Unfit { path: day.into(), complaints: complaints.into() })?;
    let model = Model::new(&plan, seed.unwrap_or(plan.day.seed))
        .map_err(|source| LabError::Model { day: day.display().to_string(), source })?;
    let began = Instant::now();
    let (figures, _, drift) = model.run();
    println!("{figures}");
    println!("took                 {:>10.1} s", began.elapsed().as_secs_f64());
    let broken = figures.broken_laws(drift);
    broken.iter().for_each(|it| println!("LAW BROKEN: {it}"));
    Ok(broken.is_empty())
}

fn run(experiment: &Path, out: Option<PathBuf>, threads: Option<usize>) -> Done {
    let wanted = Experiment::read(experiment)?;
    let out = out.unwrap_or_else(|| results_of(experiment));
    let threads = threads.or_else(|| std::thread::available_parallelism().ok().map(usize::from)).unwrap_or(1);
    let all = grid::run(&wanted, &out, threads)?;
    println!(
        "{:<32} {:>5} {:>7} {:>8} {:>8} {:>7} {:>9} {:>7}",
        "variant", "runs", "value", "watched", "blocked", "short", "stalled s", "fell"
    );
    for variant in variants(&all) {
        let of: Vec<_> = all.iter().filter(|it| it.variant == variant).map(|it| &it.figures).collect();
        let mean =
            |figure: fn(&Figures) -> f64| of.iter().map(|it| figure(it)).sum::<f64>() / of.len() as f64;
        println!(
            "{variant:<32} {:>5} {:>7.4} {:>8.4} {:>8.2} {:>7.2} {:>9.3} {:>7.1}",
            of.len(),
            mean(Figures::value_asked),
            mean(Figures::value),
            mean(|it| 100.0 * it.blocked as f64 / it.asked.max(1) as f64),
            mean(|it| 100.0 * it.short as f64 / it.sampled.max(1) as f64),
            mean(|it| it.stalled_ms / 1e3 / it.played.max(1) as f64),
            mean(|it| it.fell as f64),
        );
    }
    println!("results in {}", out.display());
    report(experiment, Some(out.clone()), None)?;
    let broken: Vec<_> = all.iter().flat_map(|it| it.broken.iter().map(move |law| (it, law))).collect();
    for (it, law) in &broken {
        println!("LAW BROKEN: {} seed {} {}: {law}", it.day, it.seed, it.variant);
    }
    Ok(broken.is_empty())
}

fn report(experiment: &Path, out: Option<PathBuf>, html: Option<PathBuf>) -> Done {
    let out = out.unwrap_or_else(|| results_of(experiment));
    let all = results(&out);
    if all.is_empty() {
        return Err(LabError::NoResults { path: out });
    }
    let html = html.unwrap_or_else(|| out.with_extension("html"));
    let name = experiment.file_stem().map_or("experiment".into(), |it| it.to_string_lossy().into_owned());
    let text =
        ottersail_simulation::report::html(&name, &all).map_err(|source| LabError::Plot { name, source })?;
    std::fs::write(&html, text).map_err(|source| LabError::Unwritten { path: html.clone(), source })?;
    println!("report in {}", html.display());
    Ok(true)
}

fn show(experiment: &Path, out: Option<PathBuf>, a: &str, b: &str) -> Done {
    let out = out.unwrap_or_else(|| results_of(experiment));
    let all = results(&out);
    let names = variants(&all);
    if let Some(unknown) = [a, b].into_iter().find(|it| !names.iter().any(|name| name == it)) {
        return Err(LabError::NoVariant { path: out, unknown: unknown.into(), known: names });
    }
    println!("{:<28} {:>9} {:>9} {:>10}   {:>10} .. {:<10}", "", a, b, "difference", "95 in 100 from", "to");
    for (name, difference) in compare(&all, a, b) {
        let Some(it) = difference else {
            return Err(LabError::NoPairs { path: out, a: a.into(), b: b.into() });
        };
        let clear = if it.is_clear() { "clear" } else { "" };
        println!(
            "{name:<28} {:>9.4} {:>9.4} {:>+10.4}   {:>+10.4} .. {:<+10.4} {clear}",
            it.of_a, it.of_b, it.mean, it.from, it.to
        );
    }
    Ok(true)
}
