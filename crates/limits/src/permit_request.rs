//! Request for permits.

use wagtailmoor_core::{Incarnation, NodeId};
use wagtailmoor_derive::value;

use crate::{IssuerTerm, Tag};

/// Request of a node for the resources of all targets in a zone.
///
/// Unchanged resources are omitted. Most connection permits never change, and would take up a third
/// of the byte budget.
#[value]
pub struct PermitRequest {
    /// Requesting node.
    pub node: NodeId,
    /// Incarnation of the node; each one starts its own sequence numbers.
    pub incarnation: Incarnation,
    /// Sequence number of this request; the holder ignores replies to earlier ones.
    pub sequence: u32,
    /// Term of the issuer that the holder expects to reach.
    pub term: IssuerTerm,
    /// Sequence number of the last request whose reply was applied.
    pub acknowledged: u32,
    /// Number of omitted resources of which permits are held or wanted.
    pub omitted: u32,
    /// Resources whose held or wanted permits have changed or were not confirmed by a reply.
    ///
    /// The others are as last reported, and their permits are renewed as well.
    pub entries: Vec<PermitRequestEntry>,
}

/// Permits that a node holds and wants for one resource.
#[value]
pub struct PermitRequestEntry {
    /// Tag of the resource's id.
    pub resource: Tag,
    /// Permits in use or free at the holder.
    pub held: u32,
    /// Permits that the holder has use for.
    pub wanted: u32,
    /// Whether the target responded as cold; repeated until the issuer has replied.
    pub cold: bool,
}
