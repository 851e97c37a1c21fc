//! Commands to targets and to the store, and their outcomes.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::Epoch;

use crate::{AssignmentTable, KeyRange, TargetProcess};

/// A command to a target or to the store. The caller executes it and reports the outcome.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Grants a range or renews a grant.
    Grant {
        /// Process that is granted the range.
        process: TargetProcess,
        /// The keys.
        range: KeyRange,
        /// Fencing token.
        epoch: Epoch,
        /// Validity of the grant from its arrival, by the clock of the target.
        validity: Duration,
        /// State of the keys from their previous owner.
        handover: Option<Arc<str>>,
    },
    /// Releases a range. The process responds once its requests on these keys have ended.
    Release {
        /// Process that is to release the range.
        process: TargetProcess,
        /// The keys.
        range: KeyRange,
        /// Fencing token of the release; later grants of these keys have higher ones.
        epoch: Epoch,
    },
    /// Stores the table, provided that the stored version is the one last read or written.
    Store {
        /// The whole table.
        table: AssignmentTable,
    },
}

/// Outcome of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The target accepted the grant.
    Held,
    /// The target has seen a higher epoch for one of the keys.
    Fenced,
    /// No byte of the call reached the target.
    NotDelivered,
    /// The connection was refused, by the host of an exited target or by a network partition. No
    /// proof of an exit.
    Refused,
    /// Another process responds at the target's address, so the process addressed has exited.
    Replaced,
    /// No response; the grant may still take effect.
    Unknown,
}

/// Outcome of a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The requests on the keys have ended.
    Released {
        /// State of the keys for their next owner.
        handover: Option<Arc<str>>,
    },
    /// The connection was refused, by the host of an exited target or by a network partition.
    Refused,
    /// Another process responds at the target's address, so the process addressed has exited.
    Replaced,
    /// No response; the target may still release the range.
    Unknown,
}

/// Outcome of storing the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The table was written.
    Stored,
    /// Another process has stored a table since, so this one must stop assigning ranges.
    Conflict,
    /// The table was not stored; the write can be retried.
    Failed,
}
