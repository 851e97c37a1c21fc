//! Server that passes calls to the event loop that owns the state.

use std::io;
use std::net::SocketAddr;

use tarpc::context::Context;
use tokio::sync::{mpsc, oneshot};
use wagtailmoor_configuration::{ChangeRecord, Snapshot};
use wagtailmoor_core::{BackEndId, ConfigVersion, KeyHash, ZoneId};
use wagtailmoor_lease::{PromiseReply, PromiseRequest, ZoneReply, ZoneRequest};
use wagtailmoor_limits::{CreditReply, CreditRequest, PermitReply, PermitRequest};
use wagtailmoor_membership::Digest;
use wagtailmoor_ownership::RoutePull;

use crate::service::Peer;
use crate::{HeatReport, NodeState, OwnerReport, RouteReply, Unavailable};

/// Larger than any snapshot; a frame above the limit closes the connection.
const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Channel for the reply to a call.
pub type ReplySender<T> = oneshot::Sender<Result<T, Unavailable>>;

macro_rules! calls {
    ($($(#[$meta:meta])* $variant:ident / $method:ident ($($argument:ident: $kind:ty),*) -> $reply:ty;)*) => {
        /// A call of a peer with the channel for its reply. Dropping the channel refuses the call with
        /// [`Unavailable`].
        #[derive(Debug)]
        pub enum PeerCall {
            $($(#[$meta])* $variant($($kind,)* ReplySender<$reply>),)*
        }

        impl Peer for PeerServer {
            $(async fn $method(self, _: Context, $($argument: $kind),*) -> Result<$reply, Unavailable> {
                let (reply, receiver) = oneshot::channel();
                self.calls
                    .send(PeerCall::$variant($($argument,)* reply))
                    .map_err(|_| Unavailable)?;
                receiver.await.unwrap_or(Err(Unavailable))
            })*
        }
    };
}

calls! {
    /// Exchange of membership and configuration versions.
    Exchange / exchange(digest: Digest) -> Digest;
    /// Configuration changes after a version.
    Changes / changes(after: ConfigVersion) -> Option<Vec<ChangeRecord>>;
    /// The whole configuration.
    Snapshot / snapshot() -> Snapshot;
    /// Lease promise or release.
    Promise / promise(request: PromiseRequest) -> PromiseReply;
    /// Tenure request of another zone.
    ZonePromise / zone_promise(request: ZoneRequest) -> ZoneReply;
    /// Pull of the routes of a zone.
    Routes / routes(pull: RoutePull) -> RouteReply;
    /// Request for credits of a zone's issuer.
    Credits / credits(zone: ZoneId, request: CreditRequest) -> CreditReply;
    /// Request for permits of a zone's issuer.
    Permits / permits(zone: ZoneId, request: PermitRequest) -> PermitReply;
    /// Report of the request rates that a node has seen.
    Heat / heat(zone: ZoneId, report: HeatReport) -> ();
    /// Query for the status of the node.
    State / state() -> NodeState;
    /// Query for the owner of a key.
    Owner / owner(back_end: BackEndId, key: KeyHash) -> OwnerReport;
}

#[derive(Clone)]
struct PeerServer {
    calls: mpsc::UnboundedSender<PeerCall>,
}

/// Accepts connections of peers and passes their calls to the receiver of `calls`, until the
/// receiver is dropped. Returns the address that was bound.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(
    address: SocketAddr,
    calls: mpsc::UnboundedSender<PeerCall>,
) -> io::Result<SocketAddr> {
    let closed = calls.clone();
    let server = PeerServer { calls }.serve();
    wagtailmoor_rpc::listen(address, FRAME_MAX_BYTES, server, async move { closed.closed().await })
        .await
}
