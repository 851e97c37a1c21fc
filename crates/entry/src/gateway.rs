//! Decisions for the front end.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wagtailmoor_configuration::{BackEndKind, IdempotencyKeyUse, ResolvedRoute};
use wagtailmoor_core::{
    Epoch, Incarnation, Instant, KeyHash, Outcome, Reason, SlotId, TargetId, Weight,
};
use wagtailmoor_dispatch::{
    AttemptId, Fingerprint, Observation, RecordKey, RecordRefusal, RecordState, TimeBucket, Verdict,
};
use wagtailmoor_front::{Assigned, Call, Gateway, OwnDialect, Refusal, RequestHead};
use wagtailmoor_limits::{Admission, Credit, Permit, ResourceId};
use wagtailmoor_ownership::Route;
use wagtailmoor_telemetry::{Event, RequestSample};

use crate::back_end::SharedBudget;
use crate::configure::permit_zone;
use crate::entry::{Shared, unix_ms};
use crate::record_calls;
use crate::state::State;
use crate::target_choice::{Choice, Place};
use crate::waiter::{Guard, Turn};

/// Time for which a request waits for a key that is moving.
const MOVING_WAIT: Duration = Duration::from_millis(100);

/// A planned move of a key is over well within this time.
const MOVE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Attempt records are swept once for each period of this length.
const RECORD_BUCKET_MS: u64 = 3_600_000;

/// Decisions for the front end.
pub(crate) struct EntryGateway {
    entry: Shared,
}

impl EntryGateway {
    pub(crate) fn new(entry: Shared) -> Self {
        Self { entry }
    }
}

impl Gateway for EntryGateway {
    type Dialect = OwnDialect;
    type Credit = Option<Credit>;
    type Guard = Guard;
    type ConnectionPermit = Permit;
    type Budget = SharedBudget;

    fn dialect(&self) -> &OwnDialect {
        &OwnDialect
    }

    fn now(&self) -> Instant {
        self.entry.now()
    }

    fn resolve(&self, head: &RequestHead<'_>) -> Result<Call, Refusal> {
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
        let call = state.call(now, &route, head, record);
        state.totals.requests += 1;
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
            let arrived = self.entry.signals.credits.notified();
            self.entry.signals.credit_demand.notify_one();
            let left = ticket.deadline().saturating_since(self.now());
            // The wait ends by a reply or by time; both lead to the same question.
            drop(timeout(left, arrived).await);
            admission = self.entry.state().credits.readmit(self.now(), ticket);
        }
    }

    fn spend(&self, credit: Option<Credit>) {
        credit.into_iter().for_each(Credit::spend);
    }

    async fn claim(&self, call: &Call) -> Result<(), Refusal> {
        let (Some(key), Some(customer)) = (&call.record, &call.customer) else { return Ok(()) };
        let key = RecordKey::of(customer, key.as_bytes());
        let bucket = u32::try_from(unix_ms() / RECORD_BUCKET_MS).unwrap_or(u32::MAX);
        let (sender, receiver) = oneshot::channel();
        let outputs = {
            let now = self.now();
            let mut state = self.entry.state();
            let bucket = TimeBucket::new(bucket);
            let (claim, outputs) = state.records.claim(now, key, call.deadline, bucket);
            state.claims.insert(claim, sender);
            state.running.insert(call.id, claim);
            outputs
        };
        record_calls::carry_out_and_wake(&self.entry, outputs);
        match receiver.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(refusal)) => {
                self.entry.state().running.remove(&call.id);
                Err(record_refusal(refusal))
            }
            Err(_) => Err(Refusal::not_run(Reason::ShuttingDown, "the process is stopping")),
        }
    }

    async fn assign(&self, call: &Call, tried: &[TargetId]) -> Result<Assigned<Guard>, Reason> {
        let patience = self.now() + MOVING_WAIT;
        let mut place = Place::Behind;
        loop {
            let changed = self.entry.signals.routes.notified();
            let choice = self.entry.state().choose(&self.entry, self.now(), call, tried, place);
            match choice {
                Choice::Assigned(assigned) => return Ok(*assigned),
                Choice::Refused(reason) => return Err(reason),
                Choice::Wait(turn) => {
                    self.entry.signals.permit_demand.notify_one();
                    match turn.await.unwrap_or(Turn::Refused(Reason::ShuttingDown)) {
                        Turn::Assigned(assigned) => return Ok(*assigned),
                        Turn::Refused(reason) => return Err(reason),
                        Turn::LookUp => place = Place::First,
                    }
                }
                Choice::Moving => {
                    let left = patience.saturating_since(self.now());
                    let waited = timeout(left, changed).await;
                    waited.map_err(|_| self.entry.state().unowned_reason(self.now(), call))?;
                }
            }
        }
    }

    async fn connection_permit(&self, call: &Call, target: &TargetId) -> Option<Permit> {
        let resource = ResourceId::connections(target.clone());
        loop {
            let arrived = self.entry.signals.permits.notified();
            let permit = self.entry.state().permit(self.now(), &resource);
            if permit.is_some() {
                return permit;
            }
            self.entry.signals.permit_demand.notify_one();
            let left = call.deadline.saturating_since(self.now());
            timeout(left, arrived).await.ok()?;
        }
    }

    fn budget(&self, call: &Call) -> SharedBudget {
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

    fn lost(&self, call: &Call, fingerprint: Fingerprint, target: &TargetId, assigned_at: Instant) {
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

    /// No registry tells this process when a target that fell silent has ended.
    fn unanswered(&self, _: &Call, _: Fingerprint, _: &TargetId, _: Duration) {}

    fn reported(&self, _target: &TargetId, (): ()) {}

    fn disowned(&self, call: &Call, target: &TargetId, ownership: Option<(SlotId, Epoch)>) {
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
            _ => verdict.retry_after,
        }
    }

    fn finish(&self, call: &Call, fingerprint: Option<Fingerprint>, verdict: &Verdict) {
        let now = self.now();
        let outputs = {
            let mut state = self.entry.state();
            state.count(verdict.outcome);
            match fingerprint {
                // A server error may be the crash of a worker, so it clears no fingerprint.
                Some(fingerprint) if verdict.status.is_some_and(|status| status < 500) => {
                    state.ledger.record_answer(now, fingerprint);
                }
                _ => {}
            }
            state.settle(now, call, RecordState::from(verdict))
        };
        record_calls::carry_out_and_wake(&self.entry, outputs);
        let status = match (verdict.status, verdict.reason) {
            (Some(status), _) => status,
            (None, Some(reason)) => Refusal::not_run(reason, "").status().as_u16(),
            (None, None) => 0,
        };
        self.report(call, verdict.outcome, verdict.reason, status);
    }

    fn refused(&self, call: Option<&Call>, refusal: &Refusal) {
        let now = self.now();
        let outputs = {
            let mut state = self.entry.state();
            match call {
                Some(_) => state.count(refusal.outcome),
                None => state.totals.refused += 1,
            }
            let end = RecordState::NotRun { reason: refusal.reason };
            call.map(|call| state.settle(now, call, end)).unwrap_or_default()
        };
        record_calls::carry_out_and_wake(&self.entry, outputs);
        let status = refusal.status().as_u16();
        match call {
            Some(call) => self.report(call, refusal.outcome, Some(refusal.reason), status),
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
    fn report(&self, call: &Call, outcome: Outcome, reason: Option<Reason>, status: u16) {
        let latency = self.now().saturating_since(call.arrived);
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
        // Formatting an event that nobody reads would cost more than routing the request.
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
        RecordRefusal::Duplicate { outcome, status, .. } => Refusal {
            reason: Reason::Duplicate,
            outcome,
            retry_after: None,
            detail: match status {
                Some(status) => format!("the first request was answered with status {status}"),
                None => "the first request may have run or is running".into(),
            },
        },
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
    fn call(
        &mut self,
        now: Instant,
        route: &ResolvedRoute<'_>,
        head: &RequestHead<'_>,
        record: Option<Rc<str>>,
    ) -> Call {
        let longest = route.back_end.request_max();
        let patience = head.deadline.unwrap_or(longest).min(longest);
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
        Call {
            request_id: None,
            shard_key: None,
            bulk: false,
            fresh_connection: !route.idempotent,
            id: AttemptId::new(self.random.random()),
            arrived: now,
            deadline: now + patience,
            customer: route.customer.map(|customer| customer.customer.clone()),
            weight: route.customer.map_or(Weight::new(1), |customer| customer.weight),
            template: route.template.template.clone(),
            back_end: route.back_end.back_end.clone(),
            key,
            idempotent: route.idempotent,
            record,
            plan,
            hedge_after,
        }
    }

    fn count(&mut self, outcome: Outcome) {
        self.totals.requests = self.totals.requests.saturating_sub(1);
        match outcome {
            Outcome::Answered => self.totals.answered += 1,
            _ => self.totals.refused += 1,
        }
    }

    fn settle(
        &mut self,
        now: Instant,
        call: &Call,
        end: RecordState,
    ) -> Vec<wagtailmoor_dispatch::RecordOutput> {
        match (self.running.remove(&call.id), &call.customer, &call.record) {
            (Some(claim), Some(customer), Some(key)) => {
                let key = RecordKey::of(customer, key.as_bytes());
                self.records.finish(now, &key, claim, end)
            }
            _ => Vec::new(),
        }
    }

    /// Takes a permit of a target from the holder for its zone.
    pub(crate) fn permit(&mut self, now: Instant, resource: &ResourceId) -> Option<Permit> {
        let zone = permit_zone(self, &resource.target)?.clone();
        self.permits.get_mut(&zone)?.acquire(now, resource).granted()
    }
}
