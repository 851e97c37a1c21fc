//! Reason codes of refused requests and unknown outcomes.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_derive::scalar;

use crate::ParseError;

macro_rules! reasons {
    ($($(#[$meta:meta])* $name:ident = $code:literal,)*) => {
        /// Why a request was refused or its outcome is unknown.
        #[scalar]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$meta])* $name,)*
        }

        impl Reason {
            /// Every reason, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the reason code that clients see.
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest = "bad-request",
    /// The head exceeds its size limit.
    HeadTooLarge = "head-too-large",
    /// The head or body did not arrive in time.
    ClientTooSlow = "client-too-slow",
    /// The customer key is missing.
    KeyMissing = "key-missing",
    /// The customer key is unknown or withdrawn.
    KeyRefused = "key-refused",
    /// The configuration is too old to tell whether the customer key was withdrawn.
    KeyUnverified = "key-unverified",
    /// The customer may not use this route.
    RouteForbidden = "route-forbidden",
    /// No route matches.
    RouteUnknown = "route-unknown",
    /// The route needs an `Idempotency-Key`.
    IdempotencyKeyRequired = "idempotency-key-required",
    /// A request with this `Idempotency-Key` ran before, or may have.
    Duplicate = "duplicate",
    /// The attempt record could not be written.
    RecordUnavailable = "record-unavailable",
    /// The customer is above its rate and burst.
    RateExceeded = "rate-exceeded",
    /// The customer is within its rate, but this node holds no credit for it.
    CreditUnavailable = "credit-unavailable",
    /// The queue of the back end is full.
    QueueFull = "queue-full",
    /// The deadline passed or can no longer be met.
    DeadlineExceeded = "deadline-exceeded",
    /// The key is moving to another owner.
    OwnerMoving = "owner-moving",
    /// The key has no owner at present.
    OwnerUnknown = "owner-unknown",
    /// The owner of the key cannot be reached.
    OwnerUnreachable = "owner-unreachable",
    /// No target of the back end can take the request.
    TargetUnavailable = "target-unavailable",
    /// The target refused the request before running it.
    TargetRefused = "target-refused",
    /// The connection to the target failed after bytes were sent.
    TargetLost = "target-lost",
    /// The request has crashed targets before.
    CrashesTargets = "crashes-targets",
    /// The node is shutting down.
    ShuttingDown = "shutting-down",
    /// The node has no configuration yet, or none that it can use for the request.
    NotReady = "not-ready",
    /// Too many connections are open.
    TooManyConnections = "too-many-connections",
}

impl Display for Reason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(self.code())
    }
}

impl FromStr for Reason {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.code() == text)
            .ok_or_else(|| ParseError::new("reason", text, "a documented reason code"))
    }
}
