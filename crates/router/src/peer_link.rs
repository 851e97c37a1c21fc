//! Client and server of the calls between router processes.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::SortedVec;
use wagtailmoor_rpc::context_with_timeout;
use wagtailmoor_telemetry::{MeteredStream, TrafficMeter};

use crate::peer_service::{
    LeaderReply, NodeReport, RelayedRows, RouterPeer, RouterPeerClient, Stopping,
};
use crate::replica_messages::KnownVersions;
use crate::state::{RouterState, Shared};
use crate::zone_traffic::TrafficKind;

/// Exceeds the size of all rows of a site; a larger frame closes the connection.
const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Zone under which connections to peers of an unknown zone are counted.
const UNKNOWN_ZONE: &str = "unknown";

/// Covers the wait of the called node for changes, and the transfer of many rows.
const ROWS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A call of another node, with the sender for its reply. Dropping the sender answers the call with
/// [`Stopping`].
pub(crate) enum PeerCall {
    Report(Box<NodeReport>, oneshot::Sender<LeaderReply>),
    Rows(KnownVersions, oneshot::Sender<RelayedRows>),
}

#[derive(Clone)]
struct PeerServer {
    calls: mpsc::UnboundedSender<PeerCall>,
}

impl RouterPeer for PeerServer {
    async fn report(self, _: Context, report: NodeReport) -> Result<LeaderReply, Stopping> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(PeerCall::Report(Box::new(report), reply)).map_err(|_| Stopping)?;
        answer.await.map_err(|_| Stopping)
    }

    async fn rows(self, _: Context, known: KnownVersions) -> Result<RelayedRows, Stopping> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(PeerCall::Rows(known, reply)).map_err(|_| Stopping)?;
        answer.await.map_err(|_| Stopping)
    }
}

/// Accepts connections of other nodes and forwards their calls to `calls`, until its receiver is
/// dropped.
pub(crate) async fn listen(
    address: SocketAddr,
    calls: mpsc::UnboundedSender<PeerCall>,
) -> io::Result<()> {
    let closed = calls.clone();
    let server = PeerServer { calls }.serve();
    let stopped = async move { closed.closed().await };
    wagtailmoor_rpc::listen(address, FRAME_MAX_BYTES, server, stopped).await?;
    Ok(())
}

/// Connections to other nodes, opened when first used and replaced when a call fails.
///
/// Reports and rows use connections of their own: a long answer with rows would delay reports, whose
/// replies expire, and the bytes of both are counted separately.
#[derive(Clone)]
pub(crate) struct PeerLink {
    shared: Shared,
    stubs: Rc<RefCell<SortedVec<(TrafficKind, SocketAddr), RouterPeerClient>>>,
}

impl PeerLink {
    /// Creates a link without connections.
    pub(crate) fn new(shared: Shared) -> Self {
        Self { shared, stubs: Rc::default() }
    }

    /// Reports to the leader; `None` if it does not answer in time.
    pub(crate) async fn report(&self, peer: SocketAddr, report: NodeReport) -> Option<LeaderReply> {
        let key = (TrafficKind::Report, peer);
        let call = async {
            let stub = self.stub(key).await?;
            stub.report(context_with_timeout(ReportTiming::CALL_TIMEOUT), report).await.ok()?.ok()
        };
        self.drop_on_failure(key, timeout(ReportTiming::CALL_TIMEOUT, call).await.ok().flatten())
    }

    /// Asks another node for rows; `None` if it does not answer in time.
    pub(crate) async fn rows(&self, peer: SocketAddr, known: KnownVersions) -> Option<RelayedRows> {
        let key = (TrafficKind::Rows, peer);
        let call = async {
            let stub = self.stub(key).await?;
            stub.rows(context_with_timeout(ROWS_TIMEOUT), known).await.ok()?.ok()
        };
        self.drop_on_failure(key, timeout(ROWS_TIMEOUT, call).await.ok().flatten())
    }

    async fn stub(&self, key: (TrafficKind, SocketAddr)) -> Option<RouterPeerClient> {
        let existing = self.stubs.borrow().get(&key).cloned();
        if existing.is_some() {
            return existing;
        }
        let (kind, peer) = key;
        let stream = TcpStream::connect(peer).await.ok()?;
        let stream = MeteredStream::new(stream, self.meter(kind, peer));
        let frames =
            LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_framed(stream);
        let transport = serde_transport::new(frames, Bincode::default());
        let stub = RouterPeerClient::new(Config::default(), transport).spawn();
        self.stubs.borrow_mut().insert(key, stub.clone());
        Some(stub)
    }

    /// Returns the meter of a peer's zone. The zone is not known before the list of nodes is.
    fn meter(&self, kind: TrafficKind, peer: SocketAddr) -> TrafficMeter {
        let mut state = self.shared.write();
        let RouterState { replica, traffic, .. } = &mut *state;
        let unknown = || UNKNOWN_ZONE.parse().expect("a literal id is valid");
        let zone = replica.source().zone_of(peer).cloned().unwrap_or_else(unknown);
        traffic.meter(kind, &zone)
    }

    /// Drops the connection if a call got no answer: a connection may fail without a reset.
    fn drop_on_failure<T>(&self, key: (TrafficKind, SocketAddr), result: Option<T>) -> Option<T> {
        if result.is_none() {
            self.stubs.borrow_mut().remove(&key);
        }
        result
    }
}
