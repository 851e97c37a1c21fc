//! What the front end asks of the decisions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{
    BackEndId, CustomerId, Epoch, Instant, KeyDigest, KeyHash, Reason, ShardKey, SlotId, TargetId,
    TemplateId, Weight,
};
use wagtailmoor_dispatch::{
    AttemptId, CrashLedger, Fingerprint, Observation, PlanSettings, RetryBudget, Verdict,
};

use crate::Refusal;
use crate::dialect::Dialect;

/// What the front end learned from a request head.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// Method of the request.
    pub method: &'a str,
    /// Host that the client addressed, without a port.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Digest of the customer key.
    pub digest: Option<KeyDigest>,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<&'a str>,
    /// Id that the client gave the request.
    pub request_id: Option<&'a str>,
    /// Application key as a number.
    pub shard_key: Option<ShardKey>,
    /// Time that the client will wait.
    pub deadline: Option<Duration>,
}

/// A request that may run, once credit is at hand.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the first attempt.
    pub id: AttemptId,
    /// Id that the client gave the request.
    pub request_id: Option<Arc<str>>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Customer, absent on open routes without one.
    pub customer: Option<CustomerId>,
    /// Weight of the customer.
    pub weight: Weight,
    /// Template of the route.
    pub template: TemplateId,
    /// Back end of the route.
    pub back_end: BackEndId,
    /// Hash of the application key, on keyed back ends.
    pub key: Option<KeyHash>,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether its answer is large.
    pub bulk: bool,
    /// Value of `Idempotency-Key`, if a record must be claimed.
    pub record: Option<Rc<str>>,
    /// Application key as a number, on back ends that are divided into ranges of keys.
    pub shard_key: Option<ShardKey>,
    /// Whether every attempt opens a connection of its own, so that no answer of an earlier
    /// request can be taken for its answer.
    pub fresh_connection: bool,
    /// Settings of the attempts.
    pub plan: PlanSettings,
    /// Time after which an idempotent request is hedged.
    pub hedge_after: Option<Duration>,
}

impl Call {
    /// Returns the fingerprint of a request, or a refusal if such requests crash targets.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn fingerprint(
        &self,
        now: Instant,
        ledger: &CrashLedger,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Fingerprint, Refusal> {
        let customer = self.customer.as_ref();
        let fingerprint = Fingerprint::of(Fingerprint::SITE_SEED, customer, method, path, body);
        match ledger.refuses(now, fingerprint) {
            true => Err(Refusal::crashes_targets()),
            false => Ok(fingerprint),
        }
    }
}

/// A target assigned to an attempt.
#[derive(Debug)]
pub struct Assigned<G> {
    /// The target.
    pub target: TargetId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Held while the attempt runs.
    pub guard: G,
    /// Slot and epoch under which the target owns the key.
    pub ownership: Option<(SlotId, Epoch)>,
    /// Nothing may be sent from this instant on.
    pub send_before: Option<Instant>,
}

/// The decisions behind the front end. All methods run on the thread of the front end.
pub trait Gateway {
    /// Names and forms of the messages.
    type Dialect: Dialect;
    /// Given back on drop unless it is spent.
    type Credit;
    /// Counts an attempt at its target until it is dropped.
    type Guard;
    /// Permission to keep a connection to a target.
    type ConnectionPermit;
    /// Budget of retries and hedges.
    type Budget: RetryBudget;

    /// Returns the dialect that clients and targets speak.
    fn dialect(&self) -> &Self::Dialect;

    /// Returns the present instant.
    fn now(&self) -> Instant;

    /// Decides whether a request may run.
    ///
    /// # Errors
    ///
    /// The refusal to answer with.
    fn resolve(&self, head: &RequestHead<'_>) -> Result<Call, Refusal>;

    /// Computes the fingerprint of a request and refuses one that crashes targets.
    ///
    /// # Errors
    ///
    /// The refusal to answer with.
    fn check_fingerprint(
        &self,
        call: &Call,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Fingerprint, Refusal>;

    /// Returns whether a request with this fingerprint crashes targets, by what is known now.
    fn crashes_targets(&self, fingerprint: Fingerprint) -> bool;

    /// Waits for credit of the customer.
    fn admit(&self, call: &Call) -> impl Future<Output = Result<Self::Credit, Refusal>>;

    /// Uses a credit up, because the request is sent.
    fn spend(&self, credit: Self::Credit);

    /// Claims the attempt record of a non-idempotent request.
    fn claim(&self, call: &Call) -> impl Future<Output = Result<(), Refusal>>;

    /// Waits in the queue of the back end for a target.
    fn assign(
        &self,
        call: &Call,
        tried: &[TargetId],
    ) -> impl Future<Output = Result<Assigned<Self::Guard>, Reason>>;

    /// Waits for permission to open a connection to a target, until the deadline of the call.
    fn connection_permit(
        &self,
        call: &Call,
        target: &TargetId,
    ) -> impl Future<Output = Option<Self::ConnectionPermit>>;

    /// Returns the retry budget of a call.
    fn budget(&self, call: &Call) -> Self::Budget;

    /// Takes what was seen of a target.
    fn observe(&self, call: &Call, target: &TargetId, observation: &Observation);

    /// Takes the loss of a connection that carried a request.
    fn lost(&self, call: &Call, fingerprint: Fingerprint, target: &TargetId, assigned_at: Instant);

    /// Takes a request that a target had not answered after a time, when it was given up.
    fn unanswered(
        &self,
        call: &Call,
        fingerprint: Fingerprint,
        target: &TargetId,
        waited: Duration,
    );

    /// Takes the load that a target reports with an answer.
    fn reported(&self, target: &TargetId, load: <Self::Dialect as Dialect>::Load);

    /// Takes the refusal of ownership by a server.
    fn disowned(&self, call: &Call, target: &TargetId, ownership: Option<(SlotId, Epoch)>);

    /// Returns when a client best repeats a request that ended with this verdict.
    fn retry_after(&self, call: &Call, verdict: &Verdict) -> Option<Duration>;

    /// Takes the end of a request that was resolved.
    fn finish(&self, call: &Call, fingerprint: Option<Fingerprint>, verdict: &Verdict);

    /// Takes the refusal of a request, resolved or not.
    fn refused(&self, call: Option<&Call>, refusal: &Refusal);
}
