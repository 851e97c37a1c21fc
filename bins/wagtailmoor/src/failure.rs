//! Failures of commands.

use snafu::Snafu;
use wagtailmoor_configuration::ChangeError;
use wagtailmoor_core::ConfigVersion;
use wagtailmoor_settings::SettingsError;
use wagtailmoor_store::{ConfigStoreError, StoreError};

/// Reason for which a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Failure {
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
    #[snafu(display("refused, nothing was stored: {source}"), context(false))]
    Change { source: ChangeError },
    #[snafu(display("{source}"), context(false))]
    Read { source: ConfigStoreError },
    #[snafu(display("{source}"), context(false))]
    Platform { source: StoreError },
    #[snafu(display("{problem}"))]
    Input { problem: String },
    #[snafu(display(
        "stopped after {stored} of {total} changes: version {version} was stored by {author} first \
         ({kind} {subject}); the remaining changes were not stored; check with diff again"
    ))]
    Conflict {
        stored: usize,
        total: usize,
        version: ConfigVersion,
        author: String,
        kind: String,
        subject: String,
    },
    #[snafu(display(
        "the platform did not answer: version {version} may or may not be stored; see history"
    ))]
    UnknownOutcome { version: ConfigVersion },
    #[snafu(display("version {version} is in force on {in_force} of {total} entry processes"))]
    NotInForce { version: ConfigVersion, in_force: usize, total: usize },
    #[snafu(display("no entry process answered"))]
    NoEntryAnswered,
    #[snafu(display("no router process answered; {causes}"))]
    NoRouterAnswered { causes: String },
}

impl Failure {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::UnknownOutcome { .. } => 3,
            Self::NotInForce { .. } => 4,
            _ => 1,
        }
    }
}
