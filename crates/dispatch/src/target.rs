//! State of one target as known to this node.

use std::cell::Cell;
use std::rc::Rc;

use wagtailmoor_core::{Instant, Requests};

use crate::slow_start::{ColdCause, SlowStart};
use crate::target_latency::TargetLatency;
use crate::{LoadReport, Member, MemberState, Observation, ReportedState, TargetSettings};

/// Minimum ratio of cold to warm latency at which a restart can be detected from latency alone.
const COLD_LATENCY_FACTOR: u64 = 2;

/// State of one target as known to this node.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) member: Member,
    pub(crate) in_flight: Rc<Cell<u32>>,
    pub(crate) latency: TargetLatency,
    pub(crate) last_probe: Instant,
    slow_start: Option<SlowStart>,
    last_report: Option<(LoadReport, Instant)>,
    cold_latency_us: Option<u64>,
    warm_since: Instant,
    retry_at: Instant,
    consecutive_failures: u32,
}

impl Target {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            in_flight: Rc::default(),
            latency: TargetLatency::default(),
            last_probe: Instant::default(),
            slow_start: None,
            last_report: None,
            cold_latency_us: None,
            warm_since: Instant::default(),
            retry_at: Instant::default(),
            consecutive_failures: 0,
        }
    }

    /// Returns whether the target may receive a new request now.
    pub(crate) fn is_open(&self, now: Instant, settings: &TargetSettings) -> bool {
        let draining = self
            .fresh_report(now, settings)
            .is_some_and(|report| report.state == ReportedState::Draining);
        self.member.state == MemberState::Live
            && !draining
            && self.retry_at <= now
            && self.in_flight.get() < self.limit()
    }

    /// Returns the maximum number of requests that this node may have in flight at the target.
    pub(crate) fn limit(&self) -> u32 {
        self.slow_start.as_ref().map_or(u32::MAX, SlowStart::limit)
    }

    pub(crate) fn cold_cause(&self) -> Option<ColdCause> {
        self.slow_start.as_ref().map(|slow_start| slow_start.cause)
    }

    pub(crate) fn has_room(&self) -> bool {
        self.in_flight.get() < self.member.slots.get().max(1)
    }

    /// Returns the load in the last report, which is used only to break ties.
    pub(crate) fn reported_load(&self, now: Instant, settings: &TargetSettings) -> u32 {
        let load = |report: &LoadReport| report.running.get().saturating_add(report.queued.get());
        self.fresh_report(now, settings).map_or(0, load)
    }

    fn fresh_report(&self, now: Instant, settings: &TargetSettings) -> Option<&LoadReport> {
        let (report, measured_at) = self.last_report.as_ref()?;
        (now.saturating_since(*measured_at) < settings.report_age_max).then_some(report)
    }

    /// Starts slow start, or restarts it.
    pub(crate) fn mark_cold(&mut self, now: Instant, cause: ColdCause, limit: Requests) {
        self.slow_start = Some(SlowStart::start(now, cause, limit));
        self.latency.reset();
    }

    /// Handles a load report. A report older than the last one is ignored.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        report: LoadReport,
        settings: &TargetSettings,
    ) {
        let measured_at = now - report.age;
        match &self.last_report {
            Some((_, previous)) if *previous > measured_at => return,
            _ => {}
        }
        let cold_since = self.slow_start.as_ref().map(|slow_start| slow_start.since);
        match (report.state, cold_since) {
            // A report measured before this node found the target to be warm is outdated.
            (ReportedState::Cold, None) if measured_at >= self.warm_since => {
                self.mark_cold(now, ColdCause::Reported, settings.cold_concurrency);
            }
            (ReportedState::Cold, Some(since)) if measured_at >= since => self.restart_step(now),
            _ => {}
        }
        self.last_report = Some((report, measured_at));
    }

    /// Handles an observation that this node made.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        observation: &Observation,
        settings: &TargetSettings,
    ) {
        match observation {
            Observation::Answered { elapsed, cold } => {
                self.latency.reset_silence(now);
                self.latency.add(now, *elapsed, settings.peak_decay);
                self.consecutive_failures = 0;
                match cold {
                    true => self.on_cold_response(now, settings),
                    false => self.on_warm_response(now, settings),
                }
            }
            Observation::Refused { retry_after } => {
                self.latency.reset_silence(now);
                self.restart_step(now);
                let backoff = retry_after.unwrap_or_default().get().min(settings.backoff_max);
                self.retry_at = self.retry_at.max(now + backoff);
            }
            Observation::Misdirected => {
                self.latency.reset_silence(now);
                self.restart_step(now);
            }
            Observation::ConnectFailed => self.increase_backoff(now, settings),
            Observation::ConnectionLost { assigned_at, request_blamed } => {
                self.on_connection_lost(now, *assigned_at, *request_blamed, settings);
            }
            Observation::Cancelled { elapsed } => {
                self.latency.add_lower_bound(now, *elapsed, settings.peak_decay);
            }
        }
    }

    /// Handles a lost connection. A request assigned before slow start began was lost in the same
    /// restart, so its loss does not restart slow start.
    fn on_connection_lost(
        &mut self,
        now: Instant,
        assigned_at: Instant,
        request_blamed: bool,
        settings: &TargetSettings,
    ) {
        match &self.slow_start {
            Some(slow_start) if assigned_at <= slow_start.since => return,
            _ => self.mark_cold(now, ColdCause::Reset, settings.cold_concurrency),
        }
        if !request_blamed {
            self.increase_backoff(now, settings);
        }
    }

    fn increase_backoff(&mut self, now: Instant, settings: &TargetSettings) {
        let backoff =
            settings.loss_backoff * 2u32.saturating_pow(self.consecutive_failures.min(16));
        self.consecutive_failures += 1;
        self.retry_at = self.retry_at.max(now + backoff.min(settings.backoff_max));
    }

    fn restart_step(&mut self, now: Instant) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.restart_step(now);
        }
    }

    fn on_cold_response(&mut self, now: Instant, settings: &TargetSettings) {
        match &self.slow_start {
            Some(state) if state.is_first_step(settings.cold_concurrency) => self.restart_step(now),
            _ => self.mark_cold(now, ColdCause::Answered, settings.cold_concurrency),
        }
    }

    fn on_warm_response(&mut self, now: Instant, settings: &TargetSettings) {
        let mean_us = self.latency.mean_us();
        let slots = self.member.slots;
        let at_cold_latency = self.is_at_cold_latency(mean_us);
        match &mut self.slow_start {
            Some(slow_start) => {
                if slow_start.is_first_step(settings.cold_concurrency) && mean_us.is_some() {
                    self.cold_latency_us = mean_us;
                }
                if slow_start.record_success(now, settings.cold_step, slots) {
                    self.slow_start = None;
                    self.warm_since = now;
                    self.discard_ambiguous_cold_latency(mean_us);
                }
            }
            None if at_cold_latency => {
                self.mark_cold(now, ColdCause::Latency, settings.cold_concurrency);
            }
            None => {}
        }
    }

    /// Discards the cold latency if it is too close to the warm latency to distinguish the two.
    fn discard_ambiguous_cold_latency(&mut self, warm_us: Option<u64>) {
        let warm_us = warm_us.unwrap_or(u64::MAX / COLD_LATENCY_FACTOR);
        self.cold_latency_us =
            self.cold_latency_us.filter(|cold_us| *cold_us >= COLD_LATENCY_FACTOR * warm_us);
    }

    fn is_at_cold_latency(&self, mean_us: Option<u64>) -> bool {
        matches!((mean_us, self.cold_latency_us), (Some(mean), Some(cold)) if mean >= cold / 4 * 3)
    }
}
