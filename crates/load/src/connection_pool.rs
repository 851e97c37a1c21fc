//! Pool of HTTP/1 connections to one address.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Sending half of one connection.
pub(crate) type RequestSender = SendRequest<Full<Bytes>>;

/// Pool of connections to one address, of which a limited number is in use at a time.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: RefCell<Vec<RequestSender>>,
    permits: Arc<Semaphore>,
    opened: Cell<u64>,
}

/// A connection in use; holds a permit of the pool until it is dropped.
pub(crate) struct Connection {
    pub(crate) sender: RequestSender,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr, max_connections: u32) -> Rc<Self> {
        Rc::new(Self {
            address,
            idle: RefCell::default(),
            permits: Arc::new(Semaphore::new(max_connections as usize)),
            opened: Cell::new(0),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Waits until the number of connections in use is below the limit, and returns an idle
    /// connection, or a new one if none is idle or `force_new` is set.
    pub(crate) async fn acquire(&self, force_new: bool) -> io::Result<Connection> {
        let permit = self.permits.clone().acquire_owned().await.map_err(io::Error::other)?;
        let sender = match self.take_idle().filter(|_| !force_new) {
            Some(sender) => sender,
            None => self.open().await?,
        };
        Ok(Connection { sender, _permit: permit })
    }

    /// Returns a connection to the pool once it is ready for another request; drops it if it fails.
    pub(crate) fn release(self: &Rc<Self>, mut connection: Connection) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if connection.sender.ready().await.is_ok() {
                pool.idle.borrow_mut().push(connection.sender);
            }
        });
    }

    fn take_idle(&self) -> Option<RequestSender> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|sender| !sender.is_closed());
        idle.pop()
    }

    async fn open(&self) -> io::Result<RequestSender> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        tokio::task::spawn_local(connection);
        self.opened.set(self.opened.get() + 1);
        Ok(sender)
    }
}
