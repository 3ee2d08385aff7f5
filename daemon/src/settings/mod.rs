//! Settings files in INI format. Every problem is reported with its line. [`sections`] lists all sections.

pub mod council;
pub mod day;
pub mod error;
mod fault;
pub mod ini_file;
pub mod links;
pub mod manager;
pub mod members;
pub mod orders;
mod package;
pub mod releases;
pub mod sections;
mod terms;
mod values;
pub mod write;

use error::SettingsError;
use std::path::Path;

/// Reads the text of a settings file.
///
/// # Errors
/// If it can't be read.
pub fn load(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file)
        .map_err(|cause| SettingsError::Unreadable { file: file.to_path_buf(), cause })
}

/// Range of durations in milliseconds: up to an hour.
const DURATION_RANGE_MS: std::ops::RangeInclusive<f64> = 1.0..=3.6e6;
