//! The platform's list of targets and entry processes.

use std::net::SocketAddr;

use wagtailmoor_core::{BackEndId, NodeId, RackId, TargetId, ZoneId};
use wagtailmoor_derive::{scalar, value};

use crate::StoreError;

/// State of a process in the host list.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// In service.
    Live,
    /// Announced that it will stop.
    Leaving,
}

/// A target in the platform's host list.
#[value]
pub struct ListedTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Back end that the target belongs to.
    pub back_end: BackEndId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Whether the target is in service.
    pub state: ListedState,
}

/// An entry process in the platform's host list.
#[value]
pub struct ListedNode {
    /// Id of the entry process.
    pub node: NodeId,
    /// Availability zone of the process.
    pub zone: ZoneId,
    /// Rack of the host on which the process runs.
    pub rack: RackId,
    /// Control address of the entry process.
    pub address: SocketAddr,
    /// Whether the process is in service.
    pub state: ListedState,
}

/// One reading of the host list, which lags the true state by seconds.
#[value]
#[derive(Default)]
pub struct HostListSnapshot {
    /// Targets of all back ends.
    pub targets: Vec<ListedTarget>,
    /// Entry processes.
    pub nodes: Vec<ListedNode>,
}

/// The platform's list of targets and entry processes.
pub trait HostList {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<HostListSnapshot, StoreError>>;

    /// Adds or updates an entry process.
    fn announce(&self, node: &ListedNode) -> impl Future<Output = Result<(), StoreError>>;

    /// Removes an entry process.
    fn withdraw(&self, node: &NodeId) -> impl Future<Output = Result<(), StoreError>>;
}
