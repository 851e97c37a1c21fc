//! The configuration: its changes, its propagation between nodes and its freshness.
//!
//! A configuration is the result of applying all changes in order; its version is the number of
//! changes. This crate validates changes and compares versions; it does no I/O.

mod access;
mod back_end;
mod change;
mod change_error;
mod change_log;
mod change_record;
mod configuration;
mod customer;
mod freshness;
mod objective;
mod path_pattern;
mod propagation;
mod resolved_route;
mod route;
mod service_state;
mod snapshot;
mod template;

pub use access::{AccessError, Admitted};
pub use back_end::{BackEndKind, BackEndTemplate, ColdStart, GrantCheck, RefusalTrust};
pub use change::Change;
pub use change_error::ChangeError;
pub use change_log::ChangeLog;
pub use change_record::ChangeRecord;
pub use configuration::{Configuration, CustomerKey, ZoneEntry};
pub use customer::Customer;
pub use freshness::Freshness;
pub use objective::Objective;
pub use path_pattern::{PathMatch, PathPattern};
pub use propagation::{MergeOutcome, Propagation};
pub use resolved_route::ResolvedRoute;
pub use route::{IdempotencyKeyUse, RouteTemplate};
pub use service_state::ServiceState;
pub use snapshot::Snapshot;
pub use template::Template;
