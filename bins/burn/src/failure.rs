//! Errors of the program.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;
use wagtailmoor_burn::PageError;
use wagtailmoor_settings::SettingsError;

/// Error that prevents a report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Failure {
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("metrics socket: {source}"))]
    Socket { source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Page { source: PageError },
    // Without this error, a site that sends its metrics to another address would look like a site
    // without requests.
    #[snafu(display("no metrics were read ({lines} lines, {malformed} of them malformed)"))]
    NoMetric { lines: u64, malformed: u64 },
}
