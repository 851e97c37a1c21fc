//! Routing decisions for the front end.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use wagtailmoor_admission::{LoadSample, RunningGuard, UnansweredGuard};
use wagtailmoor_core::{
    BackEndId, CustomerId, Epoch, Instant, KeyHash, Outcome, Priority, Reason, ReportedDuration,
    SlotId, TargetId, TemplateId, Weight,
};
use wagtailmoor_dispatch::{
    AttemptId, BodyTimeout, Fingerprint, Observation, PlanSettings, RetryBudget, Verdict,
};
use wagtailmoor_front::{
    AssignedTarget, Call, ConfigBasis, Dialect, Gateway, HeadDecision, Refusal, RequestHead,
};
use wagtailmoor_rollout::InFlightGuard;
use wagtailmoor_site::{KeyMatch, RouteMatch, RouteRule, SiteConfig};
use wagtailmoor_telemetry::{Event, TrafficMeter};

use crate::admission_control;
use crate::confirmation_wait::{self, NotConfirmed};
use crate::decision_gate::Confirmation;
use crate::log_lines;
use crate::rollouts;
use crate::room_at_targets;
use crate::split::Split;
use crate::state::{RouterState, Shared};
use crate::stats::RequestLabels;
use crate::target_choice;
use crate::zone_traffic::TrafficKind;

/// A key without an owner most likely has one after this time.
const OWNER_RETRY_AFTER: Duration = Duration::from_millis(350);

/// A busy back end most likely has free capacity after this time.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A node without a configuration most likely has one after this time.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Retry delay of a request that an unusable element of the configuration concerns. Operators take
/// longer to correct it, but clients accept no delay of more than a part of their deadline.
const UNUSABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request without a stated deadline waits for a confirmation of the data for at most this long.
const CONFIRMATION_WAIT_MAX: Duration = Duration::from_secs(2);

/// A client that was refused because this node is shutting down can use another node after this
/// time.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Lower bound of the retry delay sent to a customer that exceeds its limit.
const RATE_RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// A target that refused a connection is avoided for this long.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// A target that lost a connection is avoided for this long if others can run its requests.
const LOST_PAUSE: Duration = Duration::from_millis(200);

/// A target that refused a request because it is full is avoided for this long.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// An unanswered attempt counts as sent to its target if it lasted at least this long. A shorter
/// one may have ended before the connection was established.
const UNANSWERED_WAIT_MIN: Duration = Duration::from_millis(300);

/// No further attempt starts with less time than this left before the deadline.
const TIME_LEFT_MIN: Duration = Duration::from_millis(60);

/// Lowest status of a failure at the target.
const SERVER_ERROR_MIN: u16 = 500;

/// Longest id of a route.
const TEMPLATE_CHARS_MAX: usize = 64;

/// Routes requests by the state of this node.
pub(crate) struct RouterGateway<D> {
    shared: Shared,
    dialect: D,
}

impl<D> RouterGateway<D> {
    /// Returns whether targets are limited over all nodes and requests are admitted by priority.
    fn controls_load(&self) -> bool {
        let state = self.shared.read();
        state.config.as_ref().is_some_and(|config| self.shared.settings.controls_load(config))
    }

    pub(crate) fn new(shared: Shared, dialect: D) -> Self {
        Self { shared, dialect }
    }

    /// Returns the configuration by which the head of a request is decided now.
    fn basis(
        &self,
        received_at: Instant,
        confirmation: Result<Confirmation, NotConfirmed>,
    ) -> ConfigBasis {
        let now = self.shared.now();
        let mut state = self.shared.write();
        if confirmation == Ok(Confirmation::Unreachable) {
            state.stats.count("decided-unconfirmed");
        }
        ConfigBasis {
            version: state.config_version(),
            age: state.replica.age(now),
            confirmed: confirmation == Ok(Confirmation::Current),
            waited: now.saturating_since(received_at),
        }
    }

    /// Matches a request to a route by the current state.
    fn decide(
        &self,
        head: &RequestHead<'_>,
        received_at: Instant,
        basis: ConfigBasis,
    ) -> Result<Call, Refusal> {
        let now = self.shared.now();
        let mut state = self.shared.write();
        let RouterState {
            config, tables, registry, local_shares, random, shutdown_deadline, ..
        } = &mut *state;
        let Some(config) = config else {
            let refusal = Refusal::not_run(Reason::NotReady, "no configuration is known yet");
            return Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER));
        };
        let route = match config.match_route(head.host, head.path) {
            RouteMatch::Usable(route) => route,
            RouteMatch::Unusable => return Err(unusable("the route")),
            RouteMatch::Unknown => {
                let detail = "no route matches host and path";
                return Err(Refusal::not_run(Reason::RouteUnknown, detail));
            }
        };
        let customer = find_customer(config, route, head)?;
        let priority = match self.shared.settings.controls_load(config) {
            true => effective_priority(config, route, customer.as_ref()),
            false => Priority::default(),
        };
        let zone = &self.shared.settings.zone;
        let mut split = Split { now, zone, config, tables, registry, local_shares };
        let back_end = split.choose(route, head.shard_key, random);
        if config.is_back_end_unusable(&back_end) {
            return Err(unusable("the back end"));
        }
        let keyed = config.back_end(&back_end).is_some_and(|rule| rule.keyed);
        let shard_key = head.shard_key.filter(|_| keyed);
        let timeout = head.deadline.map_or(route.timeout, |wait| wait.get().min(route.timeout));
        let deadline = deadline(received_at, timeout, route.idempotent, *shutdown_deadline)?;
        let mut call = Call {
            id: AttemptId::new(random.random()),
            request_id: head.request_id.map(Into::into),
            received_at,
            config: basis,
            deadline,
            customer,
            weight: Weight::new(1),
            priority,
            template: template(route),
            back_end,
            key: shard_key.map(|key| KeyHash::of(&key.get().to_be_bytes())),
            idempotent: route.idempotent,
            bulk: route.bulk,
            streamed: route.streamed,
            record_key: None,
            shard_key,
            fresh_connection: !route.idempotent,
            plan: PlanSettings {
                attempts_max: route.attempts_max,
                trusts_refusals: true,
                trusts_misdirected: true,
                retries_refused: true,
                time_left_min: TIME_LEFT_MIN,
                body_timeout: BodyTimeout::Deadline,
                unreachable: Reason::TargetUnavailable,
            },
            hedge_after: None,
        };
        room_at_targets::check_arrival(&mut state, now, &call)
            .map_err(|refusal| refusal.with_retry_after(BUSY_RETRY_AFTER))?;
        call.hedge_after = room_at_targets::hedge_after(&mut state, now, &call);
        Ok(call)
    }
}

/// Refunds a request to its customer's limit if the request is dropped before it was sent to a
/// target.
pub struct CreditGuard {
    shared: Shared,
    customer: Option<CustomerId>,
}

impl Drop for CreditGuard {
    fn drop(&mut self) {
        if let Some(customer) = &self.customer {
            self.shared.write().customers.refund(customer);
        }
    }
}

/// Counts an attempt as running and unanswered at its target, and as in flight to the version of
/// the target, until dropped.
pub struct AttemptGuard {
    _running: RunningGuard,
    _unanswered: UnansweredGuard,
    _in_flight: Option<InFlightGuard>,
}

/// The retry budget of one back end.
pub(crate) struct BackEndBudget {
    shared: Shared,
    back_end: BackEndId,
}

impl RetryBudget for BackEndBudget {
    fn earn(&mut self, now: Instant) {
        let share = self.shared.settings.limits.retry_share;
        self.shared.write().budget(&self.back_end, share).record_first(now);
    }

    fn spend(&mut self, now: Instant) -> bool {
        let share = self.shared.settings.limits.retry_share;
        self.shared.write().budget(&self.back_end, share).take(now)
    }
}

impl<D: Dialect<Load = LoadSample> + 'static> Gateway for RouterGateway<D> {
    /// What exceeds a limit or the admitted share is refused before its body is read.
    const ADMITS_BEFORE_BODY: bool = true;

    type Dialect = D;
    type Credit = CreditGuard;
    type Guard = AttemptGuard;
    type ConnectionPermit = ();
    type Budget = BackEndBudget;

    fn dialect(&self) -> &D {
        &self.dialect
    }

    fn now(&self) -> Instant {
        self.shared.now()
    }

    async fn resolve(&self, head: &RequestHead<'_>) -> Result<Call, Refusal> {
        let received_at = self.now();
        let stated = head.deadline.map_or(CONFIRMATION_WAIT_MAX, ReportedDuration::get);
        let waited = confirmation_wait::wait(&self.shared, received_at + stated).await;
        let basis = self.basis(received_at, waited);
        let decided = match waited {
            Ok(_) => self.decide(head, received_at, basis),
            Err(NotConfirmed) => {
                let detail = "the configuration of this node is not confirmed";
                let refusal = Refusal::not_run(Reason::NotReady, detail);
                Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER))
            }
        };
        decided.map_err(|refusal| {
            let request_id = head.request_id.map(Into::into);
            refusal.with_decision(HeadDecision { request_id, config: basis })
        })
    }

    fn check_fingerprint(
        &self,
        call: &Call,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Fingerprint, Refusal> {
        call.fingerprint(self.now(), &self.shared.read().ledger, method, path, body)
    }

    fn crashes_targets(&self, fingerprint: Fingerprint) -> bool {
        self.shared.read().ledger.refuses(self.now(), fingerprint)
    }

    async fn admit(&self, call: &Call) -> Result<CreditGuard, Refusal> {
        let now = self.now();
        let mut state = self.shared.write();
        let RouterState { config, customers, .. } = &mut *state;
        let rule = call
            .customer
            .as_ref()
            .zip(config.as_ref())
            .and_then(|(customer, config)| config.customer(customer));
        if let Some(rule) = rule {
            customers.admit(now, rule).map_err(|wait| {
                Refusal::not_run(Reason::RateExceeded, "the customer is above its rate and burst")
                    .with_retry_after(wait.max(RATE_RETRY_AFTER_MIN))
            })?;
        }
        let admitted = admission_control::admit(&mut state, now, call);
        drop(state);
        let credit =
            CreditGuard { shared: Rc::clone(&self.shared), customer: call.customer.clone() };
        // A request that is not admitted refunds the credit.
        admitted.map(|()| credit)
    }

    fn spend(&self, mut credit: CreditGuard) {
        credit.customer = None;
    }

    async fn claim_record(&self, _call: &Call) -> Result<(), Refusal> {
        Ok(())
    }

    async fn assign(
        &self,
        call: &Call,
        tried: &[TargetId],
    ) -> Result<AssignedTarget<AttemptGuard>, Reason> {
        // The target must be one that the current data allow, also after a wait of this process.
        let waited = confirmation_wait::wait(&self.shared, call.deadline).await;
        let confirmation = waited.map_err(|NotConfirmed| Reason::NotReady)?;
        let may_send = tried.is_empty()
            || room_at_targets::may_send_again(&mut self.shared.write(), self.now(), call);
        if !may_send {
            return Err(Reason::QueueFull);
        }
        let (target, picked) = match call.shard_key {
            Some(key) => target_choice::find_owner(&self.shared, call, key, tried).await?,
            None => target_choice::pick(&self.shared, call, tried)?,
        };
        let now = self.now();
        let event = log_lines::assigned(call, &target, &picked, tried.len(), &self.shared.read());
        log_lines::with_confirmation(event, confirmation, &self.shared.read(), now).info();
        let mut state = self.shared.write();
        let in_flight = rollouts::start_attempt(&mut state, now, &target);
        let unanswered = room_at_targets::start(&mut state, now, call, &target, picked.expected);
        Ok(AssignedTarget {
            target: target.target,
            address: target.address,
            guard: AttemptGuard {
                _running: picked.running,
                _unanswered: unanswered,
                _in_flight: in_flight,
            },
            ownership: None,
            send_before: None,
        })
    }

    async fn connection_permit(&self, _call: &Call, _target: &TargetId) -> Option<()> {
        Some(())
    }

    fn traffic_meter(&self, call: &Call, target: &TargetId) -> TrafficMeter {
        let mut state = self.shared.write();
        let RouterState { registry, traffic, .. } = &mut *state;
        let kind = match call.shard_key {
            Some(_) => TrafficKind::Keyed,
            None => TrafficKind::Pooled,
        };
        match registry.get(target) {
            Some(known) => traffic.meter(kind, &known.zone),
            None => TrafficMeter::default(),
        }
    }

    fn budget(&self, call: &Call) -> BackEndBudget {
        BackEndBudget { shared: Rc::clone(&self.shared), back_end: call.back_end.clone() }
    }

    fn observe(&self, call: &Call, target: &TargetId, observation: &Observation) {
        let now = self.now();
        let mut state = self.shared.write();
        let slots = state.registry.get(target).map_or(1, |known| known.slots.get());
        match observation {
            Observation::Answered { elapsed, .. } => state.room.on_answered(target, *elapsed),
            Observation::Refused { .. } => state.room.on_rejected(target),
            Observation::Cancelled { elapsed } => state.room.on_given_up(target, *elapsed),
            _ => {}
        }
        let load = state.picker.load(target);
        match observation {
            Observation::Answered { elapsed, .. } => load.on_response(now, *elapsed, slots),
            // A key has no other target, so an owner that refuses although it has free slots is
            // tried again.
            Observation::Refused { .. }
                if call.shard_key.is_some() && load.has_free_slot(now, slots) =>
            {
                load.on_failure(now);
            }
            Observation::Refused { .. } => {
                load.on_failure(now);
                load.exclude_until(now + FULL_PAUSE);
            }
            Observation::ConnectFailed => {
                load.on_failure(now);
                load.exclude_until(now + UNREACHABLE_PAUSE);
            }
            Observation::ConnectionLost { assigned_at, .. } => {
                load.on_failure(now);
                let elapsed = now.saturating_since(*assigned_at);
                rollouts::on_answer(&mut state, now, call, target, elapsed, true);
            }
            Observation::Cancelled { elapsed } if *elapsed >= UNANSWERED_WAIT_MIN => {
                load.on_unanswered(now, *elapsed, slots);
            }
            Observation::Misdirected | Observation::Cancelled { .. } => {}
        }
    }

    fn on_answered(&self, call: &Call, target: &TargetId, elapsed: Duration, status: u16) {
        let failed = status >= SERVER_ERROR_MIN;
        rollouts::on_answer(&mut self.shared.write(), self.now(), call, target, elapsed, failed);
    }

    fn on_connection_lost(
        &self,
        call: &Call,
        fingerprint: Fingerprint,
        target: &TargetId,
        _assigned_at: Instant,
    ) {
        let now = self.now();
        let mut state = self.shared.write();
        let incarnation = state.registry.get(target).map(|known| known.incarnation);
        let incarnation = incarnation.unwrap_or_default();
        let refused_from_now = state.ledger.record_loss(now, fingerprint, target, incarnation);
        let load = state.picker.load(target);
        load.on_failure(now);
        // A key has no other target, so its owner is tried again at once.
        if !refused_from_now && call.shard_key.is_none() {
            load.exclude_until(now + LOST_PAUSE);
        }
        state.stats.count("target-lost");
        Event::new("target-lost")
            .field("request", call.request_id.as_deref().unwrap_or("-"))
            .field("target", target)
            .field("incarnation", incarnation)
            .field("fingerprint", fingerprint)
            .field("refused_from_now", refused_from_now)
            .field("losses", state.ledger.losses(fingerprint))
            .field("suspects", state.ledger.len())
            .warn();
    }

    fn on_unanswered(
        &self,
        call: &Call,
        fingerprint: Fingerprint,
        target: &TargetId,
        waited: Duration,
    ) {
        rollouts::on_unanswered(&mut self.shared.write(), self.now(), call, target, waited);
        if waited < UNANSWERED_WAIT_MIN {
            return;
        }
        let now = self.now();
        let mut state = self.shared.write();
        let incarnation = state.registry.get(target).map(|known| known.incarnation);
        let incarnation = incarnation.unwrap_or_default();
        state.unanswered.add(now, fingerprint, target, incarnation);
    }

    fn on_load_report(&self, target: &TargetId, load: LoadSample) {
        let now = self.now();
        let mut state = self.shared.write();
        state.room.on_load_report(target, load);
        state.picker.load(target).on_load_report(now, load);
        if let Some(left) = load.cold_for {
            state.registry.set_cold(now, target, left.get());
        }
    }

    fn on_not_owner(&self, call: &Call, target: &TargetId, _ownership: Option<(SlotId, Epoch)>) {
        let now = self.now();
        let mut state = self.shared.write();
        state.picker.load(target).on_not_owner(now);
        state.stats.count("disowned");
        let epoch = call.shard_key.and_then(|key| {
            state.tables.get(&call.back_end)?.assignment_of(key).map(|assignment| assignment.epoch)
        });
        Event::new("disowned")
            .field("request", call.request_id.as_deref().unwrap_or("-"))
            .field("target", target)
            .optional("key", call.shard_key)
            .optional("epoch", epoch)
            .info();
    }

    fn retry_after(&self, call: &Call, verdict: &Verdict) -> Option<Duration> {
        match (verdict.outcome, verdict.reason) {
            (Outcome::NotRun, Some(Reason::OwnerMoving | Reason::OwnerUnknown)) => {
                Some(OWNER_RETRY_AFTER)
            }
            (Outcome::NotRun, _) if self.controls_load() => {
                let (now, mut state) = (self.now(), self.shared.write());
                admission_control::retry_after(&mut state, now, call, verdict.retry_after)
            }
            (Outcome::NotRun, _) => {
                Some(verdict.retry_after.map_or(BUSY_RETRY_AFTER, ReportedDuration::get))
            }
            _ => None,
        }
    }

    fn on_finished(&self, call: &Call, fingerprint: Option<Fingerprint>, verdict: &Verdict) {
        let now = self.now();
        let mut state = self.shared.write();
        match fingerprint {
            // A server error may come from a crashed worker, so it does not clear the fingerprint.
            Some(fingerprint) if verdict.status.is_some_and(|status| status < 500) => {
                state.ledger.record_answer(now, fingerprint);
            }
            _ => {}
        }
        log_lines::finished(call, verdict, &state, now).info();
        let labels = labels(Some(call), verdict.outcome, verdict.reason);
        state.stats.request(labels, now.saturating_since(call.received_at));
    }

    fn on_refused(&self, call: Option<&Call>, refusal: &Refusal) {
        let now = self.now();
        let mut state = self.shared.write();
        log_lines::refused(call, refusal, &state, now).info();
        let waited = call.map_or(Duration::ZERO, |call| now.saturating_since(call.received_at));
        state.stats.request(labels(call, refusal.outcome, Some(refusal.reason)), waited);
    }
}

/// Returns the priority of a request: that of its customer, or else that of its route.
fn effective_priority(
    config: &SiteConfig,
    route: &RouteRule,
    customer: Option<&CustomerId>,
) -> Priority {
    let of_customer = customer.and_then(|customer| config.customer(customer)?.priority);
    Priority::new(of_customer.unwrap_or(route.priority))
}

/// Returns an id made of a route's name. Names that differ only in characters that an id cannot
/// have share their id.
fn template(route: &RouteRule) -> TemplateId {
    let is_valid = |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit();
    let letters = route.name.chars().take(TEMPLATE_CHARS_MAX);
    let text: String = letters.map(|letter| if is_valid(letter) { letter } else { '-' }).collect();
    text.parse().unwrap_or_else(|_| "route".parse().expect("a literal id is valid"))
}

fn labels(call: Option<&Call>, outcome: Outcome, reason: Option<Reason>) -> RequestLabels {
    RequestLabels {
        back_end: call.map(|call| call.back_end.clone()),
        customer: call.and_then(|call| call.customer.clone()),
        outcome,
        reason,
    }
}

/// Returns the deadline of a request. On a node that is shutting down it is not later than the end
/// of the grace period, so that the client gets an answer. A request that must not be repeated and
/// may outlast the grace period is refused, because its outcome would be unknown.
fn deadline(
    now: Instant,
    timeout: Duration,
    idempotent: bool,
    shutdown_deadline: Option<Instant>,
) -> Result<Instant, Refusal> {
    let deadline = now + timeout;
    match shutdown_deadline {
        Some(end) if deadline > end && !idempotent => {
            let refusal = Refusal::not_run(Reason::NotReady, "the node is shutting down");
            Err(refusal.with_retry_after(SHUTDOWN_RETRY_AFTER))
        }
        Some(end) => Ok(deadline.min(end)),
        None => Ok(deadline),
    }
}

/// Finds the customer of a request by its key; open routes accept requests without one.
fn find_customer(
    config: &SiteConfig,
    route: &RouteRule,
    head: &RequestHead<'_>,
) -> Result<Option<CustomerId>, Refusal> {
    let found = head.digest.as_ref().map(|digest| config.match_key(digest));
    let is_open = route.open || !config.has_customers();
    match found {
        Some(KeyMatch::Customer(rule)) => Ok(Some(rule.customer.clone())),
        Some(KeyMatch::Unusable) => Err(unusable("the customer")),
        _ if is_open => Ok(None),
        None if !config.has_unread_customers() => {
            Err(Refusal::not_run(Reason::KeyMissing, "the request carries no key"))
        }
        // The key may belong to a customer that could not be read.
        None | Some(KeyMatch::Unlisted) => Err(unusable("the list of customers")),
        Some(KeyMatch::Unknown) => {
            Err(Refusal::not_run(Reason::KeyRefused, "the key is unknown or was withdrawn"))
        }
    }
}

/// Refuses a request that an unusable element of the configuration concerns.
fn unusable(element: &str) -> Refusal {
    let detail = format!("the configuration of {element} is not usable");
    Refusal::not_run(Reason::NotReady, detail).with_retry_after(UNUSABLE_RETRY_AFTER)
}
