//! Why a day, an experiment or a report can't be played or drawn. Each text says what is wrong, where, and
//! what an operator can try.

use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A day can't be played in the model.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ModelError {
    #[error(
        "[fault {fault}] is one of sockets; play that day with `ottersail rehearse`, or leave the fault out"
    )]
    OnSockets { fault: String },
    #[error("the key built into the model can't be read: {0}; build anew from a tree without changes")]
    Key(String),
}

/// A plot of a report can't be drawn.
#[derive(Debug, Error)]
#[error(
    "plot {title:?} can't be drawn: {source}; look for figures in the results that are no numbers, and play \
     anew"
)]
pub struct PlotError {
    pub title: String,
    pub source: DrawingAreaErrorKind<io::Error>,
}

#[derive(Debug, Error)]
pub enum LabError {
    #[error("{}: can't be read: {source}; check the path, and who may read it", path.display())]
    Unread { path: PathBuf, source: io::Error },
    #[error(
        "{}: can't be written: {source}; make room there, or name another place with --out",
        path.display()
    )]
    Unwritten { path: PathBuf, source: io::Error },
    /// Complaints name their lines; there is one a line.
    #[error("{}\n{}: not played; correct what is named above", complaints.join("\n"), path.display())]
    Unfit { path: PathBuf, complaints: Vec<String> },
    #[error(
        "variant {variant}: the day has no {}; name sections that it has, or take these out of the variant",
        headings.iter().map(|it| format!("[{it}]")).collect::<Vec<_>>().join(", ")
    )]
    Lacks { variant: String, headings: Vec<String> },
    #[error("{day}: {source}")]
    Model { day: String, source: ModelError },
    #[error(
        "the result of {day}, variant {variant}, seed {seed} is no JSON: {source}; play it alone and look at \
         it"
    )]
    Result { day: String, variant: String, seed: u64, source: serde_json::Error },
    #[error(
        "{}: a run broke off while it wrote there; run the experiment again, which goes on from there",
        path.display()
    )]
    BrokeOff { path: PathBuf },
    #[error(
        "{}: {read} of {wanted} results can be read; see that nothing else writes there, and run it again",
        path.display()
    )]
    Short { path: PathBuf, read: usize, wanted: usize },
    #[error("{}: no results; `run` the experiment first, or name their place with --out", path.display())]
    NoResults { path: PathBuf },
    #[error("{}: no variant {unknown:?}; name one of these: {}", path.display(), known.join(", "))]
    NoVariant { path: PathBuf, unknown: String, known: Vec<String> },
    #[error(
        "{}: no day and seed was played with both {a:?} and {b:?}; `run` the experiment to its end",
        path.display()
    )]
    NoPairs { path: PathBuf, a: String, b: String },
    #[error("report of {name}: {source}")]
    Plot { name: String, source: PlotError },
}

#[cfg(test)]
mod tests;
