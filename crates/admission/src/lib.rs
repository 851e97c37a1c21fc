//! Which requests are taken, and which target runs them.
//!
//! Everything here is a state machine over time and input. It does no I/O and reads no clock.
//! Limits that hold over all nodes together are divided into shares: [`LimitIssuer`] runs in one
//! process and [`CustomerLimits`] in every process; [`ColdGate`] divides by the list of nodes.

mod cold_gate;
mod customer_limits;
mod limit_issuer;
mod limit_settings;
mod load_sample;
mod node_allowance;
mod target_load;
mod target_picker;
mod target_speeds;

pub use cold_gate::ColdGate;
pub use customer_limits::CustomerLimits;
pub use limit_issuer::LimitIssuer;
pub use limit_settings::LimitSettings;
pub use load_sample::LoadSample;
pub use node_allowance::{CustomerUse, NodeAllowance};
pub use target_load::{Running, TargetLoad};
pub use target_picker::{Demand, Picked, TargetPicker};
pub use target_speeds::{ServiceTime, TargetSpeeds};
