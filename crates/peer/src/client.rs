//! Client for calls to other nodes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;
use tarpc::client::{Config, RpcError};
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;
use wagtailmoor_configuration::{ChangeRecord, Snapshot};
use wagtailmoor_core::{BackEndId, ConfigVersion, KeyHash, SortedVec, ZoneId};
use wagtailmoor_lease::{PromiseReply, PromiseRequest, ZoneReply, ZoneRequest};
use wagtailmoor_limits::{CreditReply, CreditRequest, PermitReply, PermitRequest};
use wagtailmoor_membership::Digest;
use wagtailmoor_ownership::RoutePull;
use wagtailmoor_rpc::context_with_timeout;

use crate::service::PeerClient as Stub;
use crate::{HeatReport, NodeState, OwnerReport, RouteReply, Unavailable};

/// A later reply is of no use to any caller, because leases and promises have changed by then.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Longer than [`CALL_TIMEOUT`], because changes and snapshots may be large.
const BULK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Error of a call to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection, no reply within the timeout, or a broken connection. The call may have taken
    /// effect.
    #[snafu(display("no reply from the peer"))]
    NoReply,
    /// The peer does not have the role that the call requires, or is shutting down.
    #[snafu(display("the peer does not have the role that the call requires"))]
    Unavailable,
}

/// Connections to peers, opened when first used and replaced when broken.
#[derive(Clone, Default)]
pub struct PeerClient {
    stubs: Rc<RefCell<SortedVec<SocketAddr, Stub>>>,
}

macro_rules! client_calls {
    ($($(#[$meta:meta])* $method:ident ($($argument:ident: $kind:ty),*) -> $reply:ty, $timeout:expr;)*) => {
        impl PeerClient {
            $($(#[$meta])*
            ///
            /// # Errors
            ///
            /// The peer did not reply or does not have the required role.
            pub async fn $method(&self, peer: SocketAddr, $($argument: $kind),*) -> Result<$reply, CallError> {
                let stub = self.stub(peer).await?;
                let result = stub.$method(context_with_timeout($timeout), $($argument),*).await;
                self.map_result(peer, result)
            })*
        }
    };
}

client_calls! {
    /// Exchanges membership and configuration versions.
    exchange(digest: Digest) -> Digest, CALL_TIMEOUT;
    /// Returns the changes after a version, oldest first, or `None` if the peer no longer keeps
    /// them.
    changes(after: ConfigVersion) -> Option<Vec<ChangeRecord>>, BULK_TIMEOUT;
    /// Returns the whole configuration.
    snapshot() -> Snapshot, BULK_TIMEOUT;
    /// Requests a lease promise, or releases one.
    promise(request: PromiseRequest) -> PromiseReply, CALL_TIMEOUT;
    /// Sends a tenure request to the controller of another zone.
    zone_promise(request: ZoneRequest) -> ZoneReply, CALL_TIMEOUT;
    /// Pulls routes from the controller of a zone.
    routes(pull: RoutePull) -> RouteReply, CALL_TIMEOUT;
    /// Requests credits from the controller of a zone.
    credits(zone: ZoneId, request: CreditRequest) -> CreditReply, CALL_TIMEOUT;
    /// Requests permits from the controller of a zone.
    permits(zone: ZoneId, request: PermitRequest) -> PermitReply, CALL_TIMEOUT;
    /// Reports load to the controller of a zone.
    heat(zone: ZoneId, report: HeatReport) -> (), CALL_TIMEOUT;
    /// Returns the status that a node reports.
    state() -> NodeState, BULK_TIMEOUT;
    /// Returns the owner of a key as the node knows it.
    owner(back_end: BackEndId, key: KeyHash) -> OwnerReport, BULK_TIMEOUT;
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    async fn stub(&self, peer: SocketAddr) -> Result<Stub, CallError> {
        let known = self.stubs.borrow().get(&peer).cloned();
        match known {
            Some(stub) => Ok(stub),
            None => {
                let connecting = tcp::connect(peer, Bincode::default);
                let connected = timeout(CALL_TIMEOUT, connecting).await;
                let transport = connected.map_err(|_| CallError::NoReply)?;
                let transport = transport.map_err(|_| CallError::NoReply)?;
                let stub = Stub::new(Config::default(), transport).spawn();
                self.stubs.borrow_mut().insert(peer, stub.clone());
                Ok(stub)
            }
        }
    }

    fn map_result<T>(
        &self,
        peer: SocketAddr,
        result: Result<Result<T, Unavailable>, RpcError>,
    ) -> Result<T, CallError> {
        match result {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(Unavailable)) => Err(CallError::Unavailable),
            Err(RpcError::DeadlineExceeded) => Err(CallError::NoReply),
            Err(_) => {
                self.stubs.borrow_mut().remove(&peer);
                Err(CallError::NoReply)
            }
        }
    }
}
