//! Result of comparing a response with its request.

use wagtailmoor_derive::scalar;

/// Whether a response is complete and belongs to its request.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum ResponseCheck {
    /// No successful response was received, so there is nothing to compare.
    None,
    /// Complete response to this request.
    Own,
    /// Response with the identifiers or the body of another request.
    Foreign,
    /// Truncated response that the client detected, as the body ended with a transport error.
    CutShort,
    /// Truncated response that ended without a transport error.
    SilentlyShort,
}
