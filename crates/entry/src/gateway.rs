//! The gateway between the front end and the state machines.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wagtailmoor_configuration::{BackEndKind, IdempotencyKeyUse, ResolvedRoute};
use wagtailmoor_core::{
    Epoch, Incarnation, Instant, KeyHash, Outcome, Priority, Reason, ReportedDuration, SlotId,
    TargetId, Weight,
};
use wagtailmoor_dispatch::{
    AttemptId, Fingerprint, Observation, RecordKey, RecordRefusal, RecordState, TimeBucket, Verdict,
};
use wagtailmoor_front::{
    AssignedTarget, Call, ConfigBasis, Gateway, NativeDialect, Refusal, RequestHead,
};
use wagtailmoor_limits::{Admission, Credit, Permit, ResourceId};
use wagtailmoor_ownership::Route;
use wagtailmoor_telemetry::{Event, RequestSample};

use crate::back_end::SharedRetryBudget;
use crate::configure::permit_zone;
use crate::entry::{Shared, unix_ms};
use crate::record_calls;
use crate::state::State;
use crate::target_choice::{QueuePosition, TargetChoice};
use crate::waiter::{AttemptGuard, WaitOutcome};

/// Maximum wait of a request whose key is moving to a new owner.
const KEY_MOVE_TIMEOUT: Duration = Duration::from_millis(100);

/// `Retry-After` for a key that is moving; planned moves take much less.
const MOVE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Length of a time bucket. Attempt records are cleaned up one bucket at a time.
const RECORD_BUCKET_MS: u64 = 3_600_000;

/// Implements [`Gateway`] for an entry process.
pub(crate) struct EntryGateway {
    entry: Shared,
}

impl EntryGateway {
    pub(crate) fn new(entry: Shared) -> Self {
        Self { entry }
    }
}

impl Gateway for EntryGateway {
    type Dialect = NativeDialect;
    type Credit = Option<Credit>;
    type Guard = AttemptGuard;
    type ConnectionPermit = Permit;
    type Budget = SharedRetryBudget;

    fn dialect(&self) -> &NativeDialect {
        &NativeDialect
    }

    fn now(&self) -> Instant {
        self.entry.now()
    }

    async fn resolve(&self, head: &RequestHead<'_>) -> Result<Call, Refusal> {
        let now = self.now();
        let mut state = self.entry.state();
        check_ready(&state)?;
        let configuration = state.propagation.configuration().clone();
        let route = configuration
            .admit(head.digest.as_ref(), head.method, head.path)
            .map_err(|reason| Refusal::not_run(reason, access_detail(reason)))?;
        if route.customer.is_some() {
            check_freshness(&state, now, route.template.key_staleness_max_ms)?;
        }
        let record = record_key(&route, head)?;
        let call = state.create_call(now, &route, head, record);
        state.totals.in_progress += 1;
        Ok(call)
    }

    fn check_fingerprint(
        &self,
        call: &Call,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Fingerprint, Refusal> {
        call.fingerprint(self.now(), &self.entry.state().ledger, method, path, body)
    }

    fn crashes_targets(&self, fingerprint: Fingerprint) -> bool {
        self.entry.state().ledger.refuses(self.now(), fingerprint)
    }

    async fn admit(&self, call: &Call) -> Result<Option<Credit>, Refusal> {
        let Some(customer) = &call.customer else { return Ok(None) };
        let mut admission = self.entry.state().credits.admit(self.now(), customer);
        loop {
            let ticket = match admission {
                Admission::Admitted(credit) => return Ok(Some(credit)),
                Admission::Refused(refusal) => return Err(credit_refusal(refusal)),
                Admission::Wait(ticket) => ticket,
            };
            let notified = self.entry.signals.credits.notified();
            self.entry.signals.credit_demand.notify_one();
            let remaining = ticket.deadline().saturating_since(self.now());
            // Whether the wait ends by a reply or by a timeout, admission is tried again.
            drop(timeout(remaining, notified).await);
            admission = self.entry.state().credits.readmit(self.now(), ticket);
        }
    }

    fn spend(&self, credit: Option<Credit>) {
        credit.into_iter().for_each(Credit::spend);
    }

    async fn claim_record(&self, call: &Call) -> Result<(), Refusal> {
        let (Some(key), Some(customer)) = (&call.record_key, &call.customer) else { return Ok(()) };
        let key = RecordKey::of(customer, key.as_bytes());
        let bucket = u32::try_from(unix_ms() / RECORD_BUCKET_MS).unwrap_or(u32::MAX);
        let (sender, receiver) = oneshot::channel();
        let outputs = {
            let now = self.now();
            let mut state = self.entry.state();
            let bucket = TimeBucket::new(bucket);
            let (claim, outputs) = state.records.claim(now, key, call.deadline, bucket);
            state.pending_claims.insert(claim, sender);
            state.claims_by_attempt.insert(call.id, claim);
            outputs
        };
        record_calls::execute_and_wake(&self.entry, outputs);
        match receiver.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(refusal)) => {
                self.entry.state().claims_by_attempt.remove(&call.id);
                Err(record_refusal(refusal))
            }
            Err(_) => Err(Refusal::not_run(Reason::ShuttingDown, "the process is stopping")),
        }
    }

    async fn assign(
        &self,
        call: &Call,
        tried: &[TargetId],
    ) -> Result<AssignedTarget<AttemptGuard>, Reason> {
        let wait_until = self.now() + KEY_MOVE_TIMEOUT;
        let mut position = QueuePosition::Back;
        loop {
            let changed = self.entry.signals.routes.notified();
            let choice = self.entry.state().choose(&self.entry, self.now(), call, tried, position);
            match choice {
                TargetChoice::Assigned(assigned) => return Ok(*assigned),
                TargetChoice::Refused(reason) => return Err(reason),
                TargetChoice::Wait(receiver) => {
                    self.entry.signals.permit_demand.notify_one();
                    match receiver.await.unwrap_or(WaitOutcome::Refused(Reason::ShuttingDown)) {
                        WaitOutcome::Assigned(assigned) => return Ok(*assigned),
                        WaitOutcome::Refused(reason) => return Err(reason),
                        WaitOutcome::RetryLookup => position = QueuePosition::Front,
                    }
                }
                TargetChoice::NoOwner => {
                    let remaining = wait_until.saturating_since(self.now());
                    let waited = timeout(remaining, changed).await;
                    waited.map_err(|_| self.entry.state().unowned_reason(self.now(), call))?;
                }
            }
        }
    }

    async fn connection_permit(&self, call: &Call, target: &TargetId) -> Option<Permit> {
        let resource = ResourceId::connections(target.clone());
        loop {
            let notified = self.entry.signals.permits.notified();
            let permit = self.entry.state().acquire_permit(self.now(), &resource);
            if permit.is_some() {
                return permit;
            }
            self.entry.signals.permit_demand.notify_one();
            let remaining = call.deadline.saturating_since(self.now());
            timeout(remaining, notified).await.ok()?;
        }
    }

    fn budget(&self, call: &Call) -> SharedRetryBudget {
        let state = self.entry.state();
        let back_end = state.back_ends.get(&call.back_end);
        back_end.map(|back_end| back_end.budget.clone()).unwrap_or_default()
    }

    fn observe(&self, call: &Call, target: &TargetId, observation: &Observation) {
        let now = self.now();
        let mut state = self.entry.state();
        if let Some(back_end) = state.back_ends.get_mut(&call.back_end) {
            back_end.targets.observe(now, target, observation);
            match observation {
                Observation::Answered { elapsed, cold: false } => back_end.latency.add(*elapsed),
                Observation::Answered { cold: true, .. } => state.report_cold(target),
                _ => {}
            }
        }
    }

    fn on_connection_lost(
        &self,
        call: &Call,
        fingerprint: Fingerprint,
        target: &TargetId,
        assigned_at: Instant,
    ) {
        let now = self.now();
        let mut state = self.entry.state();
        let request_blamed =
            state.ledger.record_loss(now, fingerprint, target, Incarnation::default());
        let observation = Observation::ConnectionLost { assigned_at, request_blamed };
        if let Some(back_end) = state.back_ends.get_mut(&call.back_end) {
            back_end.targets.observe(now, target, &observation);
        }
        state.report_cold(target);
        Event::new("target-lost")
            .field("target", target)
            .field("back_end", &call.back_end)
            .field("attempt", call.id)
            .field("fingerprint", fingerprint)
            .field("refused_from_now", request_blamed)
            .warn();
    }

    /// Does nothing: no registry tells this process when an unresponsive target has exited.
    fn on_unanswered(&self, _: &Call, _: Fingerprint, _: &TargetId, _: Duration) {}

    fn on_load_report(&self, _target: &TargetId, (): ()) {}

    fn on_not_owner(&self, call: &Call, target: &TargetId, ownership: Option<(SlotId, Epoch)>) {
        let (Some(key), Some((_, epoch))) = (call.key, ownership) else { return };
        let mut state = self.entry.state();
        let unit = match state.routes.lookup(self.now(), &call.back_end, key) {
            Route::Owner { unit, .. } => unit,
            _ => return,
        };
        state.routes.on_refusal(&call.back_end, unit, target, epoch);
        self.entry.signals.route_demand.notify_one();
    }

    fn retry_after(&self, _call: &Call, verdict: &Verdict) -> Option<Duration> {
        match verdict.reason {
            Some(Reason::OwnerMoving | Reason::OwnerUnknown) => Some(MOVE_RETRY_AFTER),
            _ => verdict.retry_after.map(ReportedDuration::get),
        }
    }

    fn on_finished(&self, call: &Call, fingerprint: Option<Fingerprint>, verdict: &Verdict) {
        let now = self.now();
        let outputs = {
            let mut state = self.entry.state();
            state.record_outcome(verdict.outcome);
            match fingerprint {
                // A status of 500 or above may be the crash of a worker, so it does not clear the
                // fingerprint.
                Some(fingerprint) if verdict.status.is_some_and(|status| status < 500) => {
                    state.ledger.record_answer(now, fingerprint);
                }
                _ => {}
            }
            state.finish_record(now, call, RecordState::from(verdict))
        };
        record_calls::execute_and_wake(&self.entry, outputs);
        let status = match (verdict.status, verdict.reason) {
            (Some(status), _) => status,
            (None, Some(reason)) => {
                let refusal = Refusal::not_run(reason, "");
                Refusal { outcome: verdict.outcome, ..refusal }.status().as_u16()
            }
            (None, None) => 0,
        };
        self.record_request(call, verdict.outcome, verdict.reason, status);
    }

    fn on_refused(&self, call: Option<&Call>, refusal: &Refusal) {
        let now = self.now();
        let outputs = {
            let mut state = self.entry.state();
            match call {
                Some(_) => state.record_outcome(refusal.outcome),
                None => state.totals.refused += 1,
            }
            let end = RecordState::NotRun { reason: refusal.reason };
            call.map(|call| state.finish_record(now, call, end)).unwrap_or_default()
        };
        record_calls::execute_and_wake(&self.entry, outputs);
        let status = refusal.status().as_u16();
        match call {
            Some(call) => self.record_request(call, refusal.outcome, Some(refusal.reason), status),
            None => {
                let sample = RequestSample {
                    customer: None,
                    template: None,
                    outcome: refusal.outcome,
                    reason: Some(refusal.reason),
                    status,
                    latency: Duration::ZERO,
                };
                self.entry.metrics.request(&sample);
                Event::new("request")
                    .field("outcome", refusal.outcome)
                    .field("reason", refusal.reason)
                    .field("status", status)
                    .info();
            }
        }
    }
}

impl EntryGateway {
    fn record_request(&self, call: &Call, outcome: Outcome, reason: Option<Reason>, status: u16) {
        let latency = self.now().saturating_since(call.received_at);
        self.entry.metrics.request(&RequestSample {
            customer: call.customer.as_ref(),
            template: Some(&call.template),
            outcome,
            reason,
            status,
            latency,
        });
        let level = match outcome {
            Outcome::Answered => log::Level::Debug,
            _ => log::Level::Info,
        };
        // Formatting an event that is not logged would cost more than routing the request.
        if !log::log_enabled!(target: "wagtailmoor", level) {
            return;
        }
        let event = Event::new("request")
            .field("id", call.id)
            .optional("customer", call.customer.as_ref())
            .field("back_end", &call.back_end)
            .field("outcome", outcome)
            .optional("reason", reason)
            .field("status", status)
            .field("latency_us", latency.as_micros());
        match level {
            log::Level::Debug => event.debug(),
            _ => event.info(),
        }
    }
}

fn check_ready(state: &State) -> Result<(), Refusal> {
    match () {
        () if state.stopping => {
            Err(Refusal::not_run(Reason::ShuttingDown, "the process is stopping"))
        }
        () if !state.propagation.is_known() => Err(Refusal::not_run(
            Reason::NotReady,
            "the process has not yet heard the configuration from the store or a peer",
        )),
        () => Ok(()),
    }
}

fn check_freshness(state: &State, now: Instant, max_ms: u64) -> Result<(), Refusal> {
    let max = Duration::from_millis(max_ms);
    match state.propagation.age(now) {
        Some(age) if age <= max => Ok(()),
        _ => Err(Refusal::not_run(
            Reason::KeyUnverified,
            "the configuration is too old to know that the key was not withdrawn",
        )),
    }
}

fn access_detail(reason: Reason) -> &'static str {
    match reason {
        Reason::KeyMissing => "this route needs a customer key",
        Reason::KeyRefused => "the customer key is unknown or withdrawn",
        Reason::RouteForbidden => "the path names another customer",
        _ => "no route takes this method and path",
    }
}

fn credit_refusal(refusal: wagtailmoor_limits::Refusal) -> Refusal {
    match refusal {
        wagtailmoor_limits::Refusal::RateExceeded { retry_after } => {
            Refusal::not_run(refusal.reason(), "the customer is above its rate and burst")
                .with_retry_after(retry_after)
        }
        wagtailmoor_limits::Refusal::CreditUnavailable => {
            Refusal::not_run(refusal.reason(), "no credit could be obtained for the customer")
                .with_retry_after(Duration::from_secs(1))
        }
    }
}

fn record_refusal(refusal: RecordRefusal) -> Refusal {
    match refusal {
        RecordRefusal::Unavailable => Refusal::not_run(
            Reason::RecordUnavailable,
            "the record of this request could not be stored",
        )
        .with_retry_after(Duration::from_secs(1)),
        RecordRefusal::Duplicate { outcome, status, .. } => {
            let detail = match status {
                Some(status) => format!("the first request was answered with status {status}"),
                None => "the first request may have run or is running".into(),
            };
            Refusal { outcome, ..Refusal::not_run(Reason::Duplicate, detail) }
        }
    }
}

fn record_key(
    route: &ResolvedRoute<'_>,
    head: &RequestHead<'_>,
) -> Result<Option<Rc<str>>, Refusal> {
    match (route.idempotent, route.customer, head.idempotency_key) {
        (true, ..) | (false, None, _) => Ok(None),
        (false, Some(_), Some(key)) => Ok(Some(key.into())),
        (false, Some(_), None) => match route.route.idempotency_key {
            IdempotencyKeyUse::Optional => Ok(None),
            IdempotencyKeyUse::Required => Err(Refusal::not_run(
                Reason::IdempotencyKeyRequired,
                "this route needs the field idempotency-key",
            )),
        },
    }
}

impl State {
    fn create_call(
        &mut self,
        now: Instant,
        route: &ResolvedRoute<'_>,
        head: &RequestHead<'_>,
        record_key: Option<Rc<str>>,
    ) -> Call {
        let request_max = route.back_end.request_max();
        let timeout = head.deadline.map_or(request_max, |wait| wait.get().min(request_max));
        let key = match route.back_end.kind {
            BackEndKind::Keyed => route.key.map(|key| KeyHash::of(key.as_bytes())),
            BackEndKind::Pooled => None,
        };
        let back_end = self.back_ends.get_mut(&route.back_end.back_end);
        let (plan, hedge_after) = match back_end {
            Some(back_end) => {
                key.into_iter().for_each(|key| back_end.record_heat(key));
                (back_end.plan_settings(), back_end.hedge_after())
            }
            None => Default::default(),
        };
        let config = ConfigBasis {
            version: self.propagation.configuration().version(),
            age: self.propagation.age(now).unwrap_or(Duration::MAX),
            confirmed: self.propagation.age(now).is_some(),
            waited: Duration::ZERO,
        };
        Call {
            request_id: None,
            shard_key: None,
            bulk: false,
            streamed: false,
            fresh_connection: !route.idempotent,
            id: AttemptId::new(self.random.random()),
            received_at: now,
            config,
            deadline: now + timeout,
            customer: route.customer.map(|customer| customer.customer.clone()),
            weight: route.customer.map_or(Weight::new(1), |customer| customer.weight),
            priority: Priority::NEUTRAL,
            template: route.template.template.clone(),
            back_end: route.back_end.back_end.clone(),
            key,
            idempotent: route.idempotent,
            record_key,
            plan,
            hedge_after,
        }
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        self.totals.in_progress = self.totals.in_progress.saturating_sub(1);
        match outcome {
            Outcome::Answered => self.totals.answered += 1,
            _ => self.totals.refused += 1,
        }
    }

    fn finish_record(
        &mut self,
        now: Instant,
        call: &Call,
        end: RecordState,
    ) -> Vec<wagtailmoor_dispatch::RecordOutput> {
        match (self.claims_by_attempt.remove(&call.id), &call.customer, &call.record_key) {
            (Some(claim), Some(customer), Some(key)) => {
                let key = RecordKey::of(customer, key.as_bytes());
                self.records.finish(now, &key, claim, end)
            }
            _ => Vec::new(),
        }
    }

    /// Acquires a permit for a target from the permit holder of its zone.
    pub(crate) fn acquire_permit(&mut self, now: Instant, resource: &ResourceId) -> Option<Permit> {
        let zone = permit_zone(self, &resource.target)?.clone();
        self.permits.get_mut(&zone)?.acquire(now, resource).granted()
    }
}
