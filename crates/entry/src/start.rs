//! Start and graceful shutdown of an entry process.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use wagtailmoor_core::{Clock, Incarnation, MonotonicClock};
use wagtailmoor_front::{FrontLimits, Server};
use wagtailmoor_settings::{EntrySettings, FrontSettings};
use wagtailmoor_store::{HostList, ListedState};
use wagtailmoor_telemetry::{Event, Metrics, MetricsError};

use crate::entry::{Entry, Shared, unix_ms};
use crate::gateway::EntryGateway;
use crate::state::State;
use crate::{
    change_poll, credit_calls, gossip, heat_reports, host_poll, lease_calls, load_poll,
    ownership_calls, peer_calls, permit_calls, record_calls, route_pulls,
};

/// Absorbs bursts of new connections while the loop is busy.
const LISTEN_BACKLOG: i32 = 1_024;

/// Time for the load balancer to see the leaving state in the host list before this process refuses
/// connections.
const LEAVE_DELAY: Duration = Duration::from_millis(500);

/// The controller removes a leaving member within about a second while the store answers.
const LEAVE_PANEL_TIMEOUT: Duration = Duration::from_secs(4);

/// Limit for writing the last attempt records during a graceful shutdown.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(5);

/// Metrics are buffered into packets; this bounds their delay.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Why an entry process cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The reason.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("{source}"))]
    Metrics {
        /// The reason.
        source: MetricsError,
    },
}

/// Handle of a running entry process.
pub struct EntryHandle {
    entry: Shared,
    stop: watch::Sender<bool>,
    front: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    listen: SocketAddr,
    control: SocketAddr,
}

/// Starts an entry process on the current `LocalSet`.
///
/// # Errors
///
/// An address cannot be bound.
pub async fn start(settings: EntrySettings) -> Result<EntryHandle, StartError> {
    let listener = bind(settings.listen).context(ListenSnafu { address: settings.listen })?;
    let listen = listener.local_addr().context(ListenSnafu { address: settings.listen })?;
    let (calls, received) = mpsc::unbounded_channel();
    let control = wagtailmoor_peer::listen(settings.control, calls)
        .await
        .context(ListenSnafu { address: settings.control })?;
    let metrics = match settings.metrics {
        Some(address) => Metrics::to(address).context(MetricsSnafu)?,
        None => Metrics::disabled(),
    };
    let clock = MonotonicClock::start();
    let incarnation = Incarnation::new(unix_ms());
    let limits = front_limits(&settings.front);
    let (node, zone) = (settings.node.clone(), settings.zone.clone());
    let state = State::new(settings, control, incarnation, clock.now());
    let entry = Entry::new(state, clock, metrics);
    let (stop, stopping) = watch::channel(false);
    let server = Server::new(Rc::new(EntryGateway::new(entry.clone())), limits);
    let front = {
        let server = server.clone();
        spawn_local(async move { server.serve(listener, stopping).await })
    };
    let tasks = spawn_tasks(&entry, received, &server);
    Event::new("start")
        .field("node", node)
        .field("zone", zone)
        .field("listen", listen)
        .field("control", control)
        .info();
    Ok(EntryHandle { entry, stop, front, tasks, listen, control })
}

fn spawn_tasks(
    entry: &Shared,
    calls: mpsc::UnboundedReceiver<wagtailmoor_peer::PeerCall>,
    server: &Server<EntryGateway>,
) -> Vec<JoinHandle<()>> {
    let connections = {
        let server = server.clone();
        move || server.connections()
    };
    vec![
        spawn_local(peer_calls::run(entry.clone(), calls, connections)),
        spawn_local(change_poll::run(entry.clone())),
        spawn_local(gossip::run(entry.clone())),
        spawn_local(host_poll::run(entry.clone())),
        spawn_local(load_poll::run(entry.clone())),
        spawn_local(lease_calls::run(entry.clone())),
        spawn_local(ownership_calls::run(entry.clone())),
        spawn_local(route_pulls::run(entry.clone())),
        spawn_local(credit_calls::run(entry.clone())),
        spawn_local(permit_calls::run(entry.clone())),
        spawn_local(permit_calls::serve_waiting(entry.clone())),
        spawn_local(record_calls::run(entry.clone())),
        spawn_local(heat_reports::run(entry.clone())),
        spawn_local(flush_metrics(entry.clone())),
    ]
}

async fn flush_metrics(entry: Shared) {
    loop {
        sleep(METRICS_INTERVAL).await;
        entry.metrics.gauge("requests_running", u64::from(entry.state().totals.in_progress));
        entry.metrics.flush();
    }
}

impl EntryHandle {
    /// Returns the address for clients.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address for peers and operators.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Shuts down gracefully: leaves the host list, resigns as controller, waits up to
    /// `front.drain_max_ms` for requests in flight, sends credits and permits back without waiting
    /// for the replies, and waits for the last attempt records.
    pub async fn stop(self) {
        Event::new("stop-begin").info();
        let leaving = host_poll::announce(&self.entry, ListedState::Leaving);
        drop(timeout(LEAVE_DELAY, leaving).await);
        self.entry.state().membership.leave();
        sleep(LEAVE_DELAY).await;
        // The listener accepts until the load balancer has seen the leaving state, so that no new
        // client connects to a closed port.
        self.stop.send_replace(true);
        let now = self.entry.now();
        self.entry.state().roles.values_mut().for_each(|role| role.candidate.resign(now));
        lease_calls::tick(&self.entry);
        drop(timeout(LEAVE_PANEL_TIMEOUT, wait_until_off_panel(&self.entry)).await);
        let drain_max = Duration::from_millis(self.entry.state().settings.front.drain_max_ms);
        let drained = timeout(drain_max, self.front).await.is_ok();
        self.entry.state().stopping = true;
        credit_calls::release(&self.entry);
        permit_calls::release(&self.entry);
        let records_written = timeout(RECORDS_TIMEOUT, wait_for_records(&self.entry)).await.is_ok();
        let node = self.entry.state().settings.node.clone();
        drop(timeout(LEAVE_DELAY, self.entry.platform.withdraw(&node)).await);
        self.tasks.iter().for_each(JoinHandle::abort);
        self.entry.metrics.flush();
        Event::new("stop-end").field("drained", drained).field("settled", records_written).info();
    }

    /// Stops at once without cleanup, as a crash would. Used by tests.
    pub fn abort(self) {
        self.front.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Waits until the controller of the zone has removed this node from the panel. A node that stopped
/// earlier left a panel of two without a quorum for about a second.
async fn wait_until_off_panel(entry: &Shared) {
    loop {
        let (member, alone) = {
            let state = entry.state();
            let zone = state.settings.zone.clone();
            (state.is_panel_member(), state.nodes_of(entry.now(), &zone).len() <= 1)
        };
        match member && !alone {
            true => sleep(Duration::from_millis(50)).await,
            false => return,
        }
    }
}

/// Waits until all attempt records are written.
async fn wait_for_records(entry: &Shared) {
    loop {
        let unsettled = entry.state().records.unsettled();
        match unsettled {
            0 => return,
            _ => sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Binds with `SO_REUSEPORT`, so that the entry processes of one host can share a port.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(StdListener::from(socket))
}

fn front_limits(settings: &FrontSettings) -> FrontLimits {
    FrontLimits {
        connections_max: settings.connections_max,
        head_max_bytes: usize::try_from(settings.head_max_bytes.get()).unwrap_or(usize::MAX),
        head_timeout: Duration::from_millis(settings.head_timeout_ms),
        body_idle_timeout: Duration::from_millis(settings.body_idle_timeout_ms),
    }
}
