//! The event loop of a router process on a platform with a table, a registry and operators.
//!
//! The crate connects the decisions of `site`, `ranges`, `admission` and `dispatch` to sockets. A
//! platform implements four traits: [`SiteDecoder`], [`TargetControl`], and the store's `Table` and
//! `ChangeFeed`. The front end's `Dialect` translates messages of clients and targets.

mod admission_control;
mod answer_clock;
mod boot_clock;
mod change_source;
mod confirmation_wait;
mod decision_gate;
mod epoch_reservation;
mod feeds;
mod gateway;
mod grant_loop;
mod granter;
mod granters;
mod leader_lease;
mod leader_loop;
mod leader_view;
mod log_lines;
mod metrics_page;
mod node_address;
mod node_settings;
mod node_status;
mod peer_failure;
mod peer_link;
mod peer_polling;
mod peer_service;
mod ready_page;
mod replica;
mod replica_messages;
mod replica_outcomes;
mod replica_table;
mod report_loop;
mod restored_rows;
mod rollout_loop;
mod rollouts;
mod room_at_targets;
mod router;
mod row_cache;
mod row_origin;
mod row_source;
mod site_decoder;
mod split;
mod state;
mod stats;
mod table_feed;
mod target_choice;
mod target_control;
mod zone_traffic;

pub use answer_clock::AnswerClock;
pub use boot_clock::BootClock;
pub use change_source::ChangeSource;
pub use decision_gate::{Confirmation, DataSource, DecisionGate};
pub use gateway::{AttemptGuard, CreditGuard};
pub use leader_lease::{LeaderLease, LeaderRow, LeaseAction};
pub use leader_view::LeaderView;
pub use node_address::NodeAddress;
pub use node_settings::{LimitBounds, NodeSettings};
pub use node_status::{
    CustomerStatus, LeaderStatus, NodeStatus, RangeStatus, RolloutView, TargetStatus,
};
pub use peer_failure::PeerFailure;
pub use peer_polling::{PeerPolling, PendingCall};
pub use replica::Replica;
pub use replica_messages::{KnownVersions, MissingRows, NewestRows};
pub use replica_outcomes::{FeedAnswer, FeedFailure, PeerRows};
pub use replica_table::ReplicaTable;
pub use router::{Router, StartError, start};
pub use row_cache::RowCache;
pub use site_decoder::{OperatorChange, SiteDecoder, UnusableRow};
pub use table_feed::FeedCall;
pub use target_control::{GrantCall, ReleaseCall, TargetControl};
pub use wagtailmoor_rollout::{RolloutOrder, RolloutSettings, RolloutState, RolloutStatus};
