//! Reply of a credit issuer.

use std::time::Duration;

use wagtailmoor_derive::value;

use crate::IssuerTerm;

/// Reply to one [`crate::CreditRequest`].
#[value]
pub struct CreditReply {
    /// Sequence number of the request.
    pub sequence: u32,
    /// Term of the replying issuer.
    pub term: IssuerTerm,
    /// Issue slot of the credits; the holder repeats it when it settles them.
    pub issue_slot: u32,
    /// Granted credits, in the order of the request's entries.
    pub grants: Vec<CreditGrant>,
}

/// Credits granted for one customer.
#[value]
#[derive(Default)]
pub struct CreditGrant {
    /// Number of credits.
    pub credits: u32,
    /// Validity in units of 10 ms, counted from the time just before the request was sent. The unit
    /// keeps it to one byte in the encoding.
    ///
    /// Zero means that the issuer does not issue for this customer, or does not yet.
    pub validity_10ms: u8,
    /// Time until the next credit if the issuer is short of credit, or until it starts to issue if
    /// it has not yet started; otherwise 0.
    pub retry_ms: u32,
}

impl CreditGrant {
    /// Returns the validity of the credits.
    pub fn validity(&self) -> Duration {
        Duration::from_millis(u64::from(self.validity_10ms) * 10)
    }
}
