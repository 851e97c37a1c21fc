//! Interface between the front end and the routing, admission and retry decisions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{
    BackEndId, CustomerId, Epoch, Instant, KeyDigest, KeyHash, Priority, Reason, ReportedDuration,
    ShardKey, SlotId, TargetId, TemplateId, Weight,
};
use wagtailmoor_dispatch::{
    AttemptId, CrashLedger, Fingerprint, Observation, PlanSettings, RetryBudget, Verdict,
};
use wagtailmoor_telemetry::TrafficMeter;

use crate::dialect::Dialect;
use crate::{ConfigBasis, Refusal};

/// Fields of a request head that the gateway decides on.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name in the request, without a port. Empty if the dialect does not route by host.
    pub host: &'a str,
    /// Path without the query string.
    pub path: &'a str,
    /// Digest of the customer key, or `None` if the request carries no key.
    pub digest: Option<KeyDigest>,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<&'a str>,
    /// Request id chosen by the client.
    pub request_id: Option<&'a str>,
    /// Numeric application key that selects the range of a sharded back end.
    pub shard_key: Option<ShardKey>,
    /// Timeout that the client stated.
    pub deadline: Option<ReportedDuration>,
}

/// A request that was matched to a route and may run as soon as the customer has credit.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the first attempt.
    pub id: AttemptId,
    /// Request id chosen by the client.
    pub request_id: Option<Arc<str>>,
    /// When the request head was received.
    pub received_at: Instant,
    /// The configuration by which the request was matched to a route.
    pub config: ConfigBasis,
    /// When the client times out.
    pub deadline: Instant,
    /// Customer, or `None` for an anonymous request on a route that allows it.
    pub customer: Option<CustomerId>,
    /// Weight of the customer in fair queueing.
    pub weight: Weight,
    /// Priority of the request: that of its customer or else that of its route.
    pub priority: Priority,
    /// Template of the route.
    pub template: TemplateId,
    /// Back end of the route.
    pub back_end: BackEndId,
    /// Hash of the application key, on back ends whose keys have owners.
    pub key: Option<KeyHash>,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether the response is expected to be large.
    pub bulk: bool,
    /// Whether the body is forwarded as it arrives and is not kept for another attempt.
    pub streamed: bool,
    /// Value of `Idempotency-Key`, if an attempt record must be claimed before the request is sent.
    pub record_key: Option<Rc<str>>,
    /// Numeric application key, on back ends that are divided into key ranges.
    pub shard_key: Option<ShardKey>,
    /// Whether each attempt opens a new connection, so that a late response to an earlier request
    /// cannot be taken for the response to this one.
    pub fresh_connection: bool,
    /// Settings for attempts, retries and hedges.
    pub plan: PlanSettings,
    /// Delay before an idempotent request is hedged, or `None` if it is not hedged.
    pub hedge_after: Option<Duration>,
}

impl Call {
    /// Returns the fingerprint of a request.
    ///
    /// `body` is the part of the body that was read so far.
    ///
    /// # Errors
    ///
    /// Requests with this fingerprint crash targets according to `ledger`.
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

/// The target assigned to an attempt.
#[derive(Debug)]
pub struct AssignedTarget<G> {
    /// The target.
    pub target: TargetId,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Counts the attempt as running on the target until dropped.
    pub guard: G,
    /// Slot and epoch under which the target owns the key.
    pub ownership: Option<(SlotId, Epoch)>,
    /// The request may only be sent before this instant.
    pub send_before: Option<Instant>,
}

/// Decides how each request is handled. All methods are called on the front end's thread.
pub trait Gateway {
    /// Whether a request is admitted before its body is read. If not, a client that sends its body
    /// slowly holds no credit meanwhile.
    const ADMITS_BEFORE_BODY: bool = false;

    /// Translation of HTTP header fields.
    type Dialect: Dialect;
    /// Credit for one request; returned on drop unless it was spent.
    type Credit;
    /// Counts an attempt as running on its target until dropped.
    type Guard;
    /// Permit for one open connection to a target; released on drop.
    type ConnectionPermit;
    /// Budget for retries and hedges.
    type Budget: RetryBudget;

    /// Returns the dialect used with clients and targets.
    fn dialect(&self) -> &Self::Dialect;

    /// Returns the current time of the clock that deadlines refer to.
    fn now(&self) -> Instant;

    /// Authenticates a request and matches it to a route, once the data to decide by are current.
    ///
    /// # Errors
    ///
    /// The refusal to send to the client.
    fn resolve(&self, head: &RequestHead<'_>) -> impl Future<Output = Result<Call, Refusal>>;

    /// Returns the fingerprint of a request.
    ///
    /// # Errors
    ///
    /// Requests with this fingerprint crash targets.
    fn check_fingerprint(
        &self,
        call: &Call,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Fingerprint, Refusal>;

    /// Returns whether requests with this fingerprint are currently known to crash targets.
    fn crashes_targets(&self, fingerprint: Fingerprint) -> bool;

    /// Waits until the customer has credit for the request.
    fn admit(&self, call: &Call) -> impl Future<Output = Result<Self::Credit, Refusal>>;

    /// Spends a credit when the request is sent.
    fn spend(&self, credit: Self::Credit);

    /// Claims the attempt record of a non-idempotent request, so that it is not executed twice.
    fn claim_record(&self, call: &Call) -> impl Future<Output = Result<(), Refusal>>;

    /// Waits in the queue of the back end for a target that is not in `tried`.
    fn assign(
        &self,
        call: &Call,
        tried: &[TargetId],
    ) -> impl Future<Output = Result<AssignedTarget<Self::Guard>, Reason>>;

    /// Waits for a permit to open a connection to a target; `None` once the deadline has passed.
    fn connection_permit(
        &self,
        call: &Call,
        target: &TargetId,
    ) -> impl Future<Output = Option<Self::ConnectionPermit>>;

    /// Returns the meter that counts the bytes of a new connection to a target.
    fn traffic_meter(&self, _call: &Call, _target: &TargetId) -> TrafficMeter {
        TrafficMeter::default()
    }

    /// Returns the budget that the retries and hedges of a request draw on.
    fn budget(&self, call: &Call) -> Self::Budget;

    /// Records the result of an attempt for load balancing.
    fn observe(&self, call: &Call, target: &TargetId, observation: &Observation);

    /// Called when the connection to a target was lost while a request was sent or running on it.
    fn on_connection_lost(
        &self,
        call: &Call,
        fingerprint: Fingerprint,
        target: &TargetId,
        assigned_at: Instant,
    );

    /// Called when an attempt is cancelled that its target had not answered within `elapsed`.
    fn on_unanswered(
        &self,
        call: &Call,
        fingerprint: Fingerprint,
        target: &TargetId,
        elapsed: Duration,
    );

    /// Called when a target answered an attempt, with the status of the answer.
    fn on_answered(&self, _call: &Call, _target: &TargetId, _elapsed: Duration, _status: u16) {}

    /// Called with the load report in a target's response.
    fn on_load_report(&self, target: &TargetId, load: <Self::Dialect as Dialect>::Load);

    /// Called when a target refused an attempt because it does not own the key.
    fn on_not_owner(&self, call: &Call, target: &TargetId, ownership: Option<(SlotId, Epoch)>);

    /// Returns the retry delay to state to the client of a request that ended with this verdict.
    fn retry_after(&self, call: &Call, verdict: &Verdict) -> Option<Duration>;

    /// Called once when a request that was admitted has ended.
    fn on_finished(&self, call: &Call, fingerprint: Option<Fingerprint>, verdict: &Verdict);

    /// Called when a request is refused before its first attempt; `call` is `None` if it was not
    /// resolved.
    fn on_refused(&self, call: Option<&Call>, refusal: &Refusal);
}
