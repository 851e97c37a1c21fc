//! Client and server of the calls between router processes.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::SortedVec;
use wagtailmoor_rpc::context_with_timeout;

use crate::peer_service::{
    KnownVersions, LeaderReply, MissingRows, NodeReport, RouterPeer, RouterPeerClient, Stopping,
};

/// Exceeds the size of all rows of a site; a larger frame closes the connection.
const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Covers the wait of the called node for changes, and the transfer of many rows.
const ROWS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A call of another node, with the sender for its reply. Dropping the sender answers the call with
/// [`Stopping`].
pub(crate) enum PeerCall {
    Report(Box<NodeReport>, oneshot::Sender<LeaderReply>),
    Rows(KnownVersions, oneshot::Sender<MissingRows>),
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

    async fn rows(self, _: Context, known: KnownVersions) -> Result<MissingRows, Stopping> {
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
#[derive(Clone, Default)]
pub(crate) struct PeerLink {
    stubs: Rc<RefCell<SortedVec<SocketAddr, RouterPeerClient>>>,
}

impl PeerLink {
    /// Reports to the leader; `None` if it does not answer in time.
    pub(crate) async fn report(&self, peer: SocketAddr, report: NodeReport) -> Option<LeaderReply> {
        let call = async {
            let stub = self.stub(peer).await?;
            stub.report(context_with_timeout(ReportTiming::CALL_TIMEOUT), report).await.ok()?.ok()
        };
        self.drop_on_failure(peer, timeout(ReportTiming::CALL_TIMEOUT, call).await.ok().flatten())
    }

    /// Asks another node for rows; `None` if it does not answer in time.
    pub(crate) async fn rows(&self, peer: SocketAddr, known: KnownVersions) -> Option<MissingRows> {
        let call = async {
            let stub = self.stub(peer).await?;
            stub.rows(context_with_timeout(ROWS_TIMEOUT), known).await.ok()?.ok()
        };
        self.drop_on_failure(peer, timeout(ROWS_TIMEOUT, call).await.ok().flatten())
    }

    async fn stub(&self, peer: SocketAddr) -> Option<RouterPeerClient> {
        let existing = self.stubs.borrow().get(&peer).cloned();
        if existing.is_some() {
            return existing;
        }
        let mut connecting = tcp::connect(peer, Bincode::default);
        connecting.config_mut().max_frame_length(FRAME_MAX_BYTES);
        let transport = connecting.await.ok()?;
        let stub = RouterPeerClient::new(Config::default(), transport).spawn();
        self.stubs.borrow_mut().insert(peer, stub.clone());
        Some(stub)
    }

    /// Drops the connection if a call got no answer: a connection may fail without a reset.
    fn drop_on_failure<T>(&self, peer: SocketAddr, result: Option<T>) -> Option<T> {
        if result.is_none() {
            self.stubs.borrow_mut().remove(&peer);
        }
        result
    }
}
