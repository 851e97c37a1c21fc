//! The `tarpc` service between router processes.

use std::time::Duration;

use snafu::Snafu;
use wagtailmoor_admission::{CustomerUse, NodeAllowance, ServiceTime};
use wagtailmoor_core::{BackEndId, NodeId, RowVersion, ShardKey};
use wagtailmoor_derive::value;
use wagtailmoor_dispatch::{LedgerVersion, SuspectReport, SuspectUpdate};
use wagtailmoor_ranges::RangeShare;
use wagtailmoor_store::PackedPage;

use crate::NodeAddress;
use crate::leader_lease::LeaderRow;

/// The node cannot answer because it stops.
#[value]
#[derive(Snafu)]
#[snafu(display("the node is stopping"))]
pub(crate) struct Stopping;

/// Requests on keys of a back end.
#[value]
pub(crate) struct KeyCounts {
    pub(crate) back_end: BackEndId,
    pub(crate) keys: Vec<(ShardKey, u32)>,
}

/// What a node tells the leader.
#[value]
pub(crate) struct NodeReport {
    pub(crate) from: NodeAddress,
    /// Version of the list of nodes that it knows.
    pub(crate) nodes_known: u64,
    pub(crate) keys: Vec<KeyCounts>,
    /// Use by customer since the last report.
    pub(crate) used: Vec<CustomerUse>,
    /// Requests under which this node lost targets, as far as the leader was not told.
    pub(crate) suspects: Vec<SuspectReport>,
    /// What it knows of the requests that the leader refuses.
    pub(crate) suspects_known: LedgerVersion,
    /// Whether this node reached the store just now and can lead.
    pub(crate) can_lead: bool,
    /// Time that targets took for requests.
    pub(crate) service: Vec<ServiceTime>,
}

/// What the leader answers.
#[value]
pub(crate) struct LeaderReply {
    /// Whether the node that answers leads.
    pub(crate) leads: bool,
    /// Whether it leads and cannot renew its lease.
    pub(crate) troubled: bool,
    /// The node that answers.
    pub(crate) from: NodeId,
    /// The leader as the answering node knows it.
    pub(crate) leader: Option<LeaderSeen>,
    /// Version of the list of nodes.
    pub(crate) nodes_version: u64,
    /// The nodes, unless the caller knows that version.
    pub(crate) nodes: Option<Vec<NodeAddress>>,
    /// Number of nodes by which limits are divided.
    pub(crate) site_nodes: u32,
    pub(crate) allowances: Vec<NodeAllowance>,
    /// Ranges on which more requests arrive than their owners can run in time.
    pub(crate) shares: Vec<(BackEndId, Vec<RangeShare>)>,
    /// Requests that crash targets, as far as the caller lacks them.
    pub(crate) suspects: SuspectUpdate,
}

/// Versions up to which a node knows the tables of the store.
#[value]
pub(crate) struct KnownRows {
    pub(crate) operators: RowVersion,
    pub(crate) targets: RowVersion,
    pub(crate) ranges: RowVersion,
}

/// Rows that a node lacks.
#[value]
pub(crate) struct MissedRows {
    pub(crate) operators: PackedPage,
    pub(crate) targets: PackedPage,
    pub(crate) ranges: PackedPage,
    /// The leader as the answering node knows it.
    pub(crate) leader: Option<LeaderSeen>,
    /// Whether the answering node learns of changes itself.
    pub(crate) has_store: bool,
    /// Time since it last heard of the store.
    pub(crate) store_age: Duration,
    /// Whether it learns of them from the leader, or from a relay in its place.
    pub(crate) steady: bool,
    /// Time for which it waited for changes before it answered.
    pub(crate) held: Duration,
}

impl MissedRows {
    /// Returns whether the caller knows all rows.
    pub(crate) fn is_empty(&self) -> bool {
        [&self.operators, &self.targets, &self.ranges].iter().all(|page| page.rows.is_empty())
    }
}

/// The row that names the leader, as a node knows it.
#[value]
pub(crate) struct LeaderSeen {
    pub(crate) row: LeaderRow,
    pub(crate) version: RowVersion,
}

/// Calls between router processes.
#[tarpc::service]
pub(crate) trait RouterPeer {
    /// Reports load and demand to the leader.
    async fn report(report: NodeReport) -> Result<LeaderReply, Stopping>;
    /// Returns rows of the store that the caller lacks, as soon as there are any or a wait ends.
    async fn rows(known: KnownRows) -> Result<MissedRows, Stopping>;
}
