//! Exclusive ownership of key ranges: which target owns a range, when the range moves to another
//! target, and when a grant may be sent.
//!
//! The types are state machines that are driven by time and events; they do no I/O and read no
//! clock. Only the leader of a site runs a [`RangeAssigner`]; every node looks up owners in the
//! [`AssignmentTable`] that the leader stores.

mod assigner_settings;
mod assignment;
mod assignment_table;
mod authority;
mod balancer;
mod command;
mod compact_table;
mod epoch_block;
mod epoch_source;
mod key_load;
mod key_range;
mod load_averages;
mod member;
mod member_set;
mod owner_removal;
mod placement;
mod process_fault;
mod range_assigner;
mod range_entry;
mod range_list;
mod range_share;
mod rebalancing;
mod release;
mod table_writer;
mod target_process;

pub use assigner_settings::AssignerSettings;
pub use assignment::Assignment;
pub use assignment_table::AssignmentTable;
pub use authority::Authority;
pub use balancer::{Balancer, Move};
pub use command::{Command, GrantOutcome, ReleaseOutcome, StoreOutcome};
pub use epoch_block::EpochBlock;
pub use key_load::KeyLoad;
pub use key_range::KeyRange;
pub use member::Member;
pub use range_assigner::RangeAssigner;
pub use range_share::{RangeShare, TargetCapacity};
pub use target_process::TargetProcess;
