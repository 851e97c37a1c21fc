//! Common interface of credit and permit issuers.

use wagtailmoor_core::Instant;

use crate::IssuerTerm;

/// Issuer of credits or permits.
///
/// The caller passes requests to it only while this node has authority as controller of the zone.
pub trait Issuer {
    /// Request of a holder.
    type Request;
    /// Reply to the holder.
    type Reply;

    /// Returns the term of this issuer.
    fn term(&self) -> IssuerTerm;

    /// Handles a request of a holder and returns the reply.
    fn on_request(&mut self, now: Instant, request: &Self::Request) -> Self::Reply;
}
