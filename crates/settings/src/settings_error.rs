//! Errors of reading a YAML file.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a YAML file is rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// The text is not valid YAML, or a field is missing, unknown or has an invalid value.
    #[snafu(display("{}:{line}:{column}: field {field}: {problem}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Line, counted from 1.
        line: u64,
        /// Column, counted from 1.
        column: u64,
        /// Path of the field, `.` for the whole document.
        field: String,
        /// Description of the fault.
        problem: String,
    },
    /// A field is out of range or contradicts another.
    #[snafu(display("{}: field {field}: {problem}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Path of the field.
        field: String,
        /// Description of the fault.
        problem: String,
    },
}
