//! What a router process tells operators about itself, as one JSON document.

use wagtailmoor_core::{
    BackEndId, ConfigVersion, CustomerId, Epoch, Generation, Incarnation, Instant, NodeId,
    Requests, RequestsPerSecond, RowVersion, ShardKey, TargetId, ZoneId, millis,
};
use wagtailmoor_derive::value;
use wagtailmoor_ranges::AssignmentTable;
use wagtailmoor_site::{CustomerRule, Target, TargetState};

use crate::feeds::RANGES_TABLE;
use crate::state::{RouterState, SharedState};

/// What a router process knows and does.
#[value]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Whether it takes clients.
    pub ready: bool,
    /// Version in force; `None` before the first one.
    pub config_version: Option<ConfigVersion>,
    /// Age of what it knows of operators and targets, in milliseconds.
    pub store_age_ms: u64,
    /// The leader as it knows it.
    pub leader: Option<LeaderStatus>,
    /// Version of the owners that it knows.
    pub owners_version: RowVersion,
    /// Owners of keys.
    pub ranges: Vec<RangeStatus>,
    /// Customers with a limit or with requests.
    pub customers: Vec<CustomerStatus>,
    /// Targets that registered.
    pub targets: Vec<TargetStatus>,
}

/// The leader, which grants keys and divides limits.
#[value]
pub struct LeaderStatus {
    /// The node that leads.
    pub node: NodeId,
    /// Number of leaders so far.
    pub generation: Generation,
    /// For how long the answering node may still act as the leader, if it is the one, in
    /// milliseconds.
    pub authority_left_ms: Option<u64>,
    /// Time since the answering node heard of it, in milliseconds.
    pub heard_age_ms: u64,
}

/// Keys and their owner.
#[value]
pub struct RangeStatus {
    /// Back end.
    pub back_end: BackEndId,
    /// First key.
    pub first: ShardKey,
    /// Last key.
    pub last: ShardKey,
    /// Owner.
    pub owner: TargetId,
    /// Fencing number.
    pub epoch: Epoch,
}

/// A customer and its requests at the answering node since its start.
#[value]
pub struct CustomerStatus {
    /// The customer.
    pub customer: CustomerId,
    /// Requests a second over all nodes; zero for no limit.
    pub rate_per_s: RequestsPerSecond,
    /// Requests at once beyond the rate.
    pub burst: Requests,
    /// Requests answered.
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
    /// Back end.
    pub back_end: BackEndId,
    /// Its zone.
    pub zone: ZoneId,
    /// State that it registered.
    pub state: TargetState,
    /// Whether it gets requests.
    pub in_service: bool,
    /// Whether it is cold.
    pub cold: bool,
}

impl NodeStatus {
    /// Path of the status on the metrics address.
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
            store_age_ms: millis(state.source.age(now)),
            leader: leader(&state, now),
            owners_version: state.rows.version(RANGES_TABLE),
            ranges: state.tables.iter().flat_map(|(id, table)| ranges(id, table)).collect(),
            customers: customers(&state),
            targets: state.registry.targets().map(|target| status(&state, now, target)).collect(),
        }
    }
}

fn leader(state: &RouterState, now: Instant) -> Option<LeaderStatus> {
    let row = state.lease.leader()?;
    let authority = state.lease.authority(now);
    Some(LeaderStatus {
        node: row.node.clone(),
        generation: row.generation,
        authority_left_ms: authority.map(|held| millis(held.until.saturating_since(now))),
        heard_age_ms: match authority {
            Some(_) => 0,
            None => millis(now.saturating_since(state.leader_heard)),
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
    let ended = state.stats.customer(&rule.customer);
    CustomerStatus {
        customer: rule.customer.clone(),
        rate_per_s: rule.rate,
        burst: rule.burst,
        answered: ended.answered,
        refused_by_limit: ended.refused_by_limit,
        not_answered: ended.not_answered,
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
