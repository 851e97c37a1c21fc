//! A gateway that decides by request path and `Idempotency-Key`, and records its calls.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Notify;
use wagtailmoor_core::{
    Epoch, Instant, KeyDigest, KeyHash, Outcome, Priority, Reason, ShardKey, SlotId, TargetId,
    Weight,
};
use wagtailmoor_dispatch::{
    AttemptId, Fingerprint, Observation, PlanSettings, RetryBudget, Verdict,
};
use wagtailmoor_front::{AssignedTarget, Call, ConfigBasis, Gateway, Refusal, RequestHead};
use wagtailmoor_telemetry::Event;

use super::dialect::ScriptedDialect;

/// A retry budget that grants every retry.
pub(crate) struct UnlimitedBudget;

impl RetryBudget for UnlimitedBudget {
    fn earn(&mut self, _now: Instant) {}

    fn spend(&mut self, _now: Instant) -> bool {
        true
    }
}

/// Gateway for one session; [`lines`](Self::lines) returns the recorded calls.
pub(crate) struct ScriptedGateway<const EARLY: bool> {
    dialect: ScriptedDialect<EARLY>,
    start: tokio::time::Instant,
    targets: Vec<SocketAddr>,
    calls: Cell<u128>,
    /// Whether a connection to a target was lost.
    target_lost: Cell<bool>,
    log: RefCell<Vec<String>>,
    pub(crate) logged: Notify,
}

impl<const EARLY: bool> ScriptedGateway<EARLY> {
    pub(crate) fn new(targets: Vec<SocketAddr>) -> Self {
        Self {
            dialect: ScriptedDialect,
            start: tokio::time::Instant::now(),
            targets,
            calls: Cell::new(0),
            target_lost: Cell::new(false),
            log: RefCell::default(),
            logged: Notify::new(),
        }
    }

    pub(crate) fn lines(&self) -> Vec<String> {
        self.log.borrow().clone()
    }

    fn record(&self, event: Event) {
        self.log.borrow_mut().push(event.line().to_owned());
        self.logged.notify_one();
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(reason, "refused by the script")
}

impl<const EARLY: bool> Gateway for ScriptedGateway<EARLY> {
    type Dialect = ScriptedDialect<EARLY>;
    type Credit = ();
    type Guard = ();
    type ConnectionPermit = ();
    type Budget = UnlimitedBudget;

    fn dialect(&self) -> &ScriptedDialect<EARLY> {
        &self.dialect
    }

    fn now(&self) -> Instant {
        Instant::from_us(0) + self.start.elapsed()
    }

    async fn resolve(&self, head: &RequestHead<'_>) -> Result<Call, Refusal> {
        let event = Event::new("resolve").field("method", head.method).field("path", head.path);
        self.record(event.optional("idempotency_key", head.idempotency_key));
        match (head.digest, head.path) {
            (_, "/not-ready") => return Err(refuse(Reason::NotReady)),
            (_, "/unknown") => return Err(refuse(Reason::RouteUnknown)),
            (None, _) => return Err(refuse(Reason::KeyMissing)),
            (Some(digest), _) if digest != KeyDigest::of(b"secret") => {
                return Err(refuse(Reason::KeyRefused));
            }
            (_, "/forbidden") => return Err(refuse(Reason::RouteForbidden)),
            _ => {}
        }
        let idempotent = head.method != "POST";
        if !idempotent && head.idempotency_key.is_none() {
            return Err(refuse(Reason::IdempotencyKeyRequired));
        }
        self.calls.set(self.calls.get() + 1);
        let now = self.now();
        Ok(Call {
            id: AttemptId::new(self.calls.get() << 8),
            request_id: None,
            received_at: now,
            config: ConfigBasis::default(),
            deadline: now + head.deadline.map_or(Duration::from_secs(60), Duration::from),
            customer: Some("acme".parse().unwrap()),
            weight: Weight::new(1),
            priority: Priority::NEUTRAL,
            template: "plain".parse().unwrap(),
            back_end: "shop".parse().unwrap(),
            key: (head.path == "/owned").then(|| KeyHash::of(b"cart")),
            idempotent,
            record_key: head.idempotency_key.map(Into::into),
            shard_key: (head.path == "/on-t2").then(|| ShardKey::new(2)),
            bulk: false,
            streamed: matches!(head.path, "/upload" | "/fresh-upload"),
            fresh_connection: matches!(head.path, "/fresh-connection" | "/fresh-upload"),
            plan: PlanSettings {
                trusts_refusals: true,
                trusts_misdirected: true,
                retries_refused: head.path == "/retries-refused",
                ..PlanSettings::default()
            },
            hedge_after: None,
        })
    }

    fn check_fingerprint(
        &self,
        call: &Call,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Fingerprint, Refusal> {
        match path {
            "/crashes" => Err(refuse(Reason::CrashesTargets)),
            _ => Ok(Fingerprint::of(1, call.customer.as_ref(), method, path, body)),
        }
    }

    fn crashes_targets(&self, fingerprint: Fingerprint) -> bool {
        let customer = "acme".parse().unwrap();
        let crashing = Fingerprint::of(1, Some(&customer), "GET", "/crashing", b"");
        self.target_lost.get() && fingerprint == crashing
    }

    async fn admit(&self, call: &Call) -> Result<(), Refusal> {
        self.record(Event::new("admit").field("call", call.id));
        match call.record_key.as_deref() {
            Some("rate") => {
                Err(refuse(Reason::RateExceeded).with_retry_after(Duration::from_millis(1_500)))
            }
            Some("credit") => Err(refuse(Reason::CreditUnavailable)),
            _ => Ok(()),
        }
    }

    fn spend(&self, (): ()) {
        self.record(Event::new("spend"));
    }

    async fn claim_record(&self, call: &Call) -> Result<(), Refusal> {
        self.record(Event::new("claim").optional("record", call.record_key.as_deref()));
        match call.record_key.as_deref() {
            Some("taken") => {
                Err(Refusal { outcome: Outcome::Unknown, ..refuse(Reason::Duplicate) })
            }
            Some("no-record") => Err(refuse(Reason::RecordUnavailable)),
            _ => Ok(()),
        }
    }

    async fn assign(&self, call: &Call, tried: &[TargetId]) -> Result<AssignedTarget<()>, Reason> {
        self.record(Event::new("assign").field("tried", tried.len()));
        if call.record_key.as_deref() == Some("queue") {
            return Err(Reason::QueueFull);
        }
        let names = ["t1", "t2"].map(|name| name.parse::<TargetId>().unwrap());
        let mut targets: Vec<_> = names.into_iter().zip(&self.targets).collect();
        if call.shard_key == Some(ShardKey::new(2)) {
            targets.reverse();
        }
        let mut free = targets.into_iter();
        let (target, address) =
            free.find(|(name, _)| !tried.contains(name)).ok_or(Reason::TargetUnavailable)?;
        let ownership = call.key.map(|_| (SlotId::new(3), Epoch::new(7)));
        Ok(AssignedTarget { target, address: *address, guard: (), ownership, send_before: None })
    }

    async fn connection_permit(&self, _call: &Call, target: &TargetId) -> Option<()> {
        self.record(Event::new("connect").field("target", target));
        Some(())
    }

    fn budget(&self, _call: &Call) -> UnlimitedBudget {
        UnlimitedBudget
    }

    fn observe(&self, _call: &Call, target: &TargetId, observation: &Observation) {
        let text = format!("{observation:?}");
        let kind = text.split([' ', '{']).next().unwrap_or_default();
        self.record(Event::new("observe").field("target", target).field("seen", kind));
    }

    fn on_connection_lost(
        &self,
        _call: &Call,
        _fingerprint: Fingerprint,
        target: &TargetId,
        _assigned_at: Instant,
    ) {
        self.target_lost.set(true);
        self.record(Event::new("lost").field("target", target));
    }

    fn on_unanswered(
        &self,
        _call: &Call,
        _fingerprint: Fingerprint,
        _target: &TargetId,
        _: Duration,
    ) {
    }

    fn on_load_report(&self, _target: &TargetId, (): ()) {}

    fn on_not_owner(&self, _call: &Call, target: &TargetId, ownership: Option<(SlotId, Epoch)>) {
        let Some((slot, epoch)) = ownership else { return };
        let event = Event::new("disowned").field("target", target);
        self.record(event.field("slot", slot).field("epoch", epoch));
    }

    fn retry_after(&self, _call: &Call, verdict: &Verdict) -> Option<Duration> {
        match verdict.reason {
            Some(Reason::OwnerMoving | Reason::OwnerUnknown) => Some(Duration::from_secs(1)),
            _ => verdict.retry_after.map(Duration::from),
        }
    }

    fn on_finished(&self, _call: &Call, _fingerprint: Option<Fingerprint>, verdict: &Verdict) {
        let event = Event::new("finish").field("outcome", verdict.outcome);
        let event = event.optional("reason", verdict.reason).optional("status", verdict.status);
        self.record(event.field("ending", format!("{:?}", verdict.ending)));
    }

    fn on_refused(&self, call: Option<&Call>, refusal: &Refusal) {
        let event = Event::new("refused").field("resolved", call.is_some());
        self.record(event.field("outcome", refusal.outcome).field("reason", refusal.reason));
    }
}
