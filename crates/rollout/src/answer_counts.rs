//! Counts of answers by their result.

use wagtailmoor_derive::scalar;

use crate::AnswerKind;

/// Counts of answers by their result.
#[scalar]
#[derive(Default)]
pub struct AnswerCounts {
    /// All attempts with a result, including failures.
    pub answers: u32,
    /// Attempts that failed at the target.
    pub failures: u32,
    /// Answers that took much longer than the old version's mean on the route.
    pub slow: u32,
    /// Sum of the response times of answers without a failure, in milliseconds.
    pub elapsed_ms: u64,
}

impl AnswerCounts {
    /// Counts one answer.
    pub fn record(&mut self, kind: AnswerKind, elapsed_ms: u64) {
        self.answers += 1;
        match kind {
            AnswerKind::Failed => self.failures += 1,
            AnswerKind::Slow => self.slow += 1,
            AnswerKind::Good => {}
        }
        if kind != AnswerKind::Failed {
            self.elapsed_ms += elapsed_ms;
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.slow += other.slow;
        self.elapsed_ms += other.elapsed_ms;
    }
}
