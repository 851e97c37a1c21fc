//! Connections to targets and the pool of idle ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use wagtailmoor_core::SortedVec;
use wagtailmoor_telemetry::{MeteredStream, TrafficMeter};

use crate::body::RequestBody;
use crate::headers;

/// Idle timeout for targets that state none; shorter than any such target's own idle timeout.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// Percentage of a target's stated idle timeout for which an idle connection is kept. A request
/// sent while the target closes the connection would be lost.
const IDLE_USED_PERCENT: u32 = 60;

/// During a network failure, connection attempts get no reply at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Response heads are far shorter. The limit bounds the memory that an endless head can use.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// A connection to a target with the permit under which it was opened.
///
/// Dropping it closes the socket, so that the target cancels the running request. Only
/// [`Pool::return_idle`], after an exchange that ended cleanly, keeps it open.
#[derive(Debug)]
pub(crate) struct Connection<P> {
    pub(crate) sender: SendRequest<RequestBody>,
    target: SocketAddr,
    task: AbortHandle,
    idle_max: Duration,
    /// Whether an earlier exchange on the connection has ended cleanly.
    used: bool,
    /// Whether the connection is closed when its exchange ends. Requests with
    /// [`Call::fresh_connection`](crate::Call::fresh_connection) never take a connection from the
    /// pool, so their connections would accumulate in it.
    single_use: bool,
    permit: Option<P>,
}

impl<P> Connection<P> {
    /// Returns whether an earlier exchange on this connection has ended cleanly.
    pub(crate) fn was_used(&self) -> bool {
        self.used
    }

    /// Sets the idle timeout from the `Keep-Alive` field of a response.
    pub(crate) fn set_idle_timeout(&mut self, fields: &HeaderMap) {
        if let Some(timeout) = headers::keep_alive_timeout(fields) {
            self.idle_max = timeout.get() * IDLE_USED_PERCENT / 100;
        }
    }
}

impl<P> Drop for Connection<P> {
    fn drop(&mut self) {
        self.task.abort();
        drop(self.permit.take());
    }
}

#[derive(Debug)]
struct Idle<P> {
    connection: Connection<P>,
    since: tokio::time::Instant,
}

/// Idle connections by target address.
#[derive(Debug)]
pub(crate) struct Pool<P> {
    idle: RefCell<SortedVec<SocketAddr, Vec<Idle<P>>>>,
}

impl<P> Default for Pool<P> {
    fn default() -> Self {
        Self { idle: RefCell::default() }
    }
}

impl<P> Pool<P> {
    /// Removes an idle connection that is still usable, closing those that are not.
    pub(crate) fn take(&self, target: SocketAddr) -> Option<Connection<P>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target)?;
        while let Some(Idle { connection, since }) = connections.pop() {
            match connection.sender.is_ready() && since.elapsed() < connection.idle_max {
                true => return Some(connection),
                false => drop(connection),
            }
        }
        None
    }

    /// Adds a connection whose last exchange ended cleanly, unless it is closed or single-use.
    pub(crate) fn return_idle(&self, mut connection: Connection<P>) {
        if connection.sender.is_closed() || connection.single_use {
            return;
        }
        connection.used = true;
        let idle = Idle { since: tokio::time::Instant::now(), connection };
        let mut pools = self.idle.borrow_mut();
        pools.get_or_insert_with(idle.connection.target, Vec::new).push(idle);
    }

    /// Drops connections that the target closed or whose idle timeout has passed.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|idle| {
                !idle.connection.sender.is_closed()
                    && idle.since.elapsed() < idle.connection.idle_max
            });
            !connections.is_empty()
        });
    }
}

/// Opens a connection, or returns `None` if that fails or times out.
pub(crate) async fn open<P>(
    target: SocketAddr,
    permit: Option<P>,
    single_use: bool,
    meter: TrafficMeter,
) -> Option<Connection<P>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    // Closing resets the connection, so that unsent bytes of a cancelled request are discarded and
    // cannot arrive after a network partition has healed.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_MAX_BYTES);
    let (sender, connection) =
        builder.handshake(TokioIo::new(MeteredStream::new(stream, meter))).await.ok()?;
    let task = spawn_local(async move {
        // Errors are returned to the exchange through the sender.
        drop(connection.await);
    });
    let task = task.abort_handle();
    Some(Connection { sender, target, task, idle_max: IDLE_MAX, used: false, single_use, permit })
}

/// A pool shared by the exchanges of one process.
pub(crate) type SharedPool<P> = Rc<Pool<P>>;
