//! The configuration by which a request is decided.

use std::time::Duration;

use wagtailmoor_core::ConfigVersion;

/// The configuration by which a request was decided, and how old it was at that moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigBasis {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Time since the latest instant at which the version was known to be the newest.
    pub age: Duration,
    /// Whether a source had confirmed the version recently. If not, no source could be reached and
    /// the process decides by what it has.
    pub confirmed: bool,
    /// Time from the head of the request to the decision. It includes a wait for a confirmation, also
    /// one in vain.
    pub waited: Duration,
}
