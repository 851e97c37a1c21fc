//! The dialect with header fields named `wagtailmoor-*`.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use wagtailmoor_core::{Outcome, Reason, ReportedDuration, millis};
use wagtailmoor_dispatch::ResponseHead;

use crate::dialect::{AttemptHead, Dialect};
use crate::gateway::{Call, RequestHead};
use crate::headers::{self, Credential};
use crate::refusal::{Refusal, outcome_value};

/// Maximum length of an `Idempotency-Key`.
const IDEMPOTENCY_KEY_MAX_LEN: usize = 128;

/// The dialect with header fields named `wagtailmoor-*`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    type Load = ();

    /// Responses are forwarded as they arrive.
    const RESPONSE_BUFFER_MAX_BYTES: usize = 0;

    const NEW_CONNECTION_DELAY: Duration = Duration::ZERO;

    const RUNS_PIPELINED_EARLY: bool = false;

    fn request_head<'a>(&self, parts: &'a Parts) -> Result<RequestHead<'a>, Refusal> {
        let bad = |detail: &str| Refusal::not_run(Reason::BadRequest, detail);
        let digest = match headers::credential(&parts.headers) {
            Credential::Absent => None,
            Credential::Digest(digest) => Some(digest),
            Credential::Malformed => {
                return Err(Refusal::not_run(
                    Reason::KeyRefused,
                    "expected one field of the form authorization: Bearer KEY",
                ));
            }
        };
        let idempotency_key = match parts.headers.contains_key(&headers::IDEMPOTENCY_KEY) {
            true => Some(idempotency_key(parts).ok_or_else(|| {
                bad("idempotency-key must be one field of 1 to 128 visible ASCII characters")
            })?),
            false => None,
        };
        let deadline =
            match headers::single_value(&parts.headers, &headers::DEADLINE_MS).map(str::parse) {
                None => None,
                Some(Ok(deadline_ms)) => Some(ReportedDuration::from_millis(deadline_ms)),
                Some(Err(_)) => return Err(bad("wagtailmoor-deadline-ms must be a whole number")),
            };
        Ok(RequestHead {
            method: parts.method.as_str(),
            host: "",
            path: parts.uri.path(),
            digest,
            idempotency_key,
            request_id: None,
            shard_key: None,
            deadline,
        })
    }

    fn translate_request(&self, fields: &mut HeaderMap, call: &Call) {
        headers::remove_private(fields);
        if !fields.contains_key(header::HOST) {
            fields.insert(header::HOST, HeaderValue::from_static("wagtailmoor"));
        }
        if let Some(customer) = &call.customer {
            fields.insert(headers::CUSTOMER, headers::text_value(customer.as_str()));
        }
        if call.key.is_some() {
            fields.insert(headers::BACK_END, headers::text_value(call.back_end.as_str()));
        }
    }

    fn add_attempt(&self, fields: &mut HeaderMap, attempt: &AttemptHead<'_>) {
        let remaining_ms = millis(attempt.remaining);
        fields.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
        fields.insert(headers::REQUEST_ID, headers::text_value(&attempt.attempt.to_string()));
        if let Some((slot, epoch)) = attempt.ownership {
            fields.insert(headers::SLOT, HeaderValue::from(slot.get()));
            fields.insert(headers::EPOCH, HeaderValue::from(epoch.get()));
        }
    }

    fn response_head(
        &self,
        _call: &Call,
        status: StatusCode,
        fields: &HeaderMap,
        _used: bool,
    ) -> Option<ResponseHead> {
        let retry_ms = headers::single_value(fields, &headers::RETRY_AFTER_MS)
            .and_then(|text| text.parse().ok())
            .map(ReportedDuration::from_millis);
        let retry_s =
            headers::single_value(fields, &RETRY_AFTER).and_then(|text| text.parse().ok());
        Some(ResponseHead {
            status: status.as_u16(),
            not_run: headers::single_value(fields, &headers::OUTCOME) == Some("not-run"),
            retry_after: retry_ms.or(retry_s),
            cold: headers::single_value(fields, &headers::STATE) == Some("cold"),
        })
    }

    fn load_report(&self, _fields: &HeaderMap) -> Option<()> {
        None
    }

    fn translate_response(&self, fields: &mut HeaderMap) {
        headers::remove_private(fields);
        fields.insert(headers::OUTCOME, outcome_value(Outcome::Answered));
    }

    fn refusal(&self, refusal: &Refusal) -> Response<Full<Bytes>> {
        refusal.response()
    }
}

fn idempotency_key(parts: &Parts) -> Option<&str> {
    headers::single_value(&parts.headers, &headers::IDEMPOTENCY_KEY)
        .filter(|key| (1..=IDEMPOTENCY_KEY_MAX_LEN).contains(&key.len()))
        .filter(|key| key.bytes().all(|byte| byte.is_ascii_graphic() || byte == b' '))
}
