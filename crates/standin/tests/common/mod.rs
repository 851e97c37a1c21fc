//! A small HTTP client and a `LocalSet` for tests.

#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

pub(crate) struct TestResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl TestResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Runs a test on a current-thread runtime.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Sends a request on a new connection; fails if the response is incomplete.
pub(crate) async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<TestResponse, hyper::Error> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::task::spawn_local(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = if body.is_null() { Bytes::new() } else { body.to_string().into() };
    let (head, body) =
        sender.send_request(request.body(Full::new(body)).unwrap()).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    connection.abort();
    Ok(TestResponse { status: head.status, headers: head.headers, body })
}
