use std::fmt::{self, Debug, Display, Formatter};

use thiserror::Error;

/// Which bound ended a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// States as deep as allowed still had steps to take.
    Depth,
    /// As many states as allowed were seen.
    States,
    /// As many bytes as allowed were taken, by estimate.
    Memory,
}

/// What a search found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<S> {
    /// Every state that can be reached was seen, and none is bad.
    Covered,
    /// No bad state among those seen; a bound was hit, so nothing is said about the others.
    Bounded(Bound),
    /// A bad state, and a shortest history that leads to it.
    Broken { why: String, history: Vec<S> },
}

/// A verdict with its counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report<S> {
    pub verdict: Verdict<S>,
    /// States seen, the first one included; renamed ones count once where the world says so.
    pub states: usize,
    /// Steps taken, those that led to known states included.
    pub steps: usize,
    /// Steps from the first state to the deepest one seen.
    pub depth: usize,
}

/// A search that ended otherwise than a test needs it to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unexpected {
    #[error("no bad history among the {states} states to depth {depth} ({how}): look whether the guard taken out is \
             reached by this world's steps, or raise its bounds")]
    Unbroken { states: usize, depth: usize, how: &'static str },
    #[error(
        "a bad history where none may be, shortest first:\n{history}mend the machine, or the model if the \
             history could not happen"
    )]
    Broken { history: String },
    #[error("the search hit its bound on {bound:?} at {states} states, depth {depth}: raise that bound or make the \
             world smaller")]
    Uncovered { bound: Bound, states: usize, depth: usize },
}

impl<S: Clone + Debug> Report<S> {
    /// Nothing bad in the whole space.
    ///
    /// # Errors
    /// A bad history, or a bound that was hit.
    pub fn covered(&self) -> Result<(), Unexpected> {
        let (states, depth) = (self.states, self.depth);
        match &self.verdict {
            Verdict::Covered => Ok(()),
            Verdict::Bounded(bound) => Err(Unexpected::Uncovered { bound: *bound, states, depth }),
            Verdict::Broken { .. } => Err(Unexpected::Broken { history: self.to_string() }),
        }
    }

    /// Nothing bad as far as the bounds let it look.
    ///
    /// # Errors
    /// A bad history.
    pub fn unbroken(&self) -> Result<(), Unexpected> {
        match &self.verdict {
            Verdict::Broken { .. } => Err(Unexpected::Broken { history: self.to_string() }),
            Verdict::Covered | Verdict::Bounded(_) => Ok(()),
        }
    }

    /// The shortest bad history.
    ///
    /// # Errors
    /// None was found; says whether the whole space was covered.
    pub fn broken(&self) -> Result<&[S], Unexpected> {
        let (states, depth) = (self.states, self.depth);
        match &self.verdict {
            Verdict::Broken { history, .. } => Ok(history),
            Verdict::Covered => Err(Unexpected::Unbroken { states, depth, how: "all there are" }),
            Verdict::Bounded(_) => Err(Unexpected::Unbroken { states, depth, how: "a bound was hit" }),
        }
    }
}

impl<S: Debug> Display for Report<S> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Report { verdict, states, steps, depth } = self;
        match verdict {
            Verdict::Covered => write!(f, "covered: ")?,
            Verdict::Bounded(bound) => write!(f, "not covered, bound on {bound:?}: ")?,
            Verdict::Broken { why, history } => {
                for (at, step) in history.iter().enumerate() {
                    writeln!(f, "{:>4}. {step:?}", at + 1)?;
                }
                writeln!(f, "   => {why}")?;
                write!(f, "broken after {} steps: ", history.len())?;
            }
        }
        writeln!(f, "{states} states, {steps} steps taken, depth {depth}")
    }
}
