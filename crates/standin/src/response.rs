//! Responses of targets to the requests that they run.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time;
use wagtailmoor_core::Clock;
use wagtailmoor_history::{BodyPattern, Ending};

use crate::TargetSettings;
use crate::reply::{self, Reply, ReplyBody};
use crate::work::Work;

/// Time between the last chunk and the close of a truncated response. hyper needs it to send the
/// head and the chunk; otherwise the client sees a connection that closes without a response.
const TRUNCATION_DELAY: Duration = Duration::from_millis(5);

/// Applies the request to its key and returns the response.
///
/// The body is JSON that echoes the fields of the request, or a `BodyPattern` of the length given
/// by the query parameter `bytes`.
pub(crate) async fn respond(mut work: Work, settings: &TargetSettings) -> Reply {
    let value = work.apply();
    let state = work.state.clone();
    if state.context.chance(settings.late_ppm) {
        time::sleep(Duration::from_millis(settings.late_ms)).await;
    }
    let mut warm_up_state = state.warm_up_state.get();
    warm_up_state.on_success(state.context.clock().now());
    state.warm_up_state.set(warm_up_state);
    let load_id = work.request.load_id.clone();
    let truncate = state.context.chance(settings.cut_ppm);
    let mut reply = match work.request.parameter("bytes") {
        Some(bytes) => streamed_response(work, bytes, truncate, settings),
        None => {
            let body = json!({
                "target": settings.target,
                "request_id": work.request.request_id,
                "load_id": work.request.load_id,
                "customer": work.request.customer,
                "path": work.request.path_and_query(),
                "idempotency_key": work.request.idempotency_key,
                "key": work.key(),
                "epoch": work.request.epoch,
                "value": value,
            });
            work.record.set_ending(if truncate { Ending::CutShort } else { Ending::Completed });
            full_response(Bytes::from(body.to_string()), truncate)
        }
    };
    let id = load_id.and_then(|id| HeaderValue::from_str(&id).ok());
    id.map(|id| reply.headers_mut().insert("load-id", id));
    reply
}

fn full_response(body: Bytes, truncate: bool) -> Reply {
    if !truncate {
        return reply::bytes(StatusCode::OK, body);
    }
    let (sender, chunks) = mpsc::channel(1);
    let half = body.slice(..body.len() / 2);
    tokio::task::spawn_local(async move {
        let _ = sender.send(half).await;
        time::sleep(TRUNCATION_DELAY).await;
    });
    Response::new(ReplyBody::Streamed { remaining: body.len() as u64, chunks })
}

fn streamed_response(work: Work, bytes: u64, truncate: bool, settings: &TargetSettings) -> Reply {
    let (sender, chunks) = mpsc::channel(1);
    let end = if truncate { bytes / 2 } else { bytes };
    let chunk_size = u64::from(settings.chunk_bytes.max(1));
    let delay = Duration::from_micros(settings.chunk_delay_us);
    let state = work.state.clone();
    state.detached.spawn(send_chunks(work, sender, end, chunk_size, delay, truncate));
    Response::new(ReplyBody::Streamed { remaining: bytes, chunks })
}

async fn send_chunks(
    mut work: Work,
    sender: mpsc::Sender<Bytes>,
    end: u64,
    chunk_size: u64,
    delay: Duration,
    truncate: bool,
) {
    let mut pattern = BodyPattern::new(&work.request.path_and_query());
    while pattern.len() < end {
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        work.state.faults.wait_until_thawed().await;
        let count = chunk_size.min(end - pattern.len()) as usize;
        if sender.send(pattern.next_bytes(count).into()).await.is_err() {
            return;
        }
    }
    if truncate {
        time::sleep(TRUNCATION_DELAY).await;
    }
    work.record.set_ending(if truncate { Ending::CutShort } else { Ending::Completed });
}
