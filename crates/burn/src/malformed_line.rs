//! Examples of malformed lines.

use serde::Serialize;

/// A malformed line, for display in the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MalformedLine {
    /// The line, truncated if it is long.
    pub line: String,
    /// Error message.
    pub fault: String,
}
