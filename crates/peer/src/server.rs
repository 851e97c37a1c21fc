//! The server side: it passes calls to the loop that owns the state.

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

/// Larger than any snapshot today; a larger frame closes the connection.
const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Where the reply to a call goes.
pub type Reply<T> = oneshot::Sender<Result<T, Unavailable>>;

macro_rules! calls {
    ($($(#[$meta:meta])* $variant:ident / $method:ident ($($argument:ident: $kind:ty),*) -> $reply:ty;)*) => {
        /// A call of a peer with the place for its reply. Dropping the place refuses the call.
        #[derive(Debug)]
        pub enum PeerCall {
            $($(#[$meta])* $variant($($kind,)* Reply<$reply>),)*
        }

        impl Peer for PeerServer {
            $(async fn $method(self, _: Context, $($argument: $kind),*) -> Result<$reply, Unavailable> {
                let (reply, answer) = oneshot::channel();
                self.calls
                    .send(PeerCall::$variant($($argument,)* reply))
                    .map_err(|_| Unavailable)?;
                answer.await.unwrap_or(Err(Unavailable))
            })*
        }
    };
}

calls! {
    /// Membership and versions.
    Exchange / exchange(digest: Digest) -> Digest;
    /// Changes after a version.
    Changes / changes(after: ConfigVersion) -> Option<Vec<ChangeRecord>>;
    /// The whole configuration.
    Snapshot / snapshot() -> Snapshot;
    /// A promise or release.
    Promise / promise(request: PromiseRequest) -> PromiseReply;
    /// Tenure of another zone.
    ZonePromise / zone_promise(request: ZoneRequest) -> ZoneReply;
    /// Routes of a zone.
    Routes / routes(pull: RoutePull) -> RouteReply;
    /// Credits of a zone's issuer.
    Credits / credits(zone: ZoneId, request: CreditRequest) -> CreditReply;
    /// Permits of a zone's issuer.
    Permits / permits(zone: ZoneId, request: PermitRequest) -> PermitReply;
    /// Load seen by a node.
    Heat / heat(zone: ZoneId, report: HeatReport) -> ();
    /// State of the node.
    State / state() -> NodeState;
    /// Where a key lives.
    Owner / owner(back_end: BackEndId, key: KeyHash) -> OwnerReport;
}

#[derive(Clone)]
struct PeerServer {
    calls: mpsc::UnboundedSender<PeerCall>,
}

/// Accepts connections of peers and passes their calls on, until the receiver is dropped.
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
