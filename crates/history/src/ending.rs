//! Status of an execution.

use wagtailmoor_derive::scalar;

/// Whether an execution is still running, and how it ended otherwise.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The work has not ended.
    Running,
    /// The work took effect and the complete response was passed to the connection.
    Completed,
    /// The connection was closed before the work took effect or the response was passed to it.
    Cancelled,
    /// The target crashed during the work.
    Crashed,
    /// The deadline passed during the work.
    DeadlineExceeded,
    /// The work took effect and the response was truncated by an injected fault.
    CutShort,
}
