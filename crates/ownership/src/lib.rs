//! Exclusive ownership of keys: placement, grants, failover, planned moves, rehoming and routes.
//!
//! This crate contains state machines that take the time and inputs as arguments. It does no I/O,
//! reads no clock and encodes no messages; randomness comes from the seeded generator passed to
//! [`Controller::new`].

mod assignment;
mod back_end;
mod context;
mod controller;
mod grant;
mod grant_batch;
mod heat_rule;
mod heat_sketch;
mod input;
mod move_plan;
mod output;
mod placement;
mod rehoming;
mod route;
mod route_pulls;
mod route_table;
mod route_update;
mod row_state;
mod row_writes;
mod segment_row;
mod settings;
mod successors;
mod takeover;
mod target;
mod target_table;
mod unit;
mod unit_state;

pub use assignment::Assignment;
pub use controller::{Authority, Controller};
pub use grant::{Grant, GrantReply, HeldReply, HeldUnit, QueryHeld, Revoke, TargetClock};
pub use heat_rule::{HeatRule, HotKeyChange};
pub use heat_sketch::HeatSketch;
pub use input::{HeldRoutes, Input, RowSource, StoredRow, WriteResult, ZoneState};
pub use output::{Output, ReadRows, RowWrite, WriteRows};
pub use placement::{Candidate, Item, Placed, Placement};
pub use route::Route;
pub use route_table::RouteTable;
pub use route_update::{BackEndRoutes, RouteEntry, RoutePull, RouteStamp, RouteState, RouteUpdate};
pub use segment_row::{HotKey, SegmentRow};
pub use settings::{BackEndSettings, Fencing, OwnershipSettings};
pub use target::{Target, TargetState};
pub use unit::Unit;
