//! Sends one request and records what became of it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;
use wagtailmoor_core::Outcome;
use wagtailmoor_history::{ClientRequest, ResponseCheck};

use crate::answer_reader;
use crate::clock::RunClock;
use crate::connection_pool::{Connection, ConnectionPool};

/// Time beyond the deadline that a client waits for an answer that says so.
const GRACE: Duration = Duration::from_millis(1_000);

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Credentials of requests.
#[derive(Clone, Debug)]
pub(crate) enum Identity {
    /// A customer key, as a client sends it.
    Key(String),
    /// The headers that an entry process adds, for requests sent to targets directly.
    AsEntry(String),
}

/// A request to be sent.
pub(crate) struct Exchange {
    pub(crate) record: ClientRequest,
    pub(crate) identity: Identity,
    pub(crate) timeout: Duration,
    pub(crate) body: Bytes,
    /// Length of the patterned body that the answer must have, if it must have one.
    pub(crate) announced: Option<u64>,
    pub(crate) read_bytes_per_s: u64,
}

enum Failure {
    /// No byte was sent.
    NotSent,
    /// The request may have been run.
    Unknown,
}

impl Exchange {
    /// Sends the request to the first pool that can be connected to, and returns its record.
    pub(crate) async fn run(
        mut self,
        pools: &[Rc<ConnectionPool>],
        clock: RunClock,
    ) -> ClientRequest {
        self.record.start_us = clock.unix_us();
        let timeout = self.timeout + GRACE;
        let result = time::timeout(timeout, self.exchange(pools)).await;
        self.record.end_us = clock.unix_us();
        match result {
            Ok(Ok(())) => {}
            Ok(Err(Failure::NotSent)) => self.record.outcome = Outcome::NotRun,
            // The time is over while the answer is read, or before it came.
            Ok(Err(Failure::Unknown)) | Err(_) => {
                self.record.outcome = Outcome::Unknown;
                if self.record.status.is_some() {
                    self.record.check = ResponseCheck::CutShort;
                }
            }
        }
        self.record
    }

    async fn exchange(&mut self, pools: &[Rc<ConnectionPool>]) -> Result<(), Failure> {
        for pool in pools {
            let (answer, connection) = match self.send(pool).await {
                Ok(answered) => answered,
                Err(Failure::NotSent) => continue,
                Err(Failure::Unknown) => return Err(Failure::Unknown),
            };
            self.note_head(answer.status().as_u16(), answer.headers());
            let (announced, rate) = (self.announced, self.read_bytes_per_s);
            if answer_reader::read(answer, &mut self.record, announced, rate).await {
                pool.keep(connection);
            }
            return Ok(());
        }
        Err(Failure::NotSent)
    }

    /// Sends the request. A connection that was closed while it was idle is replaced once.
    async fn send(
        &self,
        pool: &ConnectionPool,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        for new in [false, true] {
            let opened = time::timeout(CONNECT_TIMEOUT, pool.acquire(new)).await;
            let Ok(Ok(mut connection)) = opened else {
                return Err(Failure::NotSent);
            };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            match connection.sender.try_send_request(self.request(pool)).await {
                Ok(answer) => return Ok((answer, connection)),
                Err(mut error) => {
                    if error.take_message().is_none() {
                        return Err(Failure::Unknown);
                    }
                }
            }
        }
        Err(Failure::NotSent)
    }

    fn request(&self, pool: &ConnectionPool) -> Request<Full<Bytes>> {
        let record = &self.record;
        let mut request = Request::builder()
            .method(record.method.as_str())
            .uri(&record.path)
            .header("host", pool.address().to_string())
            .header("load-id", &record.load_id)
            .header("wagtailmoor-deadline-ms", self.timeout.as_millis().to_string());
        request = match &self.identity {
            Identity::Key(key) => request.header("authorization", format!("Bearer {key}")),
            Identity::AsEntry(customer) => request.header("wagtailmoor-customer", customer),
        };
        if let Some(key) = &record.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        // The scenario is checked, so that the parts are valid; an invalid one is sent as `GET /`
        // and found by the comparison of the answer.
        request.body(Full::new(self.body.clone())).unwrap_or_default()
    }

    fn note_head(&mut self, status: u16, headers: &HeaderMap) {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        self.record.status = Some(status);
        let outcome = text("wagtailmoor-outcome").and_then(|outcome| outcome.parse().ok());
        self.record.outcome = outcome.unwrap_or(Outcome::Answered);
        self.record.reason = text("wagtailmoor-reason").and_then(|reason| reason.parse().ok());
    }
}
