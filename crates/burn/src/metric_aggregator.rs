//! Aggregation of metrics.

use wagtailmoor_core::{CustomerId, Outcome, Reason, SortedVec};

use crate::{
    Counts, InputSummary, LineError, MalformedLine, Objectives, Report, RequestClass, Series,
    StatsdLine, Subject, UnixMillis,
};

/// Maximum number of malformed lines that are kept as examples.
const EXAMPLES_MAX: usize = 3;

/// Number of characters to which the example of a malformed line is truncated.
const EXAMPLE_MAX_CHARS: usize = 120;

/// Interval at which expired counts are dropped, in the time of the metrics.
const EXPIRY_INTERVAL_MS: u64 = 3_600_000;

/// Aggregates the metrics of a site into request counts.
///
/// Each request emits a counter and a latency. Answered requests are counted by their latencies,
/// all others by their counters, so that no request is counted twice.
#[derive(Clone, Debug, Default)]
pub struct MetricAggregator {
    objectives: Objectives,
    customers: Vec<CustomerId>,
    series: SortedVec<Subject, Series>,
    input: InputSummary,
    /// Number of whole `EXPIRY_INTERVAL_MS` intervals from the Unix epoch to the last removal of
    /// expired counts.
    last_expiry: u64,
}

impl MetricAggregator {
    /// Creates an empty aggregator for the objectives and customers of a site.
    pub fn new(objectives: Objectives, customers: Vec<CustomerId>) -> Self {
        Self { objectives, customers, ..Self::default() }
    }

    /// Adds the lines of a datagram that arrived at `at`.
    pub fn add_datagram(&mut self, at: UnixMillis, text: &str) {
        text.lines().filter(|line| !line.is_empty()).for_each(|line| self.add_line(at, line));
    }

    /// Adds a line of a recording: a Unix time in milliseconds, a space and a metric.
    pub fn add_recorded_line(&mut self, line: &str) {
        let parts = line.split_once(' ');
        let parsed = parts.and_then(|(at, metric)| Some((at.parse().ok()?, metric)));
        match parsed {
            Some((at, metric)) => self.add_line(at, metric),
            None => {
                self.input.lines += 1;
                self.add_malformed(line, LineError::Timestamp);
            }
        }
    }

    /// Returns the report for the period that ends at `end`.
    pub fn report(&self, end: UnixMillis) -> Report {
        Report::new(end, &self.objectives, &self.customers, &self.series, self.input.clone())
    }

    /// Returns the latest time of a metric; `None` if there is no metric.
    pub fn latest(&self) -> Option<UnixMillis> {
        self.input.last_unix_ms
    }

    fn add_line(&mut self, at: UnixMillis, line: &str) {
        self.input.lines += 1;
        match line.parse() {
            Ok(line) => self.add(at, line),
            Err(error) => self.add_malformed(line, error),
        }
    }

    fn add(&mut self, at: UnixMillis, line: StatsdLine) {
        self.input.extend_period(at);
        self.drop_expired();
        match line {
            StatsdLine::Requests { tags, requests } => {
                self.input.requests += requests;
                self.add_requests(at, tags.subject, tags.outcome, tags.reason, requests);
            }
            StatsdLine::Latency { tags, latency_ms } => {
                if RequestClass::of(tags.outcome, tags.reason) == RequestClass::Answered {
                    self.add_answered(at, tags.subject, latency_ms);
                }
            }
            StatsdLine::Other => self.input.other += 1,
        }
    }

    fn add_requests(
        &mut self,
        at: UnixMillis,
        subject: Subject,
        outcome: Outcome,
        reason: Option<Reason>,
        requests: u64,
    ) {
        let added = match RequestClass::of(outcome, reason) {
            RequestClass::Answered => {
                self.input.answered += requests;
                return;
            }
            RequestClass::Error => Counts { errors: requests, ..Counts::default() },
            RequestClass::Excluded => Counts { excluded: requests, ..Counts::default() },
        };
        self.series.get_or_insert_with(subject, Series::default).add(at, added);
    }

    fn add_answered(&mut self, at: UnixMillis, subject: Subject, latency_ms: u64) {
        self.input.timed += 1;
        let objective = self.objectives.get_or_default(subject.template.as_ref());
        let added = match latency_ms <= objective.latency_ms {
            true => Counts { good: 1, ..Counts::default() },
            false => Counts { slow: 1, ..Counts::default() },
        };
        self.series.get_or_insert_with(subject, Series::default).add(at, added);
    }

    fn add_malformed(&mut self, line: &str, error: LineError) {
        self.input.malformed += 1;
        if self.input.examples.len() < EXAMPLES_MAX {
            let line = line.chars().take(EXAMPLE_MAX_CHARS).collect();
            self.input.examples.push(MalformedLine { line, fault: error.to_string() });
        }
    }

    fn drop_expired(&mut self) {
        let Some(latest) = self.input.last_unix_ms else { return };
        let interval = latest.get() / EXPIRY_INTERVAL_MS;
        if interval > self.last_expiry {
            self.last_expiry = interval;
            self.series.iter_mut().for_each(|(_, series)| series.drop_expired(latest));
        }
    }
}
