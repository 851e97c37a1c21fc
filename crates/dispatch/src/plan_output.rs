//! Actions that a request plan asks of the I/O code.

use wagtailmoor_core::{Instant, TargetId};

use crate::{AttemptId, Observation, Verdict};

/// Action that a request plan asks of the I/O code. The actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanOutput {
    /// Choose a target for an attempt, other than those already tried.
    ///
    /// If the crash ledger refuses the request, the reply is `NoTarget` with reason
    /// `CrashesTargets`.
    Choose {
        /// The attempt that needs a target.
        attempt: AttemptId,
    },
    /// Open a connection to a target, or take one from the pool.
    Connect {
        /// The attempt that needs the connection.
        attempt: AttemptId,
        /// The target to connect to.
        target: TargetId,
    },
    /// Send the request. `BytesSent` must be reported before the first write.
    Send {
        /// The attempt whose connection is used.
        attempt: AttemptId,
    },
    /// Set a timer; it does not replace earlier ones.
    SetTimer {
        /// Time at which the timer expires.
        at: Instant,
    },
    /// Close the connection of an attempt. It must not be returned to the pool.
    Cancel {
        /// The attempt whose connection is closed.
        attempt: AttemptId,
    },
    /// Forward the response head and body of an attempt to the client.
    Answer {
        /// The attempt that received the response.
        attempt: AttemptId,
    },
    /// Report an observation of a target to the target table.
    Observe {
        /// The observed target.
        target: TargetId,
        /// Result of an attempt at the target.
        observation: Observation,
    },
    /// A connection was lost while a target had the request. Record the loss in the crash ledger,
    /// then report it to the target table with the ledger's result.
    Lost {
        /// The target to which the connection was lost.
        target: TargetId,
        /// Time at which the target was assigned to the attempt.
        assigned_at: Instant,
    },
    /// The request has ended. This is the last output of a plan.
    Finish(Verdict),
}
