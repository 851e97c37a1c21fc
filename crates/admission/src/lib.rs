//! Admission of requests under customer limits, and the choice of the target for a request.
//!
//! The types are state machines that are driven by time and events; they do no I/O and read no
//! clock. Limits that apply to all nodes together are divided among the nodes. For customer limits,
//! the [`LimitIssuer`] on the leader and the [`CustomerLimits`] on every node do so; [`ColdGate`]
//! divides the limits of cold targets by the list of nodes.

mod cold_gate;
mod customer_limits;
mod event_rate;
mod holding_limit;
mod limit_issuer;
mod limit_settings;
mod load_sample;
mod node_allowance;
mod report_timing;
mod room_allocator;
mod room_gate;
mod room_reply;
mod room_report;
mod split_candidate;
mod target_load;
mod target_picker;
mod target_speeds;
mod unanswered_list;

pub use cold_gate::ColdGate;
pub use customer_limits::CustomerLimits;
pub use holding_limit::HoldingLimit;
pub use limit_issuer::LimitIssuer;
pub use limit_settings::LimitSettings;
pub use load_sample::LoadSample;
pub use node_allowance::{CustomerUsage, NodeAllowance};
pub use report_timing::ReportTiming;
pub use room_allocator::RoomAllocator;
pub use room_gate::RoomGate;
pub use room_reply::{MilliRequests, RoomReply, TargetRoom};
pub use room_report::{BackEndArrivals, RoomReport, TargetOccupancy};
pub use split_candidate::SplitCandidate;
pub use target_load::{RunningGuard, TargetLoad};
pub use target_picker::{PickCriteria, Picked, TargetPicker};
pub use target_speeds::{TargetObservations, TargetSpeeds};
pub use unanswered_list::UnansweredGuard;
