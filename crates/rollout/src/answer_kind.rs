//! Result of an attempt, as evidence for or against a version.

/// Result of an attempt, as evidence for or against a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Answered in the usual time.
    Good,
    /// Answered late.
    Slow,
    /// A server error, a lost connection, or no answer by the deadline.
    Failed,
}
