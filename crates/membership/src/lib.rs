//! Gossip membership: tracks which nodes are live and chooses the peer of the next digest exchange.
//!
//! The crate makes decisions and does no I/O: [`Membership`] takes the current time and an input
//! and returns outputs. Its view is a hint about where to send work and never decides ownership.
//! See section 7.3 of `docs/design.md`.

mod digest;
mod losses;
mod member;
mod membership;
mod record;
mod rotation;
mod versions;

pub use digest::Digest;
pub use losses::{Losses, LossesTooLarge};
pub use member::Liveness;
pub use membership::{Exchange, HostListEntry, Membership, SeedAddress};
pub use record::{MemberRecord, RecordState};
pub use versions::Versions;
