//! Speed and queue length of targets, as observed by all nodes.

use std::time::Duration;

use wagtailmoor_core::{Instant, SortedVec, TargetId};
use wagtailmoor_derive::value;
use wagtailmoor_ranges::TargetCapacity;
use wagtailmoor_site::Target;

/// Time constant of the average service time. Differences between targets are permanent, while
/// other load on the host slows a target for fractions of a second, which must not move keys.
const SERVICE_TIME_CONSTANT: Duration = Duration::from_secs(8);

/// Time constant of the recent service time, which shows a target that has turned slow.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Minimum weight of the responses in the recent service time.
const RECENT_RESPONSES_MIN: f64 = 2.0;

/// A target whose recent service time exceeds its average by this factor has turned slow. Other
/// load on the host slows a target by less, and for fractions of a second.
const SLOWED_RATIO: f64 = 3.5;

/// Responses count in the average of a target with at most this multiple of it, so that the average
/// remains that of the usual speed until the recent service time shows that the target is slow.
const OUTLIER_RATIO: f64 = 4.0;

/// Minimum relative speed of a target that has turned slow.
const SLOWED_SPEED_MIN: f64 = 0.05;

/// Weight of the mean service time in the average of a target, in responses, so that a few
/// responses change its speed only a little.
const PRIOR_RESPONSES: f64 = 6.0;

/// Minimum weight of recent reports for an estimate of the queue.
const REPORTS_MIN: f64 = 0.2;

/// Fraction of a latency objective that a request may take at its target. The rest is for the
/// network and the nodes.
const OBJECTIVE_RATIO: f64 = 0.7;

/// Requests sent to a target as a multiple of its estimated rate. An estimate that is too low
/// leaves slots idle, while one that is too high shows in the queue length.
const SPEED_HEADROOM: f64 = 1.05;

/// Minimum queue of a target in multiples of its slots, even if the service time uses up the whole
/// objective.
const QUEUE_PER_SLOT_MIN: f64 = 0.25;

/// Lower bound on the estimated ratio of requests that a target accepts.
const ACCEPTED_RATIO_MIN: f64 = 0.2;

/// Minimum and maximum relative speed.
const SPEED_RANGE: (f64, f64) = (0.4, 2.0);

/// Time constant of the average queue length, which changes within a second.
const QUEUE_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Interval at which targets without recent responses are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Observations of a target by one node since its last report.
#[value]
pub struct TargetObservations {
    /// Observed target.
    pub target: TargetId,
    /// Responses without refusals and losses.
    pub responses: u32,
    /// Sum of their service times, without time in the queue of the target. Requests that the
    /// target did not answer in time count with a lower bound.
    pub total_us: u64,
    /// Load reports that came with these responses.
    pub reports: u32,
    /// Sum of the queue lengths in these reports.
    pub waiting: u64,
    /// Requests that the target refused or lost.
    pub failed: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Averages {
    responses: f64,
    total_us: f64,
    recent_responses: f64,
    recent_total_us: f64,
    reports: f64,
    waiting: f64,
    failed: f64,
    updated: Instant,
}

impl Averages {
    fn at(self, now: Instant) -> Self {
        let age = now.saturating_since(self.updated).as_secs_f64();
        let remaining = (-age / SERVICE_TIME_CONSTANT.as_secs_f64()).exp();
        let recent_remaining = (-age / RECENT_TIME_CONSTANT.as_secs_f64()).exp();
        let queue_remaining = (-age / QUEUE_TIME_CONSTANT.as_secs_f64()).exp();
        Self {
            responses: self.responses * remaining,
            total_us: self.total_us * remaining,
            recent_responses: self.recent_responses * recent_remaining,
            recent_total_us: self.recent_total_us * recent_remaining,
            reports: self.reports * queue_remaining,
            waiting: self.waiting * queue_remaining,
            failed: self.failed * queue_remaining,
            updated: now,
        }
    }

    /// Returns the average service time in microseconds, or `None` with too few responses.
    fn average_us(self) -> Option<f64> {
        (self.responses >= PRIOR_RESPONSES).then(|| self.total_us / self.responses)
    }

    /// Returns the recent service time in microseconds if the target has turned slow.
    fn slowed_us(self) -> Option<f64> {
        let average_us = self.average_us()?;
        let recent_us = self.recent_total_us / self.recent_responses;
        let is_slow = recent_us > SLOWED_RATIO * average_us;
        (is_slow && self.recent_responses >= RECENT_RESPONSES_MIN).then_some(recent_us)
    }

    /// Returns the service time up to which a response counts in the average, in microseconds.
    fn outlier_us(self) -> f64 {
        self.average_us().map_or(f64::INFINITY, |average_us| OUTLIER_RATIO * average_us)
    }

    /// Returns the average queue length in recent reports.
    fn mean_queue(self) -> f64 {
        match self.reports > REPORTS_MIN {
            true => self.waiting / self.reports,
            false => 0.0,
        }
    }

    /// Returns the ratio of recent requests that the target accepted.
    fn accepted_ratio(self) -> f64 {
        let all = self.reports + self.failed;
        match all > REPORTS_MIN {
            true => (self.reports / all).max(ACCEPTED_RATIO_MIN),
            false => 1.0,
        }
    }
}

/// Speed and queue length of targets, as observed by all nodes.
#[derive(Debug, Default)]
pub struct TargetSpeeds {
    averages: SortedVec<TargetId, Averages>,
    pruned_at: Instant,
}

impl TargetSpeeds {
    /// Adds the observations of a node.
    pub fn add_observations(&mut self, now: Instant, observations: &[TargetObservations]) {
        for TargetObservations { target, responses, total_us, reports, waiting, failed } in
            observations
        {
            let averages = self.averages.get_or_insert_with(target.clone(), Averages::default);
            *averages = averages.at(now);
            averages.recent_responses += f64::from(*responses);
            averages.recent_total_us += *total_us as f64;
            if averages.slowed_us().is_none() {
                let outlier_us = averages.outlier_us() * f64::from(*responses);
                averages.responses += f64::from(*responses);
                averages.total_us += (*total_us as f64).min(outlier_us);
            }
            averages.reports += f64::from(*reports);
            averages.waiting += *waiting as f64;
            averages.failed += f64::from(*failed);
        }
        if now >= self.pruned_at + PRUNE_INTERVAL {
            self.averages.retain(|_, averages| averages.at(now).responses > 0.05);
            self.pruned_at = now;
        }
    }

    /// Returns the average service time of a set of targets, or `None` without recent responses.
    pub fn mean_service_time<'t>(
        &self,
        now: Instant,
        all: impl Iterator<Item = &'t TargetId>,
    ) -> Option<Duration> {
        let averages =
            all.filter_map(|target| self.averages.get(target)).map(|averages| averages.at(now));
        let (responses, total_us) = averages.fold((0.0, 0.0), |(responses, total_us), averages| {
            (responses + averages.responses, total_us + averages.total_us)
        });
        (responses > 0.0).then(|| Duration::from_micros((total_us / responses) as u64))
    }

    /// Returns the speed of a target relative to its back end, whose average service time is
    /// `mean`.
    pub fn relative_speed(&self, now: Instant, target: &TargetId, mean: Duration) -> f64 {
        let Some(own) = self.averages.get(target).map(|own| own.at(now)) else { return 1.0 };
        let mean_us = mean.as_micros() as f64;
        if let Some(slowed_us) = own.slowed_us() {
            return (mean_us / slowed_us).clamp(SLOWED_SPEED_MIN, SPEED_RANGE.1);
        }
        let own_us = (own.total_us + PRIOR_RESPONSES * mean_us) / (own.responses + PRIOR_RESPONSES);
        (mean_us / own_us).clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    }

    /// Returns the average queue length of a target in recent load reports.
    pub fn mean_queue(&self, now: Instant, target: &TargetId) -> f64 {
        self.averages.get(target).map_or(0.0, |averages| averages.at(now).mean_queue())
    }

    /// Returns the capacity of a target for requests that must be answered within `objective`.
    /// `mean` is the average service time of its back end.
    pub fn capacity(
        &self,
        now: Instant,
        target: &Target,
        mean: Duration,
        objective: Duration,
    ) -> TargetCapacity {
        let slots = f64::from(target.slots.get().max(1));
        let service = mean.div_f64(self.relative_speed(now, &target.target, mean));
        let service_s = service.as_secs_f64().max(1e-6);
        let rounds = objective.as_secs_f64() * OBJECTIVE_RATIO / service_s;
        let queue_max = slots * (rounds - 1.0).max(QUEUE_PER_SLOT_MIN);
        let averages =
            self.averages.get(&target.target).map(|averages| averages.at(now)).unwrap_or_default();
        let waiting = averages.mean_queue();
        // Without a queue, refusals are no sign of overload, and refused requests take no slot.
        let queue_fill = (waiting / queue_max).min(1.0);
        let accepted = averages.accepted_ratio();
        let sent_per_run = 1.0 / (accepted + (1.0 - accepted) * queue_fill);
        TargetCapacity {
            rate_per_s: slots / service_s * sent_per_run * SPEED_HEADROOM,
            queue_space: queue_max - waiting,
        }
    }
}
