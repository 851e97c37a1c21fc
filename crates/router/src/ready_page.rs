//! HTTP pages for the platform's readiness checks, metrics and the node's status.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use wagtailmoor_telemetry::Event;

use crate::metrics_page;
use crate::node_status::NodeStatus;
use crate::state::Shared;

/// A request's head must arrive on an open connection within this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, which most likely lacked a file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The page that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    /// Status 200 while this node accepts clients.
    Ready,
    /// Counters and histograms, and the status page for operators.
    Metrics,
}

/// Serves a page until the process stops.
pub(crate) async fn serve(shared: Shared, listener: TcpListener, page: Page) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = shared.clone();
                spawn_local(async move {
                    let service = service_fn(|request| {
                        let answer = answer(&shared, &request, page);
                        async { Ok::<_, Infallible>(answer) }
                    });
                    let served = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(IDLE_TIMEOUT)
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                    log_end(peer, served);
                });
            }
            Err(error) => {
                Event::new("accept-failed").field("cause", error).warn();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn log_end(peer: SocketAddr, served: Result<(), hyper::Error>) {
    if let Err(error) = served {
        Event::new("page-connection-failed").field("peer", peer).field("cause", error).debug();
    }
}

fn status_text(shared: &Shared) -> String {
    let status = NodeStatus::of(shared);
    serde_json::to_string(&status).expect("a status is representable in JSON")
}

fn answer(shared: &Shared, request: &Request<Incoming>, page: Page) -> Response<Full<Bytes>> {
    let state = shared.read();
    let path = request.uri().path();
    let found = page == Page::Metrics || path == shared.settings.ready_path;
    let (status, body) = match page {
        _ if !found => (StatusCode::NOT_FOUND, String::new()),
        Page::Metrics if path == NodeStatus::PATH => (StatusCode::OK, status_text(shared)),
        Page::Ready if state.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        Page::Ready => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        Page::Metrics => (StatusCode::OK, metrics_page::render(&state)),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
