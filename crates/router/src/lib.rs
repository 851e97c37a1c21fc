//! The event loop of a router process on a platform with a table, a registry and operators.
//!
//! It wires the decisions of `site`, `ranges`, `admission` and `dispatch` to sockets. What is
//! specific to a platform comes in through four traits: [`SiteDecoder`], [`TargetControl`], and
//! the store's `Table` and `ChangeFeed`; messages of clients and targets through the front end's
//! `Dialect`.

mod admitted_shares;
mod boot_clock;
mod change_source;
mod feeds;
mod gateway;
mod grant_loop;
mod helpless;
mod lead;
mod leader_lease;
mod leader_loop;
mod log_lines;
mod metrics_page;
mod node_address;
mod node_settings;
mod node_status;
mod peer_link;
mod peer_service;
mod ready_page;
mod report_loop;
mod router;
mod row_cache;
mod row_source;
mod site_decoder;
mod state;
mod stats;
mod target_choice;
mod target_control;

pub use boot_clock::BootClock;
pub use change_source::ChangeSource;
pub use gateway::CreditGuard;
pub use helpless::Helpless;
pub use lead::Lead;
pub use leader_lease::{LeaderLease, LeaderRow, LeaseAction};
pub use node_address::NodeAddress;
pub use node_settings::{LimitBounds, NodeSettings};
pub use node_status::{CustomerStatus, LeaderStatus, NodeStatus, RangeStatus, TargetStatus};
pub use router::{Router, StartError, start};
pub use site_decoder::{OperatorChange, SiteDecoder, UnusableRow};
pub use target_control::{GrantCall, ReleaseCall, TargetControl};
