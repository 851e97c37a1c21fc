//! History of client submissions, replies and executions, and the checks on it.

use wagtailmoor_core::{CustomerId, Outcome};
use wagtailmoor_dispatch::{RecordRefusal, Verdict};

use super::budget;

/// Violation found by a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    RanTwice,
    FalseNotRun,
    ForeignAnswer,
    FalseDuplicate,
    OverBudget,
    ColdOverload,
    CrashNotRefused,
    WrongRefusal,
    CannotRun,
    NotServed,
    GuardLeft,
}

/// One logical operation of a client, which may be submitted several times.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) customer: CustomerId,
    pub(crate) idempotent: bool,
    pub(crate) crashes_targets: bool,
    pub(crate) path: String,
}

/// Reply to a client.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Ended { verdict: Verdict, content: Option<usize> },
    Record(RecordRefusal),
    Crashes,
}

impl Reply {
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::Ended { verdict, .. } => verdict.outcome,
            Self::Record(RecordRefusal::Unavailable) | Self::Crashes => Outcome::NotRun,
            Self::Record(RecordRefusal::Duplicate { outcome, .. }) => *outcome,
        }
    }
}

/// One submission of an operation to a node.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) operation: usize,
    pub(crate) reply: Option<Reply>,
}

#[derive(Default)]
pub(crate) struct History {
    pub(crate) operations: Vec<Operation>,
    pub(crate) submissions: Vec<Submission>,
    /// Submissions in the order in which targets ran them.
    pub(crate) executions: Vec<usize>,
    pub(crate) first_attempts: u32,
    pub(crate) sends: u32,
    pub(crate) node_starts: u32,
    pub(crate) steps: u64,
    pub(crate) violations: Vec<Violation>,
}

impl History {
    pub(crate) fn add_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    pub(crate) fn require(&mut self, holds: bool, violation: Violation) {
        if !holds {
            self.add_violation(violation);
        }
    }

    pub(crate) fn replies(&self, operation: usize) -> impl Iterator<Item = Option<&Reply>> {
        let of = self.submissions.iter().filter(move |sent| sent.operation == operation);
        of.map(|sent| sent.reply.as_ref())
    }

    pub(crate) fn runs(&self, operation: usize) -> usize {
        let of = |submission: &&usize| self.submissions[**submission].operation == operation;
        self.executions.iter().filter(of).count()
    }

    /// Runs the checks that need the complete history.
    pub(crate) fn check(&mut self) {
        for operation in 0..self.operations.len() {
            let is_run_count_allowed =
                self.operations[operation].idempotent || self.runs(operation) <= 1;
            self.require(is_run_count_allowed, Violation::RanTwice);
        }
        for submission in 0..self.submissions.len() {
            self.check_submission(submission);
        }
        let bound = f64::from(self.first_attempts) * (1.0 + budget::SHARE)
            + f64::from(self.node_starts) * budget::INITIAL;
        self.require(f64::from(self.sends) <= bound, Violation::OverBudget);
    }

    fn check_submission(&mut self, submission: usize) {
        let Submission { operation, reply } = self.submissions[submission].clone();
        let Some(reply) = reply else { return };
        let ran = self.executions.contains(&submission);
        self.require(!(ran && reply.outcome() == Outcome::NotRun), Violation::FalseNotRun);
        match reply {
            Reply::Ended { content: Some(content), .. } => {
                self.require(content == operation, Violation::ForeignAnswer);
            }
            Reply::Record(RecordRefusal::Duplicate { outcome: Outcome::Answered, .. }) => {
                let runs = self.runs(operation);
                self.require(runs == 1, Violation::FalseDuplicate);
            }
            _ => {}
        }
    }
}
