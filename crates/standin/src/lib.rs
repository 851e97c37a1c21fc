//! Stand-ins (fakes) of the platform, keyed targets and pooled targets, for tests and benchmarks.
//!
//! Everything runs on one tokio current-thread runtime inside a `LocalSet`. `Platform::bind` and
//! `Target::bind` return handles with addresses; `StandIn` starts all listeners of a settings file.
//! The stand-ins do not simulate a cluster.

mod clock;
mod cold;
mod connections;
mod context;
mod control;
mod execution_guard;
mod execution_log;
mod fault_switches;
mod grant_messages;
mod grants;
mod host_list;
mod key_store;
mod load_report;
mod patch;
mod platform;
mod platform_settings;
mod query;
mod rate_cap;
mod reply;
mod response;
mod service_time;
mod settings;
mod slots;
mod stand_in;
mod table;
mod table_messages;
mod target;
mod target_handler;
mod target_settings;
mod work;

pub use clock::StandInClock;
pub use cold::ColdSettings;
pub use context::Context;
pub use control::Control;
pub use execution_log::ExecutionLog;
pub use grant_messages::{
    ClockReading, GrantRefusal, GrantReply, GrantRequest, HeldGrants, RevocationReply,
};
pub use grants::{AdmissionId, AdmissionRequest, Grants};
pub use host_list::{HostList, HostState, NodeEntry, TargetEntry};
pub use load_report::{LoadReport, LoadState};
pub use platform::Platform;
pub use platform_settings::{Outage, PlatformSettings};
pub use service_time::ServiceTime;
pub use settings::{Settings, SettingsError, TargetGroup};
pub use stand_in::StandIn;
pub use table::{Conflict, Row, Table};
pub use table_messages::{Transaction, Write};
pub use target::Target;
pub use target_settings::{TargetKind, TargetSettings};
pub use wagtailmoor_history::Violation;
