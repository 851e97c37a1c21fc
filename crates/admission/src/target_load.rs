//! A node's estimate of the load of one target.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use wagtailmoor_core::{Instant, TargetId};

use crate::{LoadSample, TargetObservations};

/// Weight of a new service time in the moving average, in percent.
const SERVICE_WEIGHT_PERCENT: u32 = 20;

/// Weight of a new outcome in the moving average of failures, in percent.
const FAILURE_WEIGHT_PERCENT: u32 = 25;

/// Time constant with which the requests of other nodes are assumed to end after a load report.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(600);

/// Time within which a key is likely to get an owner after a target has reported that it does not
/// own the key.
const NOT_OWNER_PERIOD: Duration = Duration::from_millis(400);

/// Least number of rounds that a request may have waited at a target that did not answer it, in the
/// reports to the leader. The queue of a target that does not answer is unknown, and a full queue
/// must not look like a slow target.
const UNANSWERED_ROUNDS_MIN: f64 = 3.0;

/// Half-life of the failure ratio without new outcomes.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Guard that counts a request as running at its target until it is dropped.
#[derive(Debug)]
pub struct RunningGuard {
    count: Rc<Cell<u32>>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// A node's estimate of the load of one target.
#[derive(Debug, Default)]
pub struct TargetLoad {
    running: Rc<Cell<u32>>,
    other_requests: f64,
    reported_at: Instant,
    service_us: Option<f64>,
    /// Responses since the last report to the leader.
    responses: u32,
    /// Sum of their service times.
    service_total_us: u64,
    /// Queue length of the newest load report, until the outcome of its request is known.
    reported_waiting: Option<u32>,
    /// Load reports since the last report to the leader.
    reports: u32,
    /// Sum of the queue lengths in them.
    waiting: u64,
    /// Failures since the last report to the leader.
    failed: u32,
    failure_average: f64,
    failures_updated_at: Instant,
    excluded_until: Instant,
    not_owner_until: Instant,
}

impl TargetLoad {
    /// Counts a request as running until the guard is dropped.
    pub fn start_request(&self) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        RunningGuard { count: Rc::clone(&self.running) }
    }

    /// Records a load report of the target.
    pub fn on_load_report(&mut self, now: Instant, sample: LoadSample) {
        let all = f64::from(sample.running.get()) + f64::from(sample.waiting.get());
        // The request that the report came with still counts as running here, but not at the
        // target.
        let own = f64::from(self.running.get().saturating_sub(1));
        self.other_requests = (all - own).max(0.0);
        self.reported_waiting = Some(sample.waiting.get());
        self.reported_at = now;
    }

    /// Records a successful response and its response time. `slots` is the number of requests that
    /// the target runs in parallel.
    pub fn on_response(&mut self, now: Instant, response_time: Duration, slots: u32) {
        let service_us = response_time.as_micros() as f64 / self.rounds(now, slots);
        if let Some(waiting) = self.reported_waiting.take() {
            self.reports += 1;
            self.waiting += u64::from(waiting);
        }
        self.responses += 1;
        self.service_total_us += service_us as u64;
        self.update_service_time(service_us);
        self.record_outcome(now, 0.0);
    }

    /// Records a request that the target had not answered after `elapsed`. This is a lower bound of
    /// its service time, so it counts only if it exceeds the average.
    pub fn on_unanswered(&mut self, now: Instant, elapsed: Duration, slots: u32) {
        let (elapsed_us, rounds) = (elapsed.as_micros() as f64, self.rounds(now, slots));
        let mean_us = self.service_us.unwrap_or_default();
        let reported_us = elapsed_us / rounds.max(UNANSWERED_ROUNDS_MIN);
        if reported_us > mean_us {
            self.responses += 1;
            self.service_total_us += reported_us as u64;
        }
        if elapsed_us / rounds > mean_us {
            self.update_service_time(elapsed_us / rounds);
        }
    }

    /// Returns the number of rounds in which the target runs the requests that it has now.
    fn rounds(&self, now: Instant, slots: u32) -> f64 {
        (self.request_count(now) / f64::from(slots.max(1))).max(1.0)
    }

    fn update_service_time(&mut self, service_us: f64) {
        let weight = f64::from(SERVICE_WEIGHT_PERCENT) / 100.0;
        let mean_us = self.service_us.unwrap_or(service_us);
        self.service_us = Some(mean_us + weight * (service_us - mean_us));
    }

    /// Returns and resets the counts since the last call, or `None` if there were neither responses
    /// nor failures.
    pub(crate) fn take_observations(&mut self, target: &TargetId) -> Option<TargetObservations> {
        let observations = TargetObservations {
            target: target.clone(),
            responses: std::mem::take(&mut self.responses),
            total_us: std::mem::take(&mut self.service_total_us),
            reports: std::mem::take(&mut self.reports),
            waiting: std::mem::take(&mut self.waiting),
            failed: std::mem::take(&mut self.failed),
        };
        (observations.responses > 0 || observations.failed > 0).then_some(observations)
    }

    /// Records a request that the target refused or lost. A target that refuses requests without
    /// need may also report a queue that does not exist, so the report with the refusal is ignored.
    pub fn on_failure(&mut self, now: Instant) {
        self.reported_waiting = None;
        self.failed += 1;
        self.record_outcome(now, 1.0);
    }

    /// Excludes the target from the choice until an instant.
    pub fn exclude_until(&mut self, until: Instant) {
        self.excluded_until = self.excluded_until.max(until);
    }

    /// Returns whether the target is excluded from the choice.
    pub fn is_excluded(&self, now: Instant) -> bool {
        now < self.excluded_until
    }

    /// Records that the target reported that it does not own a key.
    pub fn on_not_owner(&mut self, now: Instant) {
        self.not_owner_until = now + NOT_OWNER_PERIOD;
    }

    /// Returns whether the target recently reported that it does not own a key.
    pub fn is_not_owner(&self, now: Instant) -> bool {
        now < self.not_owner_until
    }

    /// Returns whether a slot is estimated to be free.
    pub fn has_free_slot(&self, now: Instant, slots: u32) -> bool {
        self.request_count(now) < f64::from(slots)
    }

    /// Returns the estimated number of requests from all nodes at the target, running and queued.
    pub fn request_count(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.reported_at).as_secs_f64();
        let remaining = (-age / REPORT_TIME_CONSTANT.as_secs_f64()).exp();
        f64::from(self.running.get()) + self.other_requests * remaining
    }

    /// Returns the ratio of recent requests that failed.
    pub fn failure_ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.failures_updated_at).as_secs_f64();
        self.failure_average * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the estimated response time of a request that is sent now. `default_service_time` is
    /// assumed for a target without responses.
    pub fn expected_response_time(
        &self,
        now: Instant,
        slots: u32,
        default_service_time: Duration,
    ) -> Duration {
        let service_us = self.service_us.unwrap_or(default_service_time.as_micros() as f64);
        let rounds = ((self.request_count(now) + 1.0) / f64::from(slots.max(1))).max(1.0);
        Duration::from_micros((service_us * rounds) as u64)
    }

    fn record_outcome(&mut self, now: Instant, outcome: f64) {
        let previous = self.failure_ratio(now);
        let weight = f64::from(FAILURE_WEIGHT_PERCENT) / 100.0;
        self.failure_average = previous + weight * (outcome - previous);
        self.failures_updated_at = now;
    }
}
