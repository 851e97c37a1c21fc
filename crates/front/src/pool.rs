//! Connections to targets and the pool of idle ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use wagtailmoor_core::SortedVec;
use wagtailmoor_telemetry::{MeteredStream, TrafficMeter};

use crate::body::RequestBody;
use crate::headers;
use crate::remainder_limits::RemainderLimits;
use crate::remainders::Remainders;
use crate::target_stream::TargetStream;
use crate::transfer::Transfer;

/// Idle timeout for targets that state none; shorter than any such target's own idle timeout.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// Percentage of a target's stated idle timeout for which an idle connection is kept. A request
/// sent while the target closes the connection would be lost.
const IDLE_USED_PERCENT: u32 = 60;

/// During a network failure, connection attempts get no reply at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Response heads are far shorter. The limit bounds the memory that an endless head can use.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// The socket of a connection as hyper uses it.
type TargetIo = TokioIo<MeteredStream<TargetStream>>;

/// A connection to a target with the permit under which it was opened.
///
/// Dropping it closes the socket, so that the target cancels the running request. Only
/// [`Pool::finish`], after an exchange that ended cleanly, keeps it open.
#[derive(Debug)]
pub(crate) struct Connection<P> {
    pub(crate) sender: SendRequest<RequestBody>,
    target: SocketAddr,
    task: AbortHandle,
    transfer: Rc<Transfer>,
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

    /// Returns the state of the latest request's body.
    pub(crate) fn transfer(&self) -> &Rc<Transfer> {
        &self.transfer
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
    remainders: Rc<Remainders>,
    remainder_limits: RemainderLimits,
}

impl<P> Pool<P> {
    pub(crate) fn new(remainder_limits: RemainderLimits) -> Self {
        Self { idle: RefCell::default(), remainders: Rc::default(), remainder_limits }
    }

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
    fn return_idle(&self, mut connection: Connection<P>) {
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

impl<P: 'static> Pool<P> {
    /// Takes over a connection whose exchange ended cleanly.
    ///
    /// A target may answer before it has read a long body, and read on. The connection then carries
    /// the remainder of the body and no further request.
    pub(crate) fn finish(&self, connection: Connection<P>) {
        connection.transfer.end_exchange();
        match connection.transfer.is_written() {
            true => self.return_idle(connection),
            false => self.send_remainder(connection),
        }
    }

    /// Waits until the remainders of all bodies have been sent or their connections are closed.
    pub(crate) async fn remainders_ended(&self) {
        self.remainders.ended().await;
    }

    /// Keeps a connection until the remainder of its request's body was written, within limits on
    /// time and size, and closes it.
    fn send_remainder(&self, connection: Connection<P>) {
        let counted = self.remainders.start();
        let limits = self.remainder_limits;
        spawn_local(async move {
            let transfer = Rc::clone(&connection.transfer);
            let ended = transfer.remainder_ended(limits.size_max);
            drop(timeout(limits.timeout, ended).await);
            drop(connection);
            transfer.socket_closed().await;
            drop(counted);
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
    let transfer = Rc::<Transfer>::default();
    let stream = TargetStream::new(stream, Rc::clone(&transfer)).ok()?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_MAX_BYTES);
    let (sender, connection) =
        builder.handshake(TokioIo::new(MeteredStream::new(stream, meter))).await.ok()?;
    let task = spawn_local(run(connection, Rc::clone(&transfer))).abort_handle();
    let (idle_max, used) = (IDLE_MAX, false);
    Some(Connection { sender, target, task, transfer, idle_max, used, single_use, permit })
}

/// Runs hyper's side of a connection, then closes the socket.
async fn run(connection: http1::Connection<TargetIo, RequestBody>, transfer: Rc<Transfer>) {
    let mut connection = pin!(connection);
    // Errors are returned to the exchange through the sender.
    drop(connection.as_mut().await);
    // A target may announce the end of the connection with its response and not have received the
    // whole body yet. Whether that is still delivered depends on how the exchange ends.
    if transfer.is_written() {
        transfer.exchange_ended().await;
    }
}

/// A pool shared by the exchanges of one process.
pub(crate) type SharedPool<P> = Rc<Pool<P>>;
