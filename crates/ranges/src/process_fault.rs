//! What the outcome of a grant reveals about the process that it was sent to.

/// What the outcome of a grant reveals about the process that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessFault {
    /// The process has exited.
    Exited,
    /// The process could not be reached until its grants expired.
    Unreachable,
}
