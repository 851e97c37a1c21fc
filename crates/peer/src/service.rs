//! The service definition.

use snafu::Snafu;
use wagtailmoor_configuration::{ChangeRecord, Snapshot};
use wagtailmoor_core::{BackEndId, ConfigVersion, KeyHash, ZoneId};
use wagtailmoor_derive::value;
use wagtailmoor_lease::{PromiseReply, PromiseRequest, ZoneReply, ZoneRequest};
use wagtailmoor_limits::{CreditReply, CreditRequest, PermitReply, PermitRequest};
use wagtailmoor_membership::Digest;
use wagtailmoor_ownership::RoutePull;

use crate::{HeatReport, NodeState, OwnerReport, RouteReply};

/// The node is shutting down or does not have the role that the call requires.
#[value]
#[derive(Snafu)]
#[snafu(display("the node does not have the role that the call requires"))]
pub struct Unavailable;

/// Calls between entry processes.
#[tarpc::service]
pub trait Peer {
    /// Exchanges membership and configuration versions.
    async fn exchange(digest: Digest) -> Result<Digest, Unavailable>;
    /// Returns the changes after a version, oldest first, or `None` if the node no longer keeps
    /// them.
    async fn changes(after: ConfigVersion) -> Result<Option<Vec<ChangeRecord>>, Unavailable>;
    /// Returns the whole configuration.
    async fn snapshot() -> Result<Snapshot, Unavailable>;
    /// Requests a lease promise, or releases one.
    async fn promise(request: PromiseRequest) -> Result<PromiseReply, Unavailable>;
    /// Sends a tenure request to the controller of another zone.
    async fn zone_promise(request: ZoneRequest) -> Result<ZoneReply, Unavailable>;
    /// Pulls routes from the controller of a zone.
    async fn routes(pull: RoutePull) -> Result<RouteReply, Unavailable>;
    /// Requests credits from the controller of a zone.
    async fn credits(zone: ZoneId, request: CreditRequest) -> Result<CreditReply, Unavailable>;
    /// Requests permits from the controller of a zone.
    async fn permits(zone: ZoneId, request: PermitRequest) -> Result<PermitReply, Unavailable>;
    /// Reports load to the controller of a zone.
    async fn heat(zone: ZoneId, report: HeatReport) -> Result<(), Unavailable>;
    /// Returns the status that the node reports.
    async fn state() -> Result<NodeState, Unavailable>;
    /// Returns the owner of a key as the node knows it.
    async fn owner(back_end: BackEndId, key: KeyHash) -> Result<OwnerReport, Unavailable>;
}
