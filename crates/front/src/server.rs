//! Accepts client connections and serves the requests on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use wagtailmoor_core::Reason;

use crate::body::{self, ClientFault, CollectedBody, FaultCell};
use crate::checked_stream::{CheckedStream, ConnectionState, PipelineHandler};
use crate::connection_close::{self, Announcement};
use crate::dialect::Dialect;
use crate::exchange::{AdmittedRequest, Exchange};
use crate::gateway::{Call, Gateway};
use crate::pipelined_requests::{PipelinedRequests, PipelinedResult};
use crate::pool::{Pool, SharedPool};
use crate::refusal::Refusal;
use crate::remainder_limits::RemainderLimits;
use crate::response_body::ResponseBody;
use crate::response_buffers::ResponseBuffers;
use crate::target_request::TargetRequest;

/// Interval at which idle connections to targets are checked for closing.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Smallest buffer size that hyper accepts.
const HYPER_BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Limits on client connections and requests.
#[derive(Clone, Debug)]
pub struct FrontLimits {
    /// Maximum number of open client connections; requests on further ones are refused.
    pub connections_max: u32,
    /// Maximum size of a request head in bytes.
    pub head_max_bytes: usize,
    /// Timeout for receiving a complete request head.
    pub head_timeout: Duration,
    /// Time without received bytes after which a request body counts as stalled.
    pub body_idle_timeout: Duration,
}

/// Serves client connections and keeps the pool of connections to targets.
pub struct Server<G: Gateway> {
    gateway: Rc<G>,
    limits: FrontLimits,
    pool: SharedPool<G::ConnectionPermit>,
    buffers: Rc<ResponseBuffers>,
    connections: Rc<Cell<u32>>,
    connection_closed: Rc<Notify>,
}

impl<G: Gateway> Clone for Server<G> {
    fn clone(&self) -> Self {
        Self {
            gateway: Rc::clone(&self.gateway),
            limits: self.limits.clone(),
            pool: Rc::clone(&self.pool),
            buffers: Rc::clone(&self.buffers),
            connections: Rc::clone(&self.connections),
            connection_closed: Rc::clone(&self.connection_closed),
        }
    }
}

/// Counts a client connection as open until dropped.
struct ConnectionCount {
    connections: Rc<Cell<u32>>,
    connection_closed: Rc<Notify>,
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.connections.set(self.connections.get() - 1);
        self.connection_closed.notify_one();
    }
}

impl<G: Gateway + 'static> Server<G> {
    /// Creates a server without connections.
    pub fn new(gateway: Rc<G>, limits: FrontLimits) -> Self {
        Self {
            gateway,
            limits,
            pool: Rc::new(Pool::new(RemainderLimits::default())),
            buffers: Rc::default(),
            connections: Rc::default(),
            connection_closed: Rc::default(),
        }
    }

    /// Sets the limits on the remainders of request bodies that targets answer early.
    pub fn with_remainder_limits(self, limits: RemainderLimits) -> Self {
        Self { pool: Rc::new(Pool::new(limits)), ..self }
    }

    /// Returns the number of open client connections.
    pub fn connections(&self) -> u32 {
        self.connections.get()
    }

    /// Accepts connections until `stop` turns true, then waits for the open ones to finish and for
    /// the remainders of request bodies that targets answered early.
    pub async fn serve(&self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let mut stopping = stop.clone();
        let mut prune = tokio::time::interval(PRUNE_INTERVAL);
        loop {
            tokio::select! {
                _ = stopping.wait_for(|stop| *stop) => break,
                _ = prune.tick() => self.pool.prune(),
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.accept(stream, stop.clone()),
                    // Usually out of file descriptors; accepting again at once would spin.
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                },
            }
        }
        drop(listener);
        while self.connections.get() > 0 {
            self.connection_closed.notified().await;
        }
        self.pool.remainders_ended().await;
    }

    fn accept(&self, stream: TcpStream, stop: watch::Receiver<bool>) {
        let over_limit = self.connections.get() >= self.limits.connections_max;
        self.connections.set(self.connections.get() + 1);
        let count = ConnectionCount {
            connections: Rc::clone(&self.connections),
            connection_closed: Rc::clone(&self.connection_closed),
        };
        let server = self.clone();
        spawn_local(async move {
            server.serve_connection(stream, stop, over_limit).await;
            drop(count);
        });
    }

    async fn serve_connection(
        &self,
        stream: TcpStream,
        mut stop: watch::Receiver<bool>,
        over_limit: bool,
    ) {
        // Nagle's algorithm delays small responses until earlier packets are acknowledged.
        drop(stream.set_nodelay(true));
        let state = Rc::new(ConnectionState::default());
        let announcement = Cell::new(Announcement::Unannounced);
        let pipelined_requests = Rc::new(PipelinedRequests::default());
        let service = service_fn(|request| {
            let number = state.started.replace(state.started.get() + 1);
            let rejected = state.rejected.get().filter(|rejected| rejected.request == number);
            let (state, pipelined_requests) = (&state, &pipelined_requests);
            let announcement = &announcement;
            async move {
                let response = match (rejected, over_limit) {
                    (Some(rejected), _) => {
                        self.refusal(Refusal::not_run(rejected.reason, rejected.detail))
                    }
                    (None, true) => self.refusal(Refusal::too_many_connections()),
                    (None, false) => match pipelined_requests.wait(number).await {
                        Some(response) => response.unwrap_or_else(|refusal| self.encode(&refusal)),
                        None => self.respond(request).await,
                    },
                };
                state.answered.set(number + 1);
                let response = match pipelined_requests.is_finished() {
                    true => closing(response),
                    false => response,
                };
                if announces_close(&response) {
                    announcement.set(Announcement::Announced);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let head_max_bytes = self.limits.head_max_bytes;
        let pipelined = PipelinedStarter {
            server: self.clone(),
            pipelined_requests: Rc::clone(&pipelined_requests),
        };
        let stream = CheckedStream::new(stream, head_max_bytes, Rc::clone(&state), pipelined);
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(head_max_bytes.max(HYPER_BUFFER_MIN_BYTES))
            .keep_alive(!over_limit)
            .serve_connection(TokioIo::new(stream), service);
        // Connection errors are ignored here; each request reports its own end.
        let ended = tokio::select! {
            _ = &mut connection => true,
            _ = stop.wait_for(|stop| *stop) => false,
        };
        if !ended {
            // Clients get the responses to the requests that are running, but further ones are not
            // read.
            pipelined_requests.close();
            let ended = tokio::select! {
                _ = &mut connection => true,
                () = pipelined_requests.all_awaited() => false,
            };
            if !ended {
                Pin::new(&mut connection).graceful_shutdown();
                drop((&mut connection).await);
            }
        }
        // Drops what still runs for the connection, so that the targets cancel it.
        let stream = connection.into_parts().io.into_inner().into_inner();
        drop(pipelined_requests);
        // Connections above the limit are closed at once: the limit protects the file descriptors.
        let lingers = !over_limit && !state.closed_by_client.get();
        match state.written_at.get() {
            Some(written_at) if lingers => {
                connection_close::close(stream, announcement.get(), written_at).await;
            }
            _ => {}
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody<G>> {
        let response = self.exchange(request).await;
        response.unwrap_or_else(|refusal| self.encode(&refusal))
    }

    /// Refuses a request without parsing its head.
    fn refusal(&self, refusal: Refusal) -> Response<ResponseBody<G>> {
        self.encode(&self.refuse(refusal))
    }

    fn encode(&self, refusal: &Refusal) -> Response<ResponseBody<G>> {
        self.gateway.dialect().refusal(refusal).map(ResponseBody::refusal)
    }

    fn refuse(&self, refusal: Refusal) -> Refusal {
        self.gateway.on_refused(None, &refusal);
        refusal
    }

    async fn exchange(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody<G>>, Refusal> {
        let (parts, incoming) = request.into_parts();
        let dialect = self.gateway.dialect();
        let head = dialect.request_head(&parts).map_err(|refusal| self.refuse(refusal))?;
        let call = self.gateway.resolve(&head).await.map_err(|refusal| self.refuse(refusal))?;
        let call = Rc::new(call);
        let credit = match G::ADMITS_BEFORE_BODY {
            true => Some(self.admit(&call).await?),
            false => None,
        };
        let fault = FaultCell::default();
        let body = body::receive(incoming, call.streamed, self.limits.body_idle_timeout, &fault);
        let body = body.await.map_err(|fault| {
            let refusal = client_fault_refusal(fault);
            self.gateway.on_refused(Some(&call), &refusal);
            refusal
        })?;
        self.run(parts, call, body, fault, credit).await
    }

    /// Runs a pipelined request without a body before the earlier requests on its connection are
    /// answered.
    ///
    /// Clients that pipeline requests expect them to be idempotent. Returns `None` for any other
    /// request, which runs only after the earlier ones.
    async fn exchange_pipelined(&self, parts: Parts) -> PipelinedResult<G> {
        let head = self.gateway.dialect().request_head(&parts).ok()?;
        let call = self.gateway.resolve(&head).await.ok().filter(|call| call.idempotent)?;
        let body = CollectedBody::Complete(Bytes::new());
        Some(self.run(parts, Rc::new(call), body, FaultCell::default(), None).await)
    }

    async fn admit(&self, call: &Call) -> Result<G::Credit, Refusal> {
        let admitted = self.gateway.admit(call).await;
        admitted.inspect_err(|refusal| self.gateway.on_refused(Some(call), refusal))
    }

    async fn run(
        &self,
        parts: Parts,
        call: Rc<Call>,
        body: CollectedBody,
        fault: FaultCell,
        credit: Option<G::Credit>,
    ) -> Result<Response<ResponseBody<G>>, Refusal> {
        let refuse = |refusal: Refusal| {
            self.gateway.on_refused(Some(&call), &refusal);
            refusal
        };
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let fingerprint = self
            .gateway
            .check_fingerprint(&call, parts.method.as_str(), path, &body.fingerprint_input())
            .map_err(refuse)?;
        let credit = match credit {
            Some(credit) => credit,
            None => self.admit(&call).await?,
        };
        self.gateway.claim_record(&call).await.map_err(refuse)?;
        let request = TargetRequest::new(self.gateway.dialect(), parts, &call);
        let (gateway, pool) = (Rc::clone(&self.gateway), Rc::clone(&self.pool));
        let call = Rc::clone(&call);
        let admitted = AdmittedRequest { call, fingerprint, request, body, fault, credit };
        Exchange::new(gateway, pool, Rc::clone(&self.buffers), admitted).run().await
    }
}

/// Starts pipelined requests before the earlier requests on their connection are answered.
struct PipelinedStarter<G: Gateway> {
    server: Server<G>,
    pipelined_requests: Rc<PipelinedRequests<G>>,
}

impl<G: Gateway + 'static> PipelineHandler for PipelinedStarter<G> {
    fn on_pipelined(&self, number: u64, head: Parts) {
        if !G::Dialect::RUNS_PIPELINED_EARLY {
            return;
        }
        let server = self.server.clone();
        self.pipelined_requests.start(number, async move { server.exchange_pipelined(head).await });
    }
}

/// Returns whether a response tells the client that its connection is closed behind it.
fn announces_close<B>(response: &Response<B>) -> bool {
    response.headers().get(CONNECTION).is_some_and(|value| value == "close")
}

/// Marks a response as the last one on its connection.
fn closing<B>(mut response: Response<B>) -> Response<B> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn client_fault_refusal(fault: ClientFault) -> Refusal {
    Refusal::not_run(Reason::ClientTooSlow, fault.to_string())
}
