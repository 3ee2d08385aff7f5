//! Settings files: INI, read with their lines so that every problem tells where it belongs. Which sections
//! there are is listed in [`sections`].

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

/// The text of a settings file.
///
/// # Errors
/// If it can't be read.
pub fn load(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file)
        .map_err(|cause| SettingsError::Unreadable { file: file.to_path_buf(), cause })
}

/// Times that are told in milliseconds: up to an hour.
const SPAN: std::ops::RangeInclusive<f64> = 1.0..=3.6e6;
