//! Reading and parsing of YAML files.

use std::cell::RefCell;
use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_saphyr::options::NonFiniteFloatPolicy;
use serde_saphyr::{options, with_deserializer_from_str_with_options};
use snafu::ResultExt;

use crate::SettingsError;
use crate::settings_error::ReadSnafu;

/// Reads and parses a YAML file.
///
/// # Errors
///
/// The file cannot be read, is not YAML, or has a wrong or unknown field.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(path, &text)
}

/// Parses YAML text; `path` is used only in error messages.
///
/// # Errors
///
/// The text is not YAML or has a wrong or unknown field.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let field = RefCell::new(String::from("."));
    // By default, a number out of range where any type is accepted fails the whole file.
    let options = options! { non_finite_float_policy: NonFiniteFloatPolicy::AsString };
    with_deserializer_from_str_with_options(text, options, |source| {
        serde_path_to_error::deserialize(source).map_err(|error| {
            field.replace(error.path().to_string());
            error.into_inner()
        })
    })
    .map_err(|error| parse_error(path, &field.borrow(), &error))
}

fn parse_error(path: &Path, field: &str, error: &serde_saphyr::Error) -> SettingsError {
    let (line, column) =
        error.location().map_or((0, 0), |location| (location.line(), location.column()));
    let problem = error.without_snippet().to_string();
    let problem = problem.lines().next().unwrap_or_default().to_string();
    SettingsError::Parse { path: path.into(), line, column, field: field.into(), problem }
}
