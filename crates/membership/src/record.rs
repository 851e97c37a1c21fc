//! The state of a member as sent in a digest.

use std::net::SocketAddr;

use wagtailmoor_core::{Incarnation, NodeId, RackId, ZoneId};
use wagtailmoor_derive::{scalar, value};

/// The state of a member as sent in a digest.
#[value]
pub struct MemberRecord {
    /// Id of the member.
    pub node: NodeId,
    /// Address for messages between entry processes.
    pub address: SocketAddr,
    /// Zone of the member.
    pub zone: ZoneId,
    /// Rack of the member.
    pub rack: RackId,
    /// Incarnation of its process. A record of a lower incarnation is out of date.
    pub incarnation: Incarnation,
    /// Latest known state.
    pub state: RecordState,
    /// Time since the contact or failure behind this state, in milliseconds.
    pub age_ms: u32,
}

/// The latest known state of a member.
#[scalar]
pub enum RecordState {
    /// The last contact with the member succeeded.
    Reachable,
    /// The member has announced that it is about to stop.
    Leaving,
    /// The member did not respond at the last contact.
    Unreachable,
}

impl MemberRecord {
    /// Returns the length of the record in an encoding with fixed-size integers and 8-byte lengths.
    pub(crate) fn encoded_len(&self) -> usize {
        let text = [self.node.as_str(), self.zone.as_str(), self.rack.as_str()];
        let text_len: usize = text.iter().map(|text| 8 + text.len()).sum();
        let address_len = if self.address.is_ipv4() { 4 + 4 + 2 } else { 4 + 16 + 2 };
        text_len + address_len + 8 + 4 + 4
    }
}
