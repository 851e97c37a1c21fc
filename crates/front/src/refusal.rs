//! Refusals and their encoding as HTTP responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use wagtailmoor_core::{Outcome, Reason};

use crate::ConfigBasis;
use crate::headers::{OUTCOME, REASON};

/// A response that the front end sends in place of a target's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason code for clients.
    pub reason: Reason,
    /// Whether a target may have run the request.
    pub outcome: Outcome,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Human-readable explanation.
    pub detail: String,
    /// The request and the configuration that refused it, if it was refused by its head.
    pub decision: Option<Box<HeadDecision>>,
}

/// The decision on a request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadDecision {
    /// Request id chosen by the client.
    pub request_id: Option<Arc<str>>,
    /// The configuration by which the head was decided.
    pub config: ConfigBasis,
}

#[derive(Serialize)]
struct Body<'a> {
    outcome: Outcome,
    reason: Reason,
    detail: &'a str,
}

impl Refusal {
    /// Creates the refusal of a request that was not sent to any target.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
            detail: detail.into(),
            decision: None,
        }
    }

    /// Creates the refusal of a request whose fingerprint is known to crash targets.
    pub fn crashes_targets() -> Self {
        let detail = "earlier requests like this one crashed the targets that ran them";
        Self::not_run(Reason::CrashesTargets, detail)
    }

    /// Creates the refusal of a request on a connection above the connection limit.
    pub(crate) fn too_many_connections() -> Self {
        let detail = "this process has too many open connections";
        Self::not_run(Reason::TooManyConnections, detail)
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Adds the request and the configuration by which its head was decided.
    pub fn with_decision(self, decision: HeadDecision) -> Self {
        Self { decision: Some(Box::new(decision)), ..self }
    }

    /// Returns the HTTP status for the reason and outcome. Clients repeat a request after a status
    /// that promises that it has not run, so only the outcome "not run" gets such a status.
    pub fn status(&self) -> StatusCode {
        match self.outcome {
            Outcome::NotRun => self.not_run_status(),
            Outcome::Unknown | Outcome::Answered => self.unpromising_status(),
        }
    }

    /// Returns the status of a request that may have run, which promises nothing.
    fn unpromising_status(&self) -> StatusCode {
        match self.reason {
            Reason::Duplicate => StatusCode::CONFLICT,
            Reason::CrashesTargets => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::DeadlineExceeded | Reason::ClientTooSlow => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    fn not_run_status(&self) -> StatusCode {
        match self.reason {
            Reason::BadRequest | Reason::IdempotencyKeyRequired => StatusCode::BAD_REQUEST,
            Reason::KeyMissing | Reason::KeyRefused => StatusCode::UNAUTHORIZED,
            Reason::RouteForbidden => StatusCode::FORBIDDEN,
            Reason::RouteUnknown => StatusCode::NOT_FOUND,
            Reason::ClientTooSlow => StatusCode::REQUEST_TIMEOUT,
            Reason::Duplicate => StatusCode::CONFLICT,
            Reason::CrashesTargets => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Reason::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Reason::TargetLost => StatusCode::BAD_GATEWAY,
            Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Reason::KeyUnverified
            | Reason::RecordUnavailable
            | Reason::CreditUnavailable
            | Reason::QueueFull
            | Reason::OwnerMoving
            | Reason::OwnerUnknown
            | Reason::OwnerUnreachable
            | Reason::TargetUnavailable
            | Reason::TargetRefused
            | Reason::ShuttingDown
            | Reason::NotReady
            | Reason::TooManyConnections => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Encodes the refusal as an HTTP response with a JSON body.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let body = Body { outcome: self.outcome, reason: self.reason, detail: &self.detail };
        let body = serde_json::to_vec(&body).expect("a refusal is representable in JSON");
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, outcome_value(self.outcome));
        headers.insert(REASON, HeaderValue::from_static(self.reason.code()));
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(u64::try_from(seconds).unwrap_or(1)));
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns whether the client's connection is closed after the refusal, because the bytes that
    /// follow may not be the start of a request or because the process is shutting down.
    pub fn closes_connection(&self) -> bool {
        matches!(
            self.reason,
            Reason::BadRequest
                | Reason::HeadTooLarge
                | Reason::ClientTooSlow
                | Reason::ShuttingDown
        )
    }
}

pub(crate) fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}
