//! A serializable copy of a configuration.

use wagtailmoor_core::ConfigVersion;
use wagtailmoor_derive::value;

use crate::Configuration;

/// Versions between two snapshots in the object store.
pub(crate) const SNAPSHOT_INTERVAL: u64 = 64;

/// A serializable copy of a configuration.
#[value]
pub struct Snapshot {
    /// The configuration.
    pub configuration: Configuration,
}

impl Snapshot {
    /// Takes a snapshot.
    pub fn of(configuration: &Configuration) -> Self {
        Self { configuration: configuration.clone() }
    }

    /// Returns the version of the newest snapshot that should exist at a version.
    pub fn due_at(version: ConfigVersion) -> ConfigVersion {
        ConfigVersion::new(version.get() - version.get() % SNAPSHOT_INTERVAL)
    }
}
