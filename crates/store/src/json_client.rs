//! HTTP client for JSON requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Above the size of any configuration snapshot; a larger body is an error of the sender.
const RESPONSE_MAX_BYTES: usize = 256 * 1024 * 1024;

/// The kernel retransmits lost SYN packets with exponential back-off, so a new connection attempt
/// succeeds sooner than one that has lost packets.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct JsonResponse {
    /// Any HTTP status; an error status is not an `Err` of the client.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body as it was received, JSON or not.
    pub body: Bytes,
}

impl JsonResponse {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON or does not match `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// An HTTP client that sends JSON and reads whole responses, with one timeout per request.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl JsonClient {
    /// Creates a client with a timeout from the start of a request to the end of its response.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // An established connection may stop carrying packets while new connections work.
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_connect_timeout(Some(timeout.min(CONNECT_TIMEOUT)));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, timeout }
    }

    /// Returns a client that shares the connection pool of this one but has another timeout.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { client: self.client.clone(), timeout }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns the error as text; the request may have taken effect.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<JsonResponse, String> {
        self.send(Method::GET, address, path, Bytes::new()).await
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns the error as text; the request may have taken effect.
    pub async fn send_json<T: Serialize>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<JsonResponse, String> {
        let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
        self.send(method, address, path, body.into()).await
    }

    /// Sends a request whose body is already encoded.
    ///
    /// # Errors
    ///
    /// Returns the error as text; the request may have taken effect.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<JsonResponse, String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        match timeout(self.timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err("timeout".into()),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<JsonResponse, String> {
        let response = self.client.request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        Ok(JsonResponse { status, headers, body })
    }
}
