//! Starts and stops a router process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use wagtailmoor_admission::LoadSample;
use wagtailmoor_front::{Dialect, FrontLimits, Server};
use wagtailmoor_store::{ChangeFeed, PlainTable, StoreClock, Table};
use wagtailmoor_telemetry::Event;

use crate::confirmation_wait;
use crate::feeds;
use crate::gateway::RouterGateway;
use crate::leader_loop;
use crate::node_settings::NodeSettings;
use crate::peer_link::{self, PeerLink};
use crate::ready_page::{self, Page};
use crate::replica_table::ReplicaTable;
use crate::site_decoder::SiteDecoder;
use crate::state::{Shared, SharedState};
use crate::target_control::TargetControl;
use crate::{grant_loop, report_loop, rollout_loop, row_source, zone_traffic};

/// A stopping node still accepts connections for this long. The platform checks readiness every
/// second and stops sending connections after two failed checks.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_300);

/// The front end stops this long before the platform kills the process, to leave time for the rest
/// of the shutdown.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Requests that arrive during a shutdown are answered at least this long before the front end
/// stops.
const SHUTDOWN_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Largest size of a request's head. The front end starts before the operators' configuration is
/// known, so this limit does not depend on it.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// A client's connection may be idle, or spend on sending a head, at most this long.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A request's body counts as stalled after this long without progress.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// File descriptors for each client connection: its own and that of a connection to a target.
const DESCRIPTORS_PER_CONNECTION: u32 = 2;

/// File descriptors reserved for files, the store and other nodes.
const DESCRIPTORS_RESERVED: u32 = 400;

/// A listen address cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen for {purpose} on {address}: {source}"))]
pub struct StartError {
    purpose: &'static str,
    address: SocketAddr,
    source: io::Error,
}

/// A running router process.
pub struct Router<T> {
    shared: Shared,
    table: Rc<T>,
    stop: watch::Sender<bool>,
    front: JoinHandle<()>,
}

/// Starts a router process on the current `LocalSet`.
///
/// # Errors
///
/// An address cannot be bound.
pub async fn start<D, S, P, C>(
    settings: NodeSettings,
    dialect: D,
    decoder: S,
    store: P,
    control: C,
) -> Result<Router<P>, StartError>
where
    D: Dialect<Load = LoadSample> + 'static,
    S: SiteDecoder + 'static,
    P: Table + PlainTable + StoreClock + ChangeFeed + 'static,
    C: TargetControl + 'static,
{
    let front = bind("clients", settings.front).await?;
    let ready = bind("readiness", settings.ready).await?;
    let metrics = bind("metrics", settings.metrics).await?;
    let (calls, received) = mpsc::unbounded_channel();
    peer_link::listen(settings.peers, calls)
        .await
        .context(StartSnafu { purpose: "peers", address: settings.peers })?;
    let limits = FrontLimits {
        connections_max: connections_max(settings.descriptors_max),
        head_max_bytes: HEAD_MAX_BYTES,
        head_timeout: CLIENT_IDLE_TIMEOUT,
        body_idle_timeout: BODY_IDLE_TIMEOUT,
    };
    Event::new("start")
        .field("node", &settings.node)
        .field("zone", &settings.zone)
        .field("incarnation", settings.incarnation)
        .field("front", settings.front)
        .info();
    let shared = SharedState::new(settings);
    shared.write().replica.set_ordered_row(S::CONFIG_KEY);
    let (store, decoder) = (Rc::new(store), Rc::new(decoder));
    for table in ReplicaTable::ALL {
        let (store, decoder) = (Rc::clone(&store), Rc::clone(&decoder));
        spawn_local(feeds::follow(Rc::clone(&shared), store, decoder, table));
    }
    let link = PeerLink::new(Rc::clone(&shared));
    spawn_local(leader_loop::run(Rc::clone(&shared), Rc::clone(&store)));
    spawn_local(grant_loop::run(Rc::clone(&shared), Rc::clone(&store), Rc::new(control)));
    spawn_local(rollout_loop::run(Rc::clone(&shared), Rc::clone(&store), Rc::clone(&decoder)));
    spawn_local(report_loop::report(Rc::clone(&shared), link.clone()));
    spawn_local(report_loop::answer(Rc::clone(&shared), received));
    spawn_local(row_source::run(Rc::clone(&shared), link, decoder));
    spawn_local(confirmation_wait::watch(Rc::clone(&shared)));
    spawn_local(ready_page::serve(Rc::clone(&shared), ready, Page::Ready));
    spawn_local(ready_page::serve(Rc::clone(&shared), metrics, Page::Metrics));
    spawn_local(zone_traffic::log(Rc::clone(&shared)));
    let gateway = Rc::new(RouterGateway::new(Rc::clone(&shared), dialect));
    let server = Server::new(gateway, limits);
    let (stop, stopped) = watch::channel(false);
    let front = spawn_local(async move { server.serve(front, stopped).await });
    Ok(Router { shared, table: store, stop, front })
}

fn connections_max(descriptors_max: u32) -> u32 {
    let connections =
        descriptors_max.saturating_sub(DESCRIPTORS_RESERVED) / DESCRIPTORS_PER_CONNECTION;
    connections.max(1)
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(StartSnafu { purpose, address })
}

impl<T: Table> Router<T> {
    /// Stops the process. Requests in progress are finished if the grace period allows.
    pub async fn stop(self) {
        Event::new("stop").field("grace_ms", self.shared.settings.grace.as_millis()).info();
        let grace = self.shared.settings.grace.saturating_sub(GRACE_MARGIN);
        let answered_by = self.shared.now() + grace.saturating_sub(SHUTDOWN_ANSWER_MARGIN);
        self.shared.write().shutdown_deadline = Some(answered_by);
        let drain = async {
            sleep(DEREGISTRATION_DELAY).await;
            self.stop.send_replace(true);
            // If the front end's task failed, it has no requests left to finish.
            drop(self.front.await);
        };
        // The store may be away. The front end must not accept requests for longer because of that.
        let resign = leader_loop::resign(&self.shared, &*self.table);
        let stopped = timeout(grace, async { tokio::join!(resign, drain) });
        let drained = stopped.await.is_ok();
        let settings = &self.shared.settings;
        let events = self.shared.read().traffic.events(&settings.zone);
        events.into_iter().for_each(Event::info);
        Event::new("stopped").field("whole", drained).info();
    }
}
