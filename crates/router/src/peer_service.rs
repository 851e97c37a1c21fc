//! The `tarpc` service between router processes.

use snafu::Snafu;
use wagtailmoor_admission::{
    AdmittedShares, BackEndDemand, NodeAllowance, RoomReply, RoomReport, TargetObservations,
    UsageReport,
};
use wagtailmoor_core::{BackEndId, NodeId, Priority, RowVersion, ShardKey};
use wagtailmoor_derive::value;
use wagtailmoor_dispatch::{LedgerVersion, SuspectReport, SuspectUpdate};
use wagtailmoor_rollout::{RolloutDirective, RolloutReport};

use crate::NodeAddress;
use crate::leader_lease::LeaderRow;
use crate::replica_messages::{KnownVersions, MissingRows, NewestRows};

/// The called node is stopping and does not answer.
#[value]
#[derive(Snafu)]
#[snafu(display("the node is stopping"))]
pub(crate) struct Stopping;

/// Number of requests on each key of a back end, by priority.
#[value]
pub(crate) struct KeyCounts {
    pub(crate) back_end: BackEndId,
    pub(crate) keys: Vec<((ShardKey, Priority), u32)>,
}

/// A node's report to the leader, with its counts since the last report.
#[value]
pub(crate) struct NodeReport {
    pub(crate) from: NodeAddress,
    /// Version of the list of nodes that the reporting node has.
    pub(crate) nodes_version: u64,
    pub(crate) keys: Vec<KeyCounts>,
    /// Requests for pooled back ends.
    pub(crate) demand: Vec<BackEndDemand>,
    /// Usage of customers' limits since the last report that was answered.
    pub(crate) used: UsageReport,
    /// Requests during which this node lost targets and that the leader has not confirmed yet.
    pub(crate) suspects: Vec<SuspectReport>,
    /// Version of the leader's crash ledger that the reporting node has merged.
    pub(crate) ledger_version: LedgerVersion,
    /// Whether the store answered the reporting node recently, so that it could lead.
    pub(crate) can_lead: bool,
    /// Service times of targets.
    pub(crate) service: Vec<TargetObservations>,
    /// Answers of old and new versions, for back ends with an active rollout.
    pub(crate) rollouts: Vec<RolloutReport>,
    /// The newest rows that the reporting node knows.
    pub(crate) newest_rows: NewestRows,
    /// Unanswered requests by target; empty unless targets reject requests or fall silent.
    pub(crate) room: RoomReport,
}

/// The answer to a report.
#[value]
pub(crate) struct LeaderReply {
    /// Whether the answering node leads.
    pub(crate) leads: bool,
    /// Whether the answering node leads but has failed to renew its lease in time.
    pub(crate) renewal_overdue: bool,
    /// The answering node.
    pub(crate) from: NodeId,
    /// The newest leader's row that the answering node knows.
    pub(crate) leader: Option<ObservedLeader>,
    /// Version of the leader's list of nodes.
    pub(crate) nodes_version: u64,
    /// The list of nodes; `None` if the caller has this version, or the leader is new.
    pub(crate) nodes: Option<Vec<NodeAddress>>,
    /// Number of nodes by which limits are divided.
    pub(crate) site_nodes: u32,
    pub(crate) allowances: Vec<NodeAllowance>,
    /// Admitted shares of back ends that get more requests than can be run in time.
    pub(crate) shares: Vec<AdmittedShares>,
    /// Requests that crash targets and that the caller does not know yet.
    pub(crate) suspects: SuspectUpdate,
    /// Instructions for active rollouts.
    pub(crate) rollouts: Vec<RolloutDirective>,
    /// Full targets.
    pub(crate) room: RoomReply,
    /// The newest rows that the answering node knows.
    pub(crate) newest_rows: NewestRows,
}

/// The answer to a call for rows.
#[value]
pub(crate) struct RelayedRows {
    pub(crate) rows: MissingRows,
    /// The newest leader's row that the answering node knows.
    pub(crate) leader: Option<ObservedLeader>,
}

/// The newest leader's row that a node knows.
#[value]
pub(crate) struct ObservedLeader {
    pub(crate) row: LeaderRow,
    pub(crate) version: RowVersion,
}

/// Calls between router processes.
#[tarpc::service]
pub(crate) trait RouterPeer {
    /// Reports load and demand to the leader; another node answers that it does not lead.
    async fn report(report: NodeReport) -> Result<LeaderReply, Stopping>;
    /// Returns the rows of the store that the caller does not have. If there are none, waits for a
    /// limited time for a change, or until the called node's data are younger than the caller's.
    async fn rows(known: KnownVersions) -> Result<RelayedRows, Stopping>;
}
