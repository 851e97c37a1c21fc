//! Progressive delivery of a new version of a back end's targets, with automatic rollback.
//!
//! The types are state machines that are driven by time and events; they do no I/O and read no
//! clock. The leader runs a [`RolloutController`] for each back end with an order. Every host has a
//! [`HostRollout`], which limits the requests to the new version and counts its answers.

mod answer_counts;
mod answer_kind;
mod comparison;
mod evidence;
mod exposure_gate;
mod host_rollout;
mod inventory;
mod member_role;
mod owner_use;
mod rollout_action;
mod rollout_controller;
mod rollout_directive;
mod rollout_order;
mod rollout_phase;
mod rollout_report;
mod rollout_row;
mod rollout_settings;
mod rollout_status;
mod version_policy;

pub use answer_counts::AnswerCounts;
pub use answer_kind::AnswerKind;
pub use comparison::Comparison;
pub use evidence::Evidence;
pub use exposure_gate::ExposureGate;
pub use host_rollout::{HostRollout, InFlightGuard};
pub use inventory::{Inventory, NewTarget};
pub use member_role::MemberRole;
pub use owner_use::OwnerUse;
pub use rollout_action::RolloutAction;
pub use rollout_controller::RolloutController;
pub use rollout_directive::RolloutDirective;
pub use rollout_order::RolloutOrder;
pub use rollout_phase::RolloutPhase;
pub use rollout_report::{RolloutReport, RouteCounts, TargetCounts};
pub use rollout_row::{Rollout, RolloutRow};
pub use rollout_settings::RolloutSettings;
pub use rollout_status::{RolloutState, RolloutStatus};
pub use version_policy::{VersionClass, VersionPolicy};
