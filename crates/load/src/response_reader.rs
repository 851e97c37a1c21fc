//! Reads a response and compares it with its request.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time;
use wagtailmoor_history::{BodyPattern, ClientRequest, ResponseCheck};

/// Frames of a JSON body beyond this size are dropped; the comparison then reports a mismatch.
const MAX_JSON_BYTES: usize = 64 * 1_024;

/// Reads the body of a response and stores its size and the result of the comparison in the record
/// of the request. Reads at `bytes_per_s`, or without a limit if that is zero. Returns whether the
/// body ended without a transport error, so that the connection can be reused.
pub(crate) async fn read(
    response: Response<Incoming>,
    record: &mut ClientRequest,
    expected_bytes: Option<u64>,
    bytes_per_s: u64,
) -> bool {
    let is_success = response.status().is_success();
    let id = response.headers().get("load-id").and_then(|id| id.to_str().ok());
    let id_matches = id.is_none_or(|id| id == record.load_id);
    let mut pattern = BodyPattern::new(&record.path);
    let mut body_matches = true;
    let mut json = Vec::new();
    let mut body = response.into_body();
    let complete = loop {
        let part: Bytes = match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        record.bytes += part.len() as u64;
        match expected_bytes {
            Some(_) => body_matches &= pattern.accept(&part),
            None if json.len() < MAX_JSON_BYTES => json.extend_from_slice(&part),
            None => {}
        }
        if let Some(us) = (part.len() as u64 * 1_000_000).checked_div(bytes_per_s) {
            time::sleep(Duration::from_micros(us)).await;
        }
    };
    record.check = match (is_success, complete) {
        (_, false) => ResponseCheck::CutShort,
        (false, true) => ResponseCheck::None,
        (true, true) if !id_matches || !body_matches => ResponseCheck::Foreign,
        (true, true) => match expected_bytes {
            Some(bytes) if record.bytes < bytes => ResponseCheck::SilentlyShort,
            Some(bytes) if record.bytes > bytes => ResponseCheck::Foreign,
            Some(_) => ResponseCheck::Own,
            None => check_json_body(&json, record),
        },
    };
    complete
}

/// Compares the JSON response of a stand-in with its request, and stores its value and target in
/// the record.
fn check_json_body(body: &[u8], record: &mut ClientRequest) -> ResponseCheck {
    let Ok(response) = serde_json::from_slice::<Value>(body) else {
        return ResponseCheck::Foreign;
    };
    let field_equals = |field: &str, value: Option<&str>| response[field].as_str() == value;
    record.value = response["value"].as_u64();
    record.target = response["target"].as_str().map(str::to_owned);
    let is_own = field_equals("load_id", Some(&record.load_id))
        && field_equals("path", Some(&record.path))
        && field_equals("idempotency_key", record.idempotency_key.as_deref())
        && (response["customer"].is_null() || field_equals("customer", record.customer.as_deref()));
    if is_own { ResponseCheck::Own } else { ResponseCheck::Foreign }
}
