//! Records of requests by clients and targets, and a checker of the system's invariants.
//!
//! A history is a JSON Lines file with one [`Record`] per line. [`Checker::check`] looks for
//! violations of the invariants in section 2 of the design page.
//!
//! `todc-utils` checks that the counters of keyed targets are linearizable: it has no dependencies,
//! takes a sequential specification and runs on the calling thread. `porcupine-rs` does the same
//! search faster and with a time limit, but starts a thread for each partition and adds a benchmark
//! framework (`criterion`) as a dependency of the library. The search of `todc-utils` has no time
//! limit, so keys with too many operations are not checked and count as skipped. The other checks
//! compare records of clients with records of targets; neither library has a model for that.

mod at_most_once;
mod body_pattern;
mod check_result;
mod checker;
mod client_request;
mod counter;
mod customer_limit;
mod ending;
mod execution;
mod history;
mod ownership;
mod rate;
mod record;
mod refusals;
mod response_check;
mod responses;
mod segment_tree;
mod target_violations;
mod violation;
mod withdrawal;
mod withdrawals;

pub use body_pattern::BodyPattern;
pub use check_result::CheckResult;
pub use checker::Checker;
pub use client_request::ClientRequest;
pub use customer_limit::CustomerLimit;
pub use ending::Ending;
pub use execution::Execution;
pub use history::{History, HistoryError};
pub use record::Record;
pub use response_check::ResponseCheck;
pub use violation::Violation;
pub use withdrawal::Withdrawal;
