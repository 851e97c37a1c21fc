//! How fast targets are and how many requests wait at them, as all nodes see it.

use std::time::Duration;

use wagtailmoor_core::{Instant, SortedVec, TargetId};
use wagtailmoor_derive::value;
use wagtailmoor_ranges::Room;
use wagtailmoor_site::Target;

/// Time constant with which answers are forgotten. Targets differ for good, and neighbours slow
/// them for fractions of a second, which is not to move keys.
const TIME_CONSTANT: Duration = Duration::from_secs(8);

/// Answers of usual speed that are added to those seen, so that few answers change little.
const PRIOR_ANSWERS: f64 = 6.0;

/// Recent reports below which nothing is known of a queue.
const REPORTS_MIN: f64 = 0.2;

/// Part of a latency objective that a request may take at its target. The rest is for the way there
/// and back.
const OBJECTIVE_USED: f64 = 0.7;

/// Requests sent to a target as a multiple of what it seems to run. An estimate that is too low
/// leaves slots idle; one that is too high shows in the queue.
const SPEED_HEADROOM: f64 = 1.05;

/// Rounds of work that may wait at a target even if one round takes the whole objective.
const QUEUE_ROUNDS_MIN: f64 = 0.25;

/// Least share of requests that a target is taken to run.
const TAKEN_SHARE_MIN: f64 = 0.2;

/// Bounds of a relative speed.
const SPEED_RANGE: (f64, f64) = (0.4, 2.0);

/// Time constant with which the queue of a target is averaged; it changes within a second.
const QUEUE_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// What a node saw of a target since its last report.
#[value]
pub struct ServiceTime {
    /// The target.
    pub target: TargetId,
    /// Requests that it answered.
    pub answers: u32,
    /// Time that they took, without waiting behind others.
    pub total_us: u64,
    /// Load reports of the target.
    pub reports: u32,
    /// Requests that waited at it by these reports, summed.
    pub waiting: u64,
    /// Requests that it refused or lost.
    pub refused: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    answers: f64,
    total_us: f64,
    reports: f64,
    waiting: f64,
    refused: f64,
    updated: Instant,
}

impl Seen {
    fn at(self, now: Instant) -> Self {
        let age = now.saturating_since(self.updated).as_secs_f64();
        let left = (-age / TIME_CONSTANT.as_secs_f64()).exp();
        let queue_left = (-age / QUEUE_TIME_CONSTANT.as_secs_f64()).exp();
        Self {
            answers: self.answers * left,
            total_us: self.total_us * left,
            reports: self.reports * queue_left,
            waiting: self.waiting * queue_left,
            refused: self.refused * queue_left,
            updated: now,
        }
    }

    /// Returns how many requests wait at the target, as far as its recent answers tell.
    fn waiting_mean(self) -> f64 {
        match self.reports > REPORTS_MIN {
            true => self.waiting / self.reports,
            false => 0.0,
        }
    }

    /// Returns the share of recent requests that the target did not refuse.
    fn taken_share(self) -> f64 {
        let all = self.reports + self.refused;
        match all > REPORTS_MIN {
            true => (self.reports / all).max(TAKEN_SHARE_MIN),
            false => 1.0,
        }
    }
}

/// How fast targets are and how many requests wait at them, as all nodes see it.
#[derive(Debug, Default)]
pub struct TargetSpeeds {
    seen: SortedVec<TargetId, Seen>,
}

impl TargetSpeeds {
    /// Takes what a node saw.
    pub fn report(&mut self, now: Instant, service: &[ServiceTime]) {
        for ServiceTime { target, answers, total_us, reports, waiting, refused } in service {
            let seen = self.seen.get_or_insert_with(target.clone(), Seen::default);
            *seen = seen.at(now);
            seen.answers += f64::from(*answers);
            seen.total_us += *total_us as f64;
            seen.reports += f64::from(*reports);
            seen.waiting += *waiting as f64;
            seen.refused += f64::from(*refused);
        }
        self.seen.retain(|_, seen| seen.at(now).answers > 0.05);
    }

    /// Returns how long targets of a back end usually take for a request.
    pub fn usual<'t>(
        &self,
        now: Instant,
        all: impl Iterator<Item = &'t TargetId>,
    ) -> Option<Duration> {
        let seen = all.filter_map(|target| self.seen.get(target)).map(|seen| seen.at(now));
        let (answers, total_us) = seen.fold((0.0, 0.0), |(answers, total_us), seen| {
            (answers + seen.answers, total_us + seen.total_us)
        });
        (answers > 0.0).then(|| Duration::from_micros((total_us / answers) as u64))
    }

    /// Returns how fast a target is, given how long those of its back end usually take.
    pub fn relative(&self, now: Instant, target: &TargetId, usual: Duration) -> f64 {
        let Some(own) = self.seen.get(target).map(|seen| seen.at(now)) else { return 1.0 };
        let usual_us = usual.as_micros() as f64;
        let own_us = (own.total_us + PRIOR_ANSWERS * usual_us) / (own.answers + PRIOR_ANSWERS);
        (usual_us / own_us).clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    }

    /// Returns what a target can take, given how long those of its back end usually take and within
    /// which time an answer is wanted.
    pub fn room(
        &self,
        now: Instant,
        target: &Target,
        usual: Duration,
        objective: Duration,
    ) -> Room {
        let slots = f64::from(target.slots.get().max(1));
        let service = usual.div_f64(self.relative(now, &target.target, usual));
        let service_s = service.as_secs_f64().max(1e-6);
        let rounds = objective.as_secs_f64() * OBJECTIVE_USED / service_s;
        let queue_max = slots * (rounds - 1.0).max(QUEUE_ROUNDS_MIN);
        let seen = self.seen.get(&target.target).map(|seen| seen.at(now)).unwrap_or_default();
        let waiting = seen.waiting_mean();
        // Without a queue refusals are no sign of overload, and what is refused takes no slot.
        let filled = (waiting / queue_max).min(1.0);
        let taken = seen.taken_share();
        let sent_by_run = 1.0 / (taken + (1.0 - taken) * filled);
        Room {
            rate_per_s: slots / service_s * sent_by_run * SPEED_HEADROOM,
            queue: queue_max - waiting,
        }
    }
}
