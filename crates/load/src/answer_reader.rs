//! Reads an answer and compares it with its request.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time;
use wagtailmoor_history::{BodyPattern, ClientRequest, ResponseCheck};

/// Most bytes kept of a short answer.
const MAX_SHORT_BYTES: usize = 64 * 1_024;

/// Reads the body of an answer into the record of its request, no faster than the rate if one is
/// given. Returns whether the connection can be used again.
pub(crate) async fn read(
    answer: Response<Incoming>,
    record: &mut ClientRequest,
    announced: Option<u64>,
    bytes_per_s: u64,
) -> bool {
    let checked = answer.status().is_success();
    let id = answer.headers().get("load-id").and_then(|id| id.to_str().ok());
    let own_id = id.is_none_or(|id| id == record.load_id);
    let mut pattern = BodyPattern::new(&record.path);
    let mut matches = true;
    let mut short = Vec::new();
    let mut body = answer.into_body();
    let whole = loop {
        let part: Bytes = match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        record.bytes += part.len() as u64;
        match announced {
            Some(_) => matches &= pattern.accept(&part),
            None if short.len() < MAX_SHORT_BYTES => short.extend_from_slice(&part),
            None => {}
        }
        if let Some(us) = (part.len() as u64 * 1_000_000).checked_div(bytes_per_s) {
            time::sleep(Duration::from_micros(us)).await;
        }
    };
    record.check = match (checked, whole) {
        (_, false) => ResponseCheck::CutShort,
        (false, true) => ResponseCheck::None,
        (true, true) if !own_id || !matches => ResponseCheck::Foreign,
        (true, true) => match announced {
            Some(bytes) if record.bytes < bytes => ResponseCheck::SilentlyShort,
            Some(bytes) if record.bytes > bytes => ResponseCheck::Foreign,
            Some(_) => ResponseCheck::Own,
            None => compare(&short, record),
        },
    };
    whole
}

/// Compares a JSON answer of a stand-in with its request.
fn compare(body: &[u8], record: &mut ClientRequest) -> ResponseCheck {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return ResponseCheck::Foreign;
    };
    let is = |field: &str, value: Option<&str>| answer[field].as_str() == value;
    record.value = answer["value"].as_u64();
    record.target = answer["target"].as_str().map(str::to_owned);
    let own = is("load_id", Some(&record.load_id))
        && is("path", Some(&record.path))
        && is("idempotency_key", record.idempotency_key.as_deref())
        && (answer["customer"].is_null() || is("customer", record.customer.as_deref()));
    if own { ResponseCheck::Own } else { ResponseCheck::Foreign }
}
