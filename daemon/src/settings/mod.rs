//! Settings files: INI, read with their lines so that every complaint tells where it belongs. Which sections there are is
//! listed in [`sections`].

pub mod day;
pub mod error;
mod fault;
pub mod links;
pub mod manager;
mod package;
pub mod sections;
pub mod sheet;
mod terms;
pub mod write;

/// Times that are told in milliseconds: up to an hour.
const SPAN: std::ops::RangeInclusive<f64> = 1.0..=3.6e6;
