//! The status of a router process for operators, as one JSON document.

use std::sync::Arc;

use wagtailmoor_core::{
    BackEndId, ConfigVersion, CustomerId, Epoch, Generation, Incarnation, Instant, NodeId,
    PartsPerMillion, Requests, RequestsPerSecond, RowVersion, ShardKey, TargetId, ZoneId, millis,
};
use wagtailmoor_derive::value;
use wagtailmoor_ranges::AssignmentTable;
use wagtailmoor_rollout::RolloutPhase;
use wagtailmoor_site::{CustomerRule, Target, TargetState};

use crate::replica_table::ReplicaTable;
use crate::rollouts::Rollouts;
use crate::state::{RouterState, SharedState};

/// The status of a router process.
#[value]
pub struct NodeStatus {
    /// The node that answers.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Start of the process, which distinguishes incarnations of the node.
    pub incarnation: Incarnation,
    /// Whether the node accepts clients.
    pub ready: bool,
    /// Version of the configuration in force; `None` before the first one.
    pub config_version: Option<ConfigVersion>,
    /// Age of the node's data from the tables of operators and targets, in milliseconds.
    pub store_age_ms: u64,
    /// The leader as the node knows it; `None` if there is none or it resigned.
    pub leader: Option<LeaderStatus>,
    /// Version of the table of owners up to which the node has its rows.
    pub owners_version: RowVersion,
    /// Ranges of keys with their owners.
    pub ranges: Vec<RangeStatus>,
    /// Customers of the configuration.
    pub customers: Vec<CustomerStatus>,
    /// Registered targets.
    pub targets: Vec<TargetStatus>,
    /// Back ends whose versions are known; empty if rollouts are off.
    #[serde(default)]
    pub rollouts: Vec<RolloutView>,
}

/// The versions of a back end as the answering node knows them.
#[value]
pub struct RolloutView {
    /// Back end.
    pub back_end: BackEndId,
    /// Versions that may get requests without an order.
    pub baseline: Vec<Arc<str>>,
    /// Version of the newest order.
    pub to: Option<Arc<str>>,
    /// Phase of the newest order.
    pub phase: Option<RolloutPhase>,
    /// Share of this node's requests for the new version.
    pub share: PartsPerMillion,
    /// Attempts that this node sent to old versions.
    pub sent_old: u64,
    /// Attempts that this node sent to new versions during rollouts.
    pub sent_new: u64,
}

/// The leader, which grants keys and divides limits.
#[value]
pub struct LeaderStatus {
    /// The node that leads.
    pub node: NodeId,
    /// Raised with each change of the leader.
    pub generation: Generation,
    /// Remaining time of the answering node's authority, in milliseconds; `None` if it does not
    /// lead.
    pub authority_left_ms: Option<u64>,
    /// Time since the leader last answered a report of this node, in milliseconds; zero on the
    /// leader.
    pub heard_age_ms: u64,
}

/// A range of keys and its owner.
#[value]
pub struct RangeStatus {
    /// Back end of the range.
    pub back_end: BackEndId,
    /// First key, inclusive.
    pub first: ShardKey,
    /// Last key, inclusive.
    pub last: ShardKey,
    /// The target that owns the range.
    pub owner: TargetId,
    /// Fencing token of the grant.
    pub epoch: Epoch,
}

/// A customer and its requests at the answering node since the start of the process.
#[value]
pub struct CustomerStatus {
    /// The customer.
    pub customer: CustomerId,
    /// Requests per second over all nodes; zero for no limit.
    pub rate_per_s: RequestsPerSecond,
    /// Requests allowed at once above the rate.
    pub burst: Requests,
    /// Requests that got an answer from a target.
    pub answered: u64,
    /// Requests refused because of its limit.
    pub refused_by_limit: u64,
    /// Requests refused or failed for another reason.
    pub not_answered: u64,
}

/// A target as the answering node sees it.
#[value]
pub struct TargetStatus {
    /// The target.
    pub target: TargetId,
    /// Back end of the target.
    pub back_end: BackEndId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// State in the target's registration.
    pub state: TargetState,
    /// Whether the target gets requests.
    pub in_service: bool,
    /// Whether the target is cold and gets a limited rate of requests.
    pub cold: bool,
}

impl NodeStatus {
    /// Path of the status page, served at the metrics address.
    pub const PATH: &str = "/status";

    pub(crate) fn of(shared: &SharedState) -> Self {
        let (now, state) = (shared.now(), shared.read());
        let settings = &shared.settings;
        Self {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
            ready: state.is_ready(),
            config_version: state.config.as_ref().map(|config| config.version()),
            store_age_ms: millis(state.replica.age(now)),
            leader: leader(&state, now),
            owners_version: state.replica.version(ReplicaTable::Ranges),
            ranges: state.tables.iter().flat_map(|(id, table)| ranges(id, table)).collect(),
            customers: customers(&state),
            rollouts: rollouts(&state, now),
            targets: state.registry.targets().map(|target| status(&state, now, target)).collect(),
        }
    }
}

fn rollouts(state: &RouterState, now: Instant) -> Vec<RolloutView> {
    let hosts = state.rollouts.iter().flat_map(Rollouts::hosts);
    let views = hosts.filter_map(|(back_end, host)| {
        let row = host.policy().row()?;
        let rollout = row.rollout.as_ref();
        let [sent_old, sent_new] = host.sent();
        Some(RolloutView {
            back_end: back_end.clone(),
            baseline: row.baseline.clone(),
            to: rollout.map(|rollout| Arc::clone(&rollout.to)),
            phase: host.phase().or(rollout.map(|rollout| rollout.phase)),
            share: host.share(now),
            sent_old,
            sent_new,
        })
    });
    views.collect()
}

fn leader(state: &RouterState, now: Instant) -> Option<LeaderStatus> {
    let row = state.lease.leader()?;
    let authority = state.lease.authority(now);
    Some(LeaderStatus {
        node: row.node.clone(),
        generation: row.generation,
        authority_left_ms: authority.map(|authority| millis(authority.until.saturating_since(now))),
        heard_age_ms: match authority {
            Some(_) => 0,
            None => millis(now.saturating_since(state.leader_last_contact)),
        },
    })
}

fn ranges(back_end: &BackEndId, table: &AssignmentTable) -> Vec<RangeStatus> {
    let assignments = table.iter();
    assignments
        .map(|assignment| RangeStatus {
            back_end: back_end.clone(),
            first: assignment.range.first(),
            last: assignment.range.last(),
            owner: assignment.owner.target.clone(),
            epoch: assignment.epoch,
        })
        .collect()
}

fn customers(state: &RouterState) -> Vec<CustomerStatus> {
    let rules = state.config.iter().flat_map(|config| config.customers());
    rules.map(|rule| customer(state, rule)).collect()
}

fn customer(state: &RouterState, rule: &CustomerRule) -> CustomerStatus {
    let counts = state.stats.customer(&rule.customer);
    CustomerStatus {
        customer: rule.customer.clone(),
        rate_per_s: rule.rate,
        burst: rule.burst,
        answered: counts.answered,
        refused_by_limit: counts.refused_by_limit,
        not_answered: counts.not_answered,
    }
}

fn status(state: &RouterState, now: Instant, target: &Target) -> TargetStatus {
    TargetStatus {
        target: target.target.clone(),
        back_end: target.back_end.clone(),
        zone: target.zone.clone(),
        state: target.state,
        in_service: state.registry.is_in_service(now, &target.target),
        cold: state.registry.is_cold(now, &target.target),
    }
}
