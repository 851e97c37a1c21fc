//! HTTP connections that one listener has accepted.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::reply::{CloseConnection, Reply};

/// Handles the requests of a listener.
pub(crate) trait Handler: 'static {
    /// Returns the response to one request, or an error to close its connection without one.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, CloseConnection>>;
}

/// The open connections of a listener.
#[derive(Default)]
pub(crate) struct Connections {
    tasks: RefCell<JoinSet<()>>,
}

impl Connections {
    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.len()
    }

    /// Serves a connection; its first request is read after the given setup time.
    pub(crate) fn serve<H: Handler>(&self, stream: TcpStream, handler: Rc<H>, setup: Duration) {
        self.tasks.borrow_mut().spawn_local(serve(stream, handler, setup));
    }

    /// Runs a task that `close_all` aborts.
    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.tasks.borrow_mut().spawn_local(work);
    }

    /// Closes all connections and aborts the requests on them.
    pub(crate) fn close_all(&self) {
        self.tasks.borrow_mut().abort_all();
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Rc<H>, setup: Duration) {
    if !setup.is_zero() {
        time::sleep(setup).await;
    }
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler.clone().handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=connection-ended error={error:?}");
    }
}
