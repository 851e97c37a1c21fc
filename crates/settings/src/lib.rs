//! Parsing of YAML files: process settings and files of configuration changes.
//!
//! Parse errors name the file, the line and the field; unknown fields are rejected.

mod change_file;
mod entry_settings;
mod load;
mod settings_error;

pub use change_file::{ChangeFile, ZoneSetting};
pub use entry_settings::{EntrySettings, FrontSettings};
pub use load::{load, parse};
pub use settings_error::SettingsError;
