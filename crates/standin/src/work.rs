//! Execution of a request at a target.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{StatusCode, request};
use tokio::sync::oneshot;
use tokio::time;
use wagtailmoor_core::{Epoch, KeyHash, SlotId};
use wagtailmoor_history::{Ending, Execution};

use crate::execution_guard::ExecutionGuard;
use crate::reply::{self, CloseConnection, Reply};
use crate::response;
use crate::slots::SlotGuard;
use crate::target::TargetState;
use crate::{AdmissionId, AdmissionRequest, query};

/// Time limit of requests without a deadline, so that their records are closed eventually.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(3_600);

/// The fields of a request that a target uses.
pub(crate) struct TargetRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) request_id: Option<String>,
    pub(crate) load_id: Option<String>,
    pub(crate) customer: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) slot: Option<SlotId>,
    pub(crate) epoch: Option<Epoch>,
    pub(crate) deadline_ms: Option<u64>,
}

impl TargetRequest {
    pub(crate) fn new(head: &request::Parts, body: Bytes) -> Self {
        let text = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        Self {
            method: head.method.to_string(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().map(str::to_owned),
            body,
            request_id: text("wagtailmoor-request-id"),
            load_id: text("load-id"),
            customer: text("wagtailmoor-customer"),
            idempotency_key: text("idempotency-key"),
            slot: text("wagtailmoor-slot").and_then(|slot| slot.parse().ok()),
            epoch: text("wagtailmoor-epoch").and_then(|epoch| epoch.parse().ok()),
            deadline_ms: text("wagtailmoor-deadline-ms").and_then(|time| time.parse().ok()),
        }
    }

    /// Returns the path with the query.
    pub(crate) fn path_and_query(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }

    /// Returns the value of a query parameter as a number.
    pub(crate) fn parameter(&self, name: &str) -> Option<u64> {
        query::number(self.query.as_deref(), name)
    }

    fn contains_marker(&self, marker: &str) -> bool {
        let marker = marker.as_bytes();
        let path = self.path_and_query();
        !marker.is_empty()
            && [path.as_bytes(), &self.body]
                .iter()
                .any(|text| text.windows(marker.len()).any(|window| window == marker))
    }
}

/// A running request. Dropping it releases its slot, its key and its admission and closes its
/// record.
pub(crate) struct Work {
    pub(crate) state: Rc<TargetState>,
    pub(crate) request: TargetRequest,
    pub(crate) record: ExecutionGuard,
    key: Option<String>,
    admission_id: Option<AdmissionId>,
    _slot: SlotGuard,
}

impl Work {
    /// Applies the request to its key and returns the counter of the key. Only requests with an
    /// idempotency key increment the counter, because others may run more than once.
    pub(crate) fn apply(&self) -> Option<u64> {
        let key = self.key.as_ref()?;
        let amount = u64::from(self.request.idempotency_key.is_some());
        Some(self.state.working_set.add(self.state.context.keys(), key, amount))
    }

    /// Returns the key; `None` for pooled targets and paths without one.
    pub(crate) fn key(&self) -> Option<&str> {
        self.key.as_deref()
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if let Some(key) = &self.key {
            self.state.working_set.release(key);
        }
        if let Some(admission_id) = self.admission_id {
            self.state.grants.borrow_mut().finish(admission_id);
        }
        self.state.finished.notify_waiters();
        self.state.record_load();
    }
}

/// Runs a request, or returns its refusal.
pub(crate) async fn run(
    state: Rc<TargetState>,
    request: TargetRequest,
) -> Result<Reply, CloseConnection> {
    if let Some(refusal) = refusal(&state) {
        return refusal;
    }
    if state.settings.borrow().cancel {
        return run_to_completion(state, request).await;
    }
    run_detached(&state, run_to_completion(state.clone(), request)).await
}

/// Runs a request that continues when its connection closes.
pub(crate) async fn run_detached(
    state: &TargetState,
    work: impl Future<Output = Result<Reply, CloseConnection>> + 'static,
) -> Result<Reply, CloseConnection> {
    let (sender, receiver) = oneshot::channel();
    state.detached.spawn(async move {
        // The receiver is gone if the connection was closed; the execution is recorded anyway.
        let _ = sender.send(work.await);
    });
    receiver.await.map_err(|_| CloseConnection)?
}

fn refusal(state: &TargetState) -> Option<Result<Reply, CloseConnection>> {
    let settings = state.settings.borrow().clone();
    let (running, waiting) = (state.slots.running(), state.slots.waiting());
    let queue_full = running >= settings.slots && waiting >= settings.queue;
    let refuses_draining = settings.draining_refuses && state.draining.get();
    if queue_full || refuses_draining || state.context.chance(settings.shed_ppm) {
        return Some(Ok(not_run(StatusCode::SERVICE_UNAVAILABLE, Some(settings.retry_after_ms))));
    }
    let concurrency_limit = state.concurrency_limit()?;
    if running + waiting < concurrency_limit {
        return None;
    }
    let detail = format!("{} requests at once, bears {concurrency_limit}", running + waiting + 1);
    state.record_violation("cold-overload", detail);
    match settings.cold.overload_crashes {
        true => {
            state.crash(Some(Duration::from_millis(settings.crash_away_ms)));
            Some(Err(CloseConnection))
        }
        false => {
            let message = "overloaded while cold";
            Some(Ok(reply::error(StatusCode::INTERNAL_SERVER_ERROR, message)))
        }
    }
}

async fn run_to_completion(
    state: Rc<TargetState>,
    request: TargetRequest,
) -> Result<Reply, CloseConnection> {
    let deadlines_enabled = state.settings.borrow().deadlines;
    let time_limit = request.deadline_ms.filter(|_| deadlines_enabled).map(Duration::from_millis);
    let time_limit = time_limit.unwrap_or(DEFAULT_TIME_LIMIT);
    let deadline = time::Instant::now() + time_limit;
    let slots = state.slots.clone();
    let acquired =
        time::timeout_at(deadline, slots.acquire(|| state.settings.borrow().slots)).await;
    state.faults.wait_until_thawed().await;
    let slot = match acquired {
        Ok(slot) if time::Instant::now() < deadline => slot,
        _ => return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE, None)),
    };
    match begin(&state, request, slot, deadline) {
        Some(work) => execute_until(work, deadline).await,
        None => Ok(not_run(StatusCode::MISDIRECTED_REQUEST, None)),
    }
}

/// Starts the request; returns `None` if no grant of the target covers it.
fn begin(
    state: &Rc<TargetState>,
    request: TargetRequest,
    slot: SlotGuard,
    deadline: time::Instant,
) -> Option<Work> {
    let settings = state.settings.borrow();
    let segment = settings.key_segment as usize;
    let key = request.path.split('/').nth(segment + 1).filter(|_| settings.is_keyed());
    let key = key.map(query::decode);
    let admission_id = match settings.checks_grants() {
        true => Some(admit(state, &request, key.as_deref()?)?),
        false => None,
    };
    if let Some(key) = &key {
        state.working_set.acquire(state.context.keys(), key);
    }
    let clock = state.context.clock();
    let remaining = deadline.saturating_duration_since(time::Instant::now());
    let latest_end_us = clock.unix_us() + remaining.as_micros() as u64;
    let execution = execution(state, &request, key.clone());
    let log = state.context.log();
    let record = ExecutionGuard::begin(log, clock, &state.faults, execution, latest_end_us);
    state.record_load();
    Some(Work { state: state.clone(), request, record, key, admission_id, _slot: slot })
}

fn admit(state: &TargetState, request: &TargetRequest, key: &str) -> Option<AdmissionId> {
    let key = KeyHash::of(key.as_bytes());
    let admission = AdmissionRequest { slot: request.slot?, key, epoch: request.epoch? };
    state.grants.borrow_mut().admit(state.now(), admission)
}

fn execution(state: &TargetState, request: &TargetRequest, key: Option<String>) -> Execution {
    let settings = state.settings.borrow();
    Execution {
        index: 0,
        request_id: request.request_id.clone(),
        load_id: request.load_id.clone(),
        customer: request.customer.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        idempotency_key: request.idempotency_key.clone(),
        back_end: settings.back_end.to_string(),
        target: settings.target.to_string(),
        zone: settings.zone.to_string(),
        key,
        slot: request.slot,
        epoch: request.epoch,
        start_us: state.context.clock().unix_us(),
        end_us: None,
        ending: Ending::Running,
    }
}

async fn execute_until(mut work: Work, deadline: time::Instant) -> Result<Reply, CloseConnection> {
    let state = work.state.clone();
    let settings = state.settings.borrow().clone();
    if settings.crash_marker.as_ref().is_some_and(|marker| work.request.contains_marker(marker)) {
        work.record.set_ending(Ending::Crashed);
        state.crash(Some(Duration::from_millis(settings.crash_away_ms)));
        return Err(CloseConnection);
    }
    let sampled = settings.service.sample(state.context.random_unit());
    let service = work.request.parameter("service_us").map_or(sampled, Duration::from_micros);
    let service = Duration::from_secs_f64(settings.slow_ppm.of(service.as_secs_f64()));
    let in_time = time::timeout_at(deadline, time::sleep(service)).await.is_ok();
    state.faults.wait_until_thawed().await;
    if !in_time || time::Instant::now() >= deadline {
        work.record.set_ending(Ending::DeadlineExceeded);
        return Ok(reply::error(StatusCode::GATEWAY_TIMEOUT, "the deadline passed"));
    }
    Ok(response::respond(work, &settings).await)
}

fn not_run(status: StatusCode, retry_after_ms: Option<u64>) -> Reply {
    let mut reply = reply::error(status, "not run");
    let headers = reply.headers_mut();
    headers.insert("wagtailmoor-outcome", http::HeaderValue::from_static("not-run"));
    if let Some(time) = retry_after_ms {
        headers.insert("retry-after-ms", time.into());
    }
    reply
}
