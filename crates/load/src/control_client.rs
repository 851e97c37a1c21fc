//! Client of the control interface of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time;
use wagtailmoor_history::{Execution, Violation};

/// Timeout of each request, including the connection setup.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Executions read with one request.
const PAGE_SIZE: usize = 20_000;

/// Client of the control interface of the stand-ins; opens a connection for each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlClient {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct ExecutionPage {
    executions: Vec<Execution>,
    count: u64,
}

#[derive(Deserialize)]
struct ViolationList {
    violations: Vec<Violation>,
}

impl ControlClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Sends a POST to a path below `/control/`, with an empty body if `body` is null.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> io::Result<()> {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        self.send("POST", path, body).await.map(|_| ())
    }

    /// Returns the number of executions that the stand-ins have logged so far.
    pub(crate) async fn count(&self) -> io::Result<u64> {
        let page: ExecutionPage = self.get("executions?limit=0").await?;
        Ok(page.count)
    }

    /// Returns the executions from position `first` of the log to its end, read in pages.
    pub(crate) async fn executions(&self, first: u64) -> io::Result<Vec<Execution>> {
        let mut executions = Vec::new();
        loop {
            let start = first + executions.len() as u64;
            let page: ExecutionPage =
                self.get(&format!("executions?from={start}&limit={PAGE_SIZE}")).await?;
            if page.executions.is_empty() {
                return Ok(executions);
            }
            executions.extend(page.executions);
        }
    }

    /// Returns the violations recorded at `from_us` or later.
    pub(crate) async fn violations(&self, from_us: u64) -> io::Result<Vec<Violation>> {
        let list: ViolationList = self.get("violations").await?;
        Ok(list.violations.into_iter().filter(|violation| violation.at_us >= from_us).collect())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> io::Result<T> {
        let body = self.send("GET", path, String::new()).await?;
        serde_json::from_slice(&body).map_err(io::Error::other)
    }

    async fn send(&self, method: &str, path: &str, body: String) -> io::Result<Bytes> {
        let exchange = self.exchange(method, path, body);
        time::timeout(TIMEOUT, exchange).await.map_err(io::Error::other)?
    }

    async fn exchange(&self, method: &str, path: &str, body: String) -> io::Result<Bytes> {
        let stream = TcpStream::connect(self.address).await?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
        let connection = tokio::task::spawn_local(connection);
        let request = Request::builder()
            .method(method)
            .uri(format!("/control/{path}"))
            .header("host", self.address.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(io::Error::other)?;
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        connection.abort();
        match status.is_success() {
            true => Ok(body),
            false => {
                let message = String::from_utf8_lossy(&body);
                Err(io::Error::other(format!("control {path}: {status} {message}")))
            }
        }
    }
}
