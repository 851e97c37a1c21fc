//! Simulated targets that pause, crash, start cold, answer late and refuse requests, at times
//! falsely.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{Instant, ReportedDuration, Requests};
use wagtailmoor_dispatch::{LoadReport, ReportedState, ResponseHead};

use super::world::Arrival;

const COLD: Duration = Duration::from_millis(400);

/// Reaction of a target to a request.
pub(crate) enum Action {
    /// Crashes the target process.
    Crash,
    /// Responds without running the request.
    Refuse(ResponseHead),
    /// Runs the request and responds after this time.
    Run(Duration, ResponseHead),
}

pub(crate) struct FakeTarget {
    pub(crate) up: bool,
    pub(crate) incarnation: u32,
    pub(crate) cold_until: Instant,
    pub(crate) paused_until: Instant,
    /// Whether some not-run responses are sent for requests that were run.
    pub(crate) sends_false_refusals: bool,
    pub(crate) faults_ended: bool,
    pub(crate) in_flight: Vec<Arrival>,
}

impl FakeTarget {
    pub(crate) fn new(sends_false_refusals: bool) -> Self {
        Self {
            up: true,
            incarnation: 0,
            cold_until: Instant::default(),
            paused_until: Instant::default(),
            sends_false_refusals,
            faults_ended: false,
            in_flight: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, now: Instant) {
        self.up = true;
        self.incarnation += 1;
        self.cold_until = now + COLD;
    }

    pub(crate) fn respond(&self, now: Instant, crashes: bool, random: &mut ChaCha8Rng) -> Action {
        let cold = now < self.cold_until;
        let answer = ResponseHead { status: 200, not_run: false, retry_after: None, cold };
        let mean_ms = if cold { 40 } else { 4 };
        let retry_after = Some(ReportedDuration::from_millis(random.random_range(0..200)));
        let refusal = ResponseHead { status: 503, not_run: true, retry_after, cold };
        let misdirected = ResponseHead { status: 421, not_run: true, retry_after: None, cold };
        let ms = random.random_range(1..2 * mean_ms);
        match random.random_range(0..100) {
            _ if crashes => Action::Crash,
            _ if self.faults_ended => Action::Run(Duration::from_millis(ms), answer),
            0..4 if self.sends_false_refusals => Action::Run(Duration::from_millis(ms), refusal),
            0..4 => Action::Refuse(refusal),
            4..6 => Action::Refuse(misdirected),
            6..9 => Action::Run(Duration::from_millis(random.random_range(100..600)), answer),
            _ => Action::Run(Duration::from_millis(ms), answer),
        }
    }

    /// Returns a load report, which often is wrong.
    pub(crate) fn report(&self, now: Instant, random: &mut ChaCha8Rng) -> LoadReport {
        let state = match random.random_range(0..10) {
            0 => ReportedState::Cold,
            1 if !self.faults_ended => ReportedState::Draining,
            2..6 if now < self.cold_until => ReportedState::Cold,
            _ => ReportedState::Warm,
        };
        LoadReport {
            state,
            running: Requests::new(random.random_range(0..8)),
            queued: Requests::new(random.random_range(0..8)),
            age: Duration::from_millis(random.random_range(0..1000)),
        }
    }
}
