//! Result of an admission check.

use std::time::Duration;

use wagtailmoor_core::Reason;

use crate::{Credit, WaitTicket};

/// Result of [`crate::CreditHolder::admit`] and [`crate::CreditHolder::readmit`].
#[derive(Debug)]
#[must_use]
pub enum Admission {
    /// The request may run.
    Admitted(Credit),
    /// No credit is available yet. Call `readmit` after each reply and at the ticket's deadline.
    Wait(WaitTicket),
    /// The request may not run.
    Refused(Refusal),
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The customer is above its rate and burst over all hosts.
    RateExceeded {
        /// Time until the next credit is expected.
        retry_after: Duration,
    },
    /// The customer may be within its rate, but no issuer provided credit.
    CreditUnavailable,
}

impl Refusal {
    /// Returns the reason code that the refusal is reported with.
    pub const fn reason(self) -> Reason {
        match self {
            Self::RateExceeded { .. } => Reason::RateExceeded,
            Self::CreditUnavailable => Reason::CreditUnavailable,
        }
    }
}
