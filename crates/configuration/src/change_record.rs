//! A stored change with its version.

use std::sync::Arc;

use wagtailmoor_core::ConfigVersion;
use wagtailmoor_derive::value;

use crate::Change;

/// A stored change with its version.
#[value]
pub struct ChangeRecord {
    /// Version of the configuration after this change.
    pub version: ConfigVersion,
    /// Operator who made the change.
    pub author: Arc<str>,
    /// When the change was made, by the clock of the operator's machine.
    pub made_unix_ms: u64,
    /// The change itself.
    pub change: Change,
}
