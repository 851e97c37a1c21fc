//! Result of acquiring a permit.

use crate::Permit;

/// Result of [`crate::PermitHolder::acquire`].
#[derive(Debug)]
#[must_use]
pub enum AcquireResult {
    /// The request may run.
    Granted(Permit),
    /// No permit of this node is free; the next request to the issuer asks for more.
    Busy,
    /// The lease has expired without a reply from the issuer, or the resource is unknown.
    Unavailable,
}

impl AcquireResult {
    /// Returns the permit, or `None` if none was granted.
    pub fn granted(self) -> Option<Permit> {
        match self {
            Self::Granted(permit) => Some(permit),
            Self::Busy | Self::Unavailable => None,
        }
    }
}
