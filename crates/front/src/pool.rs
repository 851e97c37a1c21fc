//! Connections to targets.

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

use crate::body::RequestBody;
use crate::headers;

/// Targets that state no idle timeout close idle connections after longer than this.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// Part of a target's idle timeout for which a connection is kept, in percent. A request sent
/// while the target closes the connection would be lost.
const IDLE_USED_PERCENT: u32 = 60;

/// A lost network shows as a connection attempt without an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Heads of targets are far shorter; one without end must not fill the memory.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// A connection to a target with the permit under which it was opened.
///
/// Dropping it closes the socket, so that the target cancels what it runs. Only
/// [`Pool::put_back`], after an exchange that ended cleanly, keeps it open.
#[derive(Debug)]
pub(crate) struct Connection<P> {
    pub(crate) sender: SendRequest<RequestBody>,
    target: SocketAddr,
    task: AbortHandle,
    idle_max: Duration,
    /// Whether an earlier request was answered on it.
    used: bool,
    /// Whether it is closed when its exchange ends. Requests that open a connection of their own take
    /// none out of the pool, where such connections would pile up.
    single_use: bool,
    permit: Option<P>,
}

impl<P> Connection<P> {
    /// Returns whether an earlier request was answered on this connection.
    pub(crate) fn was_used(&self) -> bool {
        self.used
    }

    /// Takes the idle timeout that the target states.
    pub(crate) fn note_idle_timeout(&mut self, fields: &HeaderMap) {
        if let Some(timeout) = headers::keep_alive_timeout(fields) {
            self.idle_max = timeout * IDLE_USED_PERCENT / 100;
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

/// Idle connections by target.
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
    /// Takes an idle connection that is still open.
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

    /// Keeps a connection whose last exchange ended cleanly, unless it is for one exchange only.
    pub(crate) fn put_back(&self, mut connection: Connection<P>) {
        if connection.sender.is_closed() || connection.single_use {
            return;
        }
        connection.used = true;
        let idle = Idle { since: tokio::time::Instant::now(), connection };
        let mut pools = self.idle.borrow_mut();
        pools.get_or_insert_with(idle.connection.target, Vec::new).push(idle);
    }

    /// Closes connections that are closed by the target or were idle for too long.
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

/// Opens a connection.
pub(crate) async fn open<P>(
    target: SocketAddr,
    permit: Option<P>,
    single_use: bool,
) -> Option<Connection<P>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    // A request that was given up must not arrive after a partition healed, so a connection is
    // reset when it is closed.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_MAX_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    let task = spawn_local(async move {
        // Errors reach the exchange that uses the connection.
        drop(connection.await);
    });
    let task = task.abort_handle();
    Some(Connection { sender, target, task, idle_max: IDLE_MAX, used: false, single_use, permit })
}

/// A pool shared by the exchanges of one process.
pub(crate) type SharedPool<P> = Rc<Pool<P>>;
