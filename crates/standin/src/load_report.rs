//! Load reports of targets, with the history from which delayed ones are taken.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_derive::{scalar, value};

/// Reports kept. Older ones are dropped, so the lag may be shorter than configured.
const MAX_HISTORY: usize = 10_000;

/// State that a target reports.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum LoadState {
    /// Can handle only a few requests after a cold start.
    Cold,
    /// Can use all its slots.
    Warm,
    /// Will stop and should get no new requests.
    Draining,
}

/// Body of `GET /wagtailmoor/load`.
#[value]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// State of the target when the report was made.
    pub state: LoadState,
    /// Requests that occupy a slot.
    pub running: u32,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Recent reports of a target, oldest first.
#[derive(Default)]
pub(crate) struct ReportHistory {
    reports: VecDeque<(Instant, LoadReport)>,
}

impl ReportHistory {
    pub(crate) fn record(&mut self, now: Instant, report: LoadReport) {
        self.reports.push_back((now, report));
        if self.reports.len() > MAX_HISTORY {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or the oldest one kept.
    pub(crate) fn delayed(&self, now: Instant, lag: Duration) -> Option<LoadReport> {
        let cutoff = now - lag;
        let report = self.reports.iter().rev().find(|(at, _)| *at <= cutoff);
        let (at, report) = report.or_else(|| self.reports.front())?;
        let age_ms = now.saturating_since(*at).as_millis() as u64;
        Some(LoadReport { age_ms, ..report.clone() })
    }
}
