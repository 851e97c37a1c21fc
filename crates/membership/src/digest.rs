//! The gossip message that two nodes exchange.

use wagtailmoor_core::ByteCount;
use wagtailmoor_derive::value;

use crate::{MemberRecord, Versions};

/// The gossip message that two nodes exchange.
#[value]
pub struct Digest {
    /// Record of the node that sends the digest.
    pub sender: MemberRecord,
    /// Version numbers of the sender.
    pub versions: Versions,
    /// Records of some other members, as known to the sender.
    pub records: Vec<MemberRecord>,
}

impl Digest {
    /// Maximum number of records.
    pub const MAX_RECORDS: usize = 8;
    /// Maximum encoded size in bytes. A node sends about four digests a second, which keeps its
    /// traffic below 8 KB/s.
    pub const MAX_BYTES: usize = 1_800;

    /// Returns the size in an encoding with fixed-size integers and 8-byte lengths.
    pub fn size(&self) -> ByteCount {
        ByteCount::new(u64::try_from(self.encoded_len()).unwrap_or(u64::MAX))
    }

    pub(crate) fn encoded_len(&self) -> usize {
        let records_len: usize = self.records.iter().map(MemberRecord::encoded_len).sum();
        self.sender.encoded_len() + self.versions.encoded_len() + 8 + records_len
    }

    /// Adds a record unless the digest would exceed its bounds. Returns whether it was added.
    pub(crate) fn push(&mut self, record: MemberRecord) -> bool {
        let fits = self.records.len() < Self::MAX_RECORDS
            && self.encoded_len() + record.encoded_len() <= Self::MAX_BYTES;
        if fits {
            self.records.push(record);
        }
        fits
    }
}
