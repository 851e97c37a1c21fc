//! Data of a site: the operators' configuration and the registered targets.
//!
//! The crate contains plain data with lookups. It does no I/O and reads no clock; the adapter of a
//! platform decodes messages into these types.

mod back_end_rule;
mod client_limits;
mod customer_rule;
mod disabled_zones;
mod element_kind;
mod key_match;
mod registry;
mod route_match;
mod route_rule;
mod route_times;
mod site_config;
mod target;
mod unusable_elements;
mod unusable_report;

pub use back_end_rule::BackEndRule;
pub use client_limits::ClientLimits;
pub use customer_rule::CustomerRule;
pub use disabled_zones::DisabledZones;
pub use element_kind::ElementKind;
pub use key_match::KeyMatch;
pub use registry::{Registry, RegistryChange};
pub use route_match::RouteMatch;
pub use route_rule::{RouteRule, SplitPart};
pub use site_config::SiteConfig;
pub use target::{Target, TargetState};
pub use unusable_elements::UnusableElements;
pub use unusable_report::UnusableReport;
