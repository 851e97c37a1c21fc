//! Admission of requests under customer limits, and the choice of the target for a request.
//!
//! The types are state machines that are driven by time and events; they do no I/O and read no
//! clock. Limits that apply to all nodes together are divided among the nodes. For customer limits,
//! the [`LimitIssuer`] on the leader and the [`CustomerLimits`] on every node do so; [`ColdGate`]
//! divides the limits of cold targets by the list of nodes.
//! The [`AdmissionController`] on the leader decides which requests to overloaded back ends are
//! admitted, and the [`AdmissionGate`] on every node applies that.

mod admission_controller;
mod admission_gate;
mod admitted_shares;
mod back_end_demand;
mod cold_gate;
mod customer_limits;
mod demand_counter;
mod division;
mod event_rate;
mod holding_limit;
mod keyed_demand;
mod limit_issuer;
mod limit_settings;
mod load_sample;
mod new_usage;
mod node_allowance;
mod pooled_overload;
mod report_timing;
mod reporter;
mod request_class;
mod return_delay;
mod room_allocator;
mod room_gate;
mod room_reply;
mod room_report;
mod split_candidate;
mod target_load;
mod target_picker;
mod target_speeds;
mod unanswered_list;
mod usage_report;

pub use admission_controller::AdmissionController;
pub use admission_gate::AdmissionGate;
pub use admitted_shares::{AdmittedShares, KeyedShare, PriorityShare};
pub use back_end_demand::BackEndDemand;
pub use cold_gate::ColdGate;
pub use customer_limits::CustomerLimits;
pub use demand_counter::DemandCounter;
pub use holding_limit::HoldingLimit;
pub use limit_issuer::LimitIssuer;
pub use limit_settings::LimitSettings;
pub use load_sample::LoadSample;
pub use node_allowance::{CustomerUsage, NodeAllowance};
pub use pooled_overload::PooledCapacity;
pub use report_timing::ReportTiming;
pub use request_class::RequestClass;
pub use return_delay::RefusedRequest;
pub use room_allocator::RoomAllocator;
pub use room_gate::RoomGate;
pub use room_reply::{MilliRequests, RoomReply, TargetRoom};
pub use room_report::{BackEndArrivals, RoomReport, TargetOccupancy};
pub use split_candidate::SplitCandidate;
pub use target_load::{RunningGuard, TargetLoad};
pub use target_picker::{PickCriteria, Picked, TargetPicker};
pub use target_speeds::{TargetObservations, TargetSpeeds};
pub use unanswered_list::UnansweredGuard;
pub use usage_report::{UsagePeriod, UsageReport};
