//! Errors in input lines.

use snafu::Snafu;

/// Reason for which a line is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LineError {
    /// A line of a recording does not begin with a timestamp.
    #[snafu(display("no time stamp in milliseconds"))]
    Timestamp,
    /// The line does not have the form `name:value|type`.
    #[snafu(display("not of the form name:value|type"))]
    Format,
    /// The value is not an unsigned 32-bit integer, or the type is wrong for this metric.
    #[snafu(display("wrong value or type"))]
    Value,
    /// A tag is missing or has an invalid value.
    #[snafu(display("missing or wrong tag {tag}"))]
    Tag {
        /// Name of the tag.
        tag: &'static str,
    },
    /// The line has a sample rate or another extension; ignoring it would give wrong counts.
    #[snafu(display("unsupported extension"))]
    Extension,
}
