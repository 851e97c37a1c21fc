//! State of one back end.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use wagtailmoor_configuration::{BackEndKind, BackEndTemplate, GrantCheck, RefusalTrust};
use wagtailmoor_core::{
    Instant, KeyHash, PartsPerMillion, Reason, Requests, SlotId, SortedVec, TargetId, ZoneId,
};
use wagtailmoor_dispatch::{
    BodyTimeout, LatencyQuantile, PlanSettings, TargetSettings, TargetTable,
};
use wagtailmoor_limits::{
    FairQueue, PermitLimit, QueueLimits, ResourceKind, RetryBudget, SlowStartSettings,
};
use wagtailmoor_ownership::{BackEndSettings, Fencing, HeatSketch};

use crate::waiter::Waiter;

/// Retries and hedges are limited to this share of the first attempts.
const RETRY_SHARE: PartsPerMillion = PartsPerMillion::new(100_000);

/// Maximum attempts of one request, including the first and hedges.
const ATTEMPTS_MAX: u8 = 3;

/// Maximum wait before the permits of a lost holder are reissued, and before a new issuer issues
/// any. The requests of a holder that crashed have ended, because its connections are closed. If a
/// holder is only partitioned from the issuer and runs a longer request, the target has to queue.
const LOST_HOLDER_WAIT_MAX: Duration = Duration::from_secs(2);

/// Number of slots into which the keys of a keyed back end are hashed.
pub(crate) const SLOTS: u32 = 4_096;

/// A retry budget shared by the requests of one back end.
#[derive(Clone, Debug)]
pub(crate) struct SharedRetryBudget(Rc<RefCell<RetryBudget>>);

impl Default for SharedRetryBudget {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(RetryBudget::new(RETRY_SHARE))))
    }
}

impl wagtailmoor_dispatch::RetryBudget for SharedRetryBudget {
    fn earn(&mut self, now: Instant) {
        self.0.borrow_mut().record_first(now);
    }

    fn spend(&mut self, now: Instant) -> bool {
        self.0.borrow_mut().take(now)
    }
}

/// Targets, queues, latency and load of one back end.
#[derive(Debug)]
pub(crate) struct BackEnd {
    pub(crate) template: BackEndTemplate,
    pub(crate) targets: TargetTable,
    /// Requests that wait for any target of a pooled back end.
    pub(crate) queue: FairQueue<Waiter>,
    /// Requests that wait for the owner of their key, by owner.
    pub(crate) owner_queues: SortedVec<TargetId, FairQueue<Waiter>>,
    pub(crate) latency: LatencyQuantile,
    pub(crate) budget: SharedRetryBudget,
    pub(crate) heat: HeatSketch,
    pub(crate) slot_load: SortedVec<SlotId, u32>,
}

impl BackEnd {
    pub(crate) fn new(zone: &ZoneId, template: &BackEndTemplate, limits: &QueueLimits) -> Self {
        Self {
            targets: TargetTable::new(zone.clone(), target_settings(template)),
            queue: FairQueue::new(limits.clone()),
            owner_queues: SortedVec::new(),
            latency: LatencyQuantile::new(),
            budget: SharedRetryBudget::default(),
            heat: HeatSketch::new(),
            slot_load: SortedVec::new(),
            template: template.clone(),
        }
    }

    pub(crate) fn is_keyed(&self) -> bool {
        self.template.kind == BackEndKind::Keyed
    }

    /// Returns the expected duration of a request. A queued request with less time left is dropped.
    pub(crate) fn expected_duration(&self) -> Duration {
        self.latency.p95().unwrap_or_default() / 2
    }

    pub(crate) fn plan_settings(&self) -> PlanSettings {
        let body_timeout = match self.template.body_pause_max_ms {
            Some(pause_ms) => BodyTimeout::Stall(Duration::from_millis(pause_ms)),
            None => BodyTimeout::Deadline,
        };
        let unreachable = match self.is_keyed() {
            true => Reason::OwnerUnreachable,
            false => Reason::TargetUnavailable,
        };
        PlanSettings {
            attempts_max: ATTEMPTS_MAX,
            trusts_refusals: self.template.refusals == RefusalTrust::Trusted,
            trusts_misdirected: self.is_keyed() && self.template.grants == GrantCheck::Checked,
            body_timeout,
            unreachable,
            ..PlanSettings::default()
        }
    }

    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        match self.template.hedge && !self.is_keyed() {
            true => self.latency.p95(),
            false => None,
        }
    }

    pub(crate) fn record_heat(&mut self, key: KeyHash) {
        self.heat.record(key);
        *self.slot_load.get_or_insert_with(key.slot(SLOTS), || 0) += 1;
    }

    pub(crate) fn permit_limit(&self, kind: ResourceKind) -> PermitLimit {
        let template = &self.template;
        let request_max = template.request_max().min(LOST_HOLDER_WAIT_MAX);
        let slow_start = SlowStartSettings {
            concurrency: template.cold.concurrency,
            step: Duration::from_millis(template.cold.step_ms),
        };
        match kind {
            ResourceKind::Slots => PermitLimit {
                full: template.in_flight_limit(),
                slow_start: Some(slow_start),
                request_max,
            },
            ResourceKind::Connections => {
                PermitLimit { full: template.connections_max, slow_start: None, request_max }
            }
        }
    }

    pub(crate) fn ownership_settings(&self) -> BackEndSettings {
        let fencing = match self.template.grants {
            GrantCheck::Checked => Fencing::Grants,
            GrantCheck::Unchecked => Fencing::Unchecked,
        };
        BackEndSettings {
            request_max_ms: self.template.request_max_ms,
            target_capacity: self.template.server_capacity_per_s,
            ..BackEndSettings::new(self.template.back_end.clone(), fencing)
        }
    }
}

fn target_settings(template: &BackEndTemplate) -> TargetSettings {
    TargetSettings {
        cold_concurrency: Requests::new(template.cold.concurrency),
        cold_step: Duration::from_millis(template.cold.step_ms),
        ..TargetSettings::default()
    }
}
