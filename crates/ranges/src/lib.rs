//! Exclusive ownership of ranges of keys: who owns what, when it moves, and what may be granted.
//!
//! Everything here is a state machine over time and input. It does no I/O and reads no clock. One
//! process of a site at a time runs a [`Granter`]; every process looks owners up in the
//! [`AssignmentTable`] that the granter stores.

mod assignment;
mod assignment_table;
mod authority;
mod balancer;
mod compact_table;
mod ended_targets;
mod granter;
mod granter_settings;
mod held_range;
mod holder;
mod key_load;
mod key_range;
mod member;
mod order;
mod range_list;
mod range_share;
mod release;

pub use assignment::Assignment;
pub use assignment_table::AssignmentTable;
pub use authority::Authority;
pub use balancer::{Balancer, Move};
pub use ended_targets::EndedTargets;
pub use granter::Granter;
pub use granter_settings::GranterSettings;
pub use holder::Holder;
pub use key_load::KeyLoad;
pub use key_range::KeyRange;
pub use member::Member;
pub use order::{GrantOutcome, Order, ReleaseOutcome, StoreOutcome};
pub use range_share::{RangeShare, Room};
