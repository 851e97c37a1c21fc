//! What a node knows about the load of one target.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use wagtailmoor_core::{Instant, TargetId};

use crate::{LoadSample, ServiceTime};

/// Weight of a new latency in the average, in percent.
const LATENCY_WEIGHT_PERCENT: u32 = 20;

/// Weight of a new outcome in the share of failures, in percent.
const FAILURE_WEIGHT_PERCENT: u32 = 25;

/// Time after which the requests of other nodes in a report are likely done.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(600);

/// Time within which a key that its owner disowned is likely to move.
const DISOWNED_FOR: Duration = Duration::from_millis(400);

/// Time after which a failure is half forgotten without new evidence.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Counts a request at its target until it is dropped.
#[derive(Debug)]
pub struct Running {
    count: Rc<Cell<u32>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// What a node knows about the load of one target.
#[derive(Debug, Default)]
pub struct TargetLoad {
    running: Rc<Cell<u32>>,
    others: f64,
    reported: Instant,
    service_us: Option<f64>,
    /// Answers since they were last taken, and the time that they took.
    answers: u32,
    answers_us: u64,
    /// Requests that wait by the newest report, until it is known what it came with.
    reported_waiting: Option<u32>,
    /// Load reports since they were last taken, and the requests that waited by them.
    reports: u32,
    waiting: u64,
    /// Failures since they were last taken.
    refused: u32,
    failures: f64,
    failures_at: Instant,
    avoid_until: Instant,
    disowned_until: Instant,
}

impl TargetLoad {
    /// Counts a request until the guard is dropped.
    pub fn enter(&self) -> Running {
        self.running.set(self.running.get() + 1);
        Running { count: Rc::clone(&self.running) }
    }

    /// Takes a load report.
    pub fn report(&mut self, now: Instant, sample: LoadSample) {
        let all = f64::from(sample.running.get()) + f64::from(sample.waiting.get());
        // The answered request still counts here and no longer does there.
        let own = f64::from(self.running.get().saturating_sub(1));
        self.others = (all - own).max(0.0);
        self.reported_waiting = Some(sample.waiting.get());
        self.reported = now;
    }

    /// Takes the time of an answer.
    pub fn answered(&mut self, now: Instant, waited: Duration, slots: u32) {
        let ahead = self.jobs(now) / f64::from(slots.max(1));
        let service_us = waited.as_micros() as f64 / ahead.max(1.0);
        if let Some(waiting) = self.reported_waiting.take() {
            self.reports += 1;
            self.waiting += u64::from(waiting);
        }
        self.answers += 1;
        self.answers_us += service_us as u64;
        let weight = f64::from(LATENCY_WEIGHT_PERCENT) / 100.0;
        let mean_us = self.service_us.unwrap_or(service_us);
        self.service_us = Some(mean_us + weight * (service_us - mean_us));
        self.note(now, 0.0);
    }

    /// Returns and clears what was seen since the last call, if anything.
    pub(crate) fn take_service(&mut self, target: &TargetId) -> Option<ServiceTime> {
        let seen = ServiceTime {
            target: target.clone(),
            answers: std::mem::take(&mut self.answers),
            total_us: std::mem::take(&mut self.answers_us),
            reports: std::mem::take(&mut self.reports),
            waiting: std::mem::take(&mut self.waiting),
            refused: std::mem::take(&mut self.refused),
        };
        (seen.answers > 0 || seen.refused > 0).then_some(seen)
    }

    /// Takes a request that the target refused or lost. A target that refuses without need may also
    /// report a queue that it does not have, so that report is not counted.
    pub fn failed(&mut self, now: Instant) {
        self.reported_waiting = None;
        self.refused += 1;
        self.note(now, 1.0);
    }

    /// Keeps further requests from the target for a while.
    pub fn avoid(&mut self, until: Instant) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Returns whether the target is to be avoided at present.
    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoid_until
    }

    /// Takes that the target said that it does not own a key.
    pub fn disowned(&mut self, now: Instant) {
        self.disowned_until = now + DISOWNED_FOR;
    }

    /// Returns whether the target said just now that it does not own a key.
    pub fn is_disowned(&self, now: Instant) -> bool {
        now < self.disowned_until
    }

    /// Returns whether a request can run at once, as far as this node can tell.
    pub fn has_room(&self, now: Instant, slots: u32) -> bool {
        self.jobs(now) < f64::from(slots)
    }

    /// Returns the requests of all nodes at the target, as far as this node can tell.
    pub fn jobs(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.reported).as_secs_f64();
        let left = (-age / REPORT_TIME_CONSTANT.as_secs_f64()).exp();
        f64::from(self.running.get()) + self.others * left
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.failures_at).as_secs_f64();
        self.failures * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns how long a request that is sent now is likely to take.
    pub fn expected(&self, now: Instant, slots: u32, usual: Duration) -> Duration {
        let service_us = self.service_us.unwrap_or(usual.as_micros() as f64);
        let rounds = ((self.jobs(now) + 1.0) / f64::from(slots.max(1))).max(1.0);
        Duration::from_micros((service_us * rounds) as u64)
    }

    fn note(&mut self, now: Instant, outcome: f64) {
        let before = self.failure_share(now);
        let weight = f64::from(FAILURE_WEIGHT_PERCENT) / 100.0;
        self.failures = before + weight * (outcome - before);
        self.failures_at = now;
    }
}
