//! Types shared by all crates: ids, sizes, rates, time, outcomes and hashes.
//!
//! This crate contains no networking, no message formats and no policy.

#[macro_use]
mod macros;

mod clock;
mod era_parts;
mod ids;
mod instant;
mod key_digest;
mod key_hash;
mod millis;
mod outcome;
mod parse_error;
mod reason;
mod reported_duration;
mod sorted_vec;
mod store_time;
mod units;

pub use clock::{Clock, MonotonicClock};
pub use ids::{
    BackEndId, CustomerId, CustomerKeyId, HostId, NodeId, RackId, RegionId, TargetId, TemplateId,
    ZoneId,
};
pub use ids::{
    ConfigVersion, Epoch, Generation, GrantId, Incarnation, RowVersion, SegmentId, ShardKey,
    SlotId, StoreEra, WriteId,
};
pub use instant::Instant;
pub use key_digest::KeyDigest;
pub use key_hash::{KeyHash, home_zone, rendezvous_score};
pub use millis::millis;
pub use outcome::Outcome;
pub use parse_error::ParseError;
pub use reason::Reason;
pub use reported_duration::ReportedDuration;
pub use sorted_vec::SortedVec;
pub use store_time::StoreTime;
pub use units::{ByteCount, PartsPerMillion, Priority, Requests, RequestsPerSecond, Weight};
