//! Reply of a permit issuer.

use std::time::Duration;

use wagtailmoor_derive::value;

use crate::{IssuerTerm, Tag};

/// Reply to one [`crate::PermitRequest`].
#[value]
pub struct PermitReply {
    /// Sequence number of the request.
    pub sequence: u32,
    /// Term of the replying issuer, which grants nothing if the request has another term.
    pub term: IssuerTerm,
    /// Lease in units of 10 ms, counted from the time just before the request was sent. The unit
    /// keeps it to one byte in the encoding.
    ///
    /// Zero means that the request was stale or has another term, so nothing is granted or renewed.
    pub lease_10ms: u8,
    /// Whether the issuer knows all resources that the request omits, and has renewed their
    /// permits.
    pub renewed: bool,
    /// Granted permits, in the order of the request's entries.
    pub grants: Vec<PermitGrant>,
    /// Changed permits of resources that the request omits.
    pub changes: Vec<PermitChange>,
}

/// Changed permits of a resource that the request omits.
#[value]
pub struct PermitChange {
    /// Tag of the resource's id.
    pub resource: Tag,
    /// New permits of the resource.
    pub grant: PermitGrant,
}

/// Permits granted for one resource.
#[value]
#[derive(Default)]
pub struct PermitGrant {
    /// Maximum number of permits that the holder may use at the same time.
    pub allowed: u32,
    /// Whether other nodes wait for permits; the holder then returns free ones at once.
    pub contended: bool,
}

impl PermitReply {
    /// Returns the lease, counted from the time just before the request was sent.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(u64::from(self.lease_10ms) * 10)
    }
}
