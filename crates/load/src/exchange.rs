//! Sends one request and records its result.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;
use wagtailmoor_core::Outcome;
use wagtailmoor_history::{ClientRequest, ResponseCheck};

use crate::clock::RunClock;
use crate::connection_pool::{Connection, ConnectionPool};
use crate::response_reader;

/// Wait beyond the deadline, so that a response that reports the exceeded deadline still arrives.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_000);

/// Timeout of acquiring a pool permit and, if needed, opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Credentials sent with a request.
#[derive(Clone, Debug)]
pub(crate) enum Credentials {
    /// Customer key, as a client sends it.
    Key(String),
    /// Customer identifier in the header that an entry process adds, for requests sent directly to
    /// targets.
    AsEntry(String),
}

/// A request to send, with the record of its result.
pub(crate) struct Exchange {
    pub(crate) record: ClientRequest,
    pub(crate) credentials: Credentials,
    pub(crate) timeout: Duration,
    pub(crate) body: Bytes,
    /// Length of the [`BodyPattern`](wagtailmoor_history::BodyPattern) that the response must have;
    /// `None` if a JSON body is expected.
    pub(crate) expected_bytes: Option<u64>,
    /// Rate at which the response body is read; zero for no limit.
    pub(crate) read_bytes_per_s: u64,
}

enum SendFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been executed.
    Unknown,
}

impl Exchange {
    /// Sends the request through the first pool on which it can be sent, and returns its record.
    pub(crate) async fn run(
        mut self,
        pools: &[Rc<ConnectionPool>],
        clock: RunClock,
    ) -> ClientRequest {
        self.record.start_us = clock.unix_us();
        let timeout = self.timeout + RESPONSE_GRACE;
        let result = time::timeout(timeout, self.exchange(pools)).await;
        self.record.end_us = clock.unix_us();
        match result {
            Ok(Ok(())) => {}
            Ok(Err(SendFailure::NotSent)) => self.record.outcome = Outcome::NotRun,
            // The exchange failed, or timed out before or after the response head.
            Ok(Err(SendFailure::Unknown)) | Err(_) => {
                self.record.outcome = Outcome::Unknown;
                if self.record.status.is_some() {
                    self.record.check = ResponseCheck::CutShort;
                }
            }
        }
        self.record
    }

    async fn exchange(&mut self, pools: &[Rc<ConnectionPool>]) -> Result<(), SendFailure> {
        for pool in pools {
            let (response, connection) = match self.send(pool).await {
                Ok(sent) => sent,
                Err(SendFailure::NotSent) => continue,
                Err(SendFailure::Unknown) => return Err(SendFailure::Unknown),
            };
            self.record_response_head(response.status().as_u16(), response.headers());
            let (expected_bytes, rate) = (self.expected_bytes, self.read_bytes_per_s);
            if response_reader::read(response, &mut self.record, expected_bytes, rate).await {
                pool.release(connection);
            }
            return Ok(());
        }
        Err(SendFailure::NotSent)
    }

    /// Sends the request. Retries once on a new connection if an idle one turns out to be closed.
    async fn send(
        &self,
        pool: &ConnectionPool,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        for force_new in [false, true] {
            let opened = time::timeout(CONNECT_TIMEOUT, pool.acquire(force_new)).await;
            let Ok(Ok(mut connection)) = opened else {
                return Err(SendFailure::NotSent);
            };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            match connection.sender.try_send_request(self.request(pool)).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => {
                    if error.take_message().is_none() {
                        return Err(SendFailure::Unknown);
                    }
                }
            }
        }
        Err(SendFailure::NotSent)
    }

    fn request(&self, pool: &ConnectionPool) -> Request<Full<Bytes>> {
        let record = &self.record;
        let mut request = Request::builder()
            .method(record.method.as_str())
            .uri(&record.path)
            .header("host", pool.address().to_string())
            .header("load-id", &record.load_id)
            .header("wagtailmoor-deadline-ms", self.timeout.as_millis().to_string());
        request = match &self.credentials {
            Credentials::Key(key) => request.header("authorization", format!("Bearer {key}")),
            Credentials::AsEntry(customer) => request.header("wagtailmoor-customer", customer),
        };
        if let Some(key) = &record.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        // The scenario is validated, so the parts are valid. If one is not, `GET /` is sent and the
        // comparison of the response reports the mismatch.
        request.body(Full::new(self.body.clone())).unwrap_or_default()
    }

    fn record_response_head(&mut self, status: u16, headers: &HeaderMap) {
        let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        self.record.status = Some(status);
        let outcome = header("wagtailmoor-outcome").and_then(|outcome| outcome.parse().ok());
        self.record.outcome = outcome.unwrap_or(Outcome::Answered);
        self.record.reason = header("wagtailmoor-reason").and_then(|reason| reason.parse().ok());
    }
}
