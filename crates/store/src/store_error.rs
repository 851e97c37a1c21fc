//! Errors of platform requests.

use snafu::Snafu;

/// An error of a platform request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The platform is down, overloaded or unreachable.
    #[snafu(display("the platform is unavailable: {cause}"))]
    Unavailable {
        /// The status or transport error.
        cause: String,
    },
    /// The response violates the platform's interface.
    #[snafu(display("unexpected response from the platform: {cause}"))]
    Protocol {
        /// The unexpected status or the decoding error.
        cause: String,
    },
}
