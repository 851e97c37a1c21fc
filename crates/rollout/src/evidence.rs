//! Answers of the old and the new version of a back end, over all hosts.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use wagtailmoor_core::{Instant, SortedVec, TargetId, TemplateId};

use crate::{AnswerCounts, Comparison, RolloutReport};

/// Length of the periods in which the versions are compared.
const PERIOD: Duration = Duration::from_millis(500);

/// Number of periods that are kept.
const PERIODS_MAX: usize = 16;

/// Numbers of the newest periods that are compared: the short window reveals a fault that begins
/// late, the long one a fault on a back end with few requests.
const WINDOWS: [usize; 2] = [4, PERIODS_MAX];

/// Least number of bad answers of a bad version.
const BAD_MIN: f64 = 3.0;

/// Least number of answers of a bad version.
const ANSWERS_MIN: f64 = 6.0;

/// Standard deviations by which a bad version is worse. The test is repeated with each report, so
/// the limit is higher than for a single test.
const Z_MIN: f64 = 4.0;

/// The same without the worst canaries, or without the worst moment.
const Z_MIN_REST: f64 = 3.0;

/// Least excess of the ratio of failures of a bad version.
const FAILURES_EXCESS_MIN: f64 = 0.1;

/// Least excess of the ratio of slow answers of a bad version. A canary on a slow host, or on one
/// with other load, has up to a fifth more slow answers than the mean of the old targets.
const SLOW_EXCESS_MIN: f64 = 0.3;

/// Part of the canaries whose answers are left out, the worst first: every fifth, at least one.
const CANARIES_PER_EXCLUDED: usize = 5;

/// Number of successive periods that can hold the slow answers of one moment. A pause of a host or of
/// a target delays all requests in flight there, and hosts report their answers up to 200 ms apart.
/// Six answers that one pause of 140 ms delayed rolled back a good version.
const MOMENT_PERIODS: usize = 2;

/// With a single canary, a version is bad only after bad answers in this many periods; a faulty
/// target looks the same for a shorter time.
const SINGLE_CANARY_PERIODS: u32 = 5;

/// Answers of both versions that are enough to call a new one good.
const GOOD_ANSWERS: u32 = 30;

/// The same on each route that gets requests.
const GOOD_ROUTE_ANSWERS: u32 = 15;

/// A route gets requests if it has at least this share of the old version's answers, in percent.
/// Rarer routes would delay every decision.
const ROUTE_SHARE_MIN_PERCENT: u64 = 5;

/// Least number of failures that keep a version with too few answers from succeeding. A single one can
/// be a target that restarts.
const DOUBT_FAILURES_MIN: u32 = 2;

/// An answer is slow if it takes this many times the old version's mean on its route.
const SLOW_FACTOR: f64 = 3.0;

/// Time added to this limit, in milliseconds. Delays of a busy host must not count as slow answers
/// on routes that take a few milliseconds.
const SLOW_MARGIN_MS: u64 = 5;

/// Weight of the answers of one report in the old version's mean response time on a route, for each
/// answer.
const MEAN_WEIGHT_PER_ANSWER: f64 = 0.02;

/// Largest weight of one report in this mean.
const MEAN_WEIGHT_MAX: f64 = 0.2;

/// Routes for which answers are kept.
const ROUTES_MAX: usize = 256;

#[derive(Clone, Debug)]
struct Period {
    started: Instant,
    old: SortedVec<TemplateId, AnswerCounts>,
    new: SortedVec<(TemplateId, Option<TargetId>), AnswerCounts>,
}

/// A sum over the answers of a period that count as bad.
type Bad = fn(&AnswerCounts) -> u32;

/// A way in which a version can be worse.
struct FaultKind {
    name: &'static str,
    bad: Bad,
    /// Least excess of the ratio of bad answers.
    excess_min: f64,
    /// Whether bad answers of a single moment are no evidence.
    needs_moments: bool,
}

const FAULT_KINDS: [FaultKind; 2] = [
    FaultKind {
        name: "failures",
        bad: |counts| counts.failures,
        excess_min: FAILURES_EXCESS_MIN,
        needs_moments: false,
    },
    FaultKind {
        name: "slow answers",
        bad: |counts| counts.slow,
        excess_min: SLOW_EXCESS_MIN,
        needs_moments: true,
    },
];

/// Answers of the new version that are left out of a comparison.
#[derive(Default)]
struct Excluded<'a> {
    canaries: &'a [&'a TargetId],
    /// Numbers of periods.
    periods: Range<usize>,
}

/// Answers of the old and the new version of a back end, over all hosts.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    periods: VecDeque<Period>,
    /// Mean response times of the old version, in milliseconds.
    old_means_ms: SortedVec<TemplateId, f64>,
    old_answers: SortedVec<TemplateId, u32>,
    new_answers: SortedVec<TemplateId, u32>,
    /// Answers of all kept routes since the start of the rollout or of the term.
    old_total: AnswerCounts,
    /// The same by canary; `None` for all other new targets together.
    new_totals: SortedVec<Option<TargetId>, AnswerCounts>,
}

impl Evidence {
    /// Adds the answers that a host reported.
    pub fn add(&mut self, now: Instant, report: &RolloutReport) {
        if self.periods.back().is_none_or(|period| now >= period.started + PERIOD) {
            let (old, new) = (SortedVec::new(), SortedVec::new());
            self.periods.push_back(Period { started: now, old, new });
        }
        if self.periods.len() > PERIODS_MAX {
            self.periods.pop_front();
        }
        let Some(period) = self.periods.back_mut() else { return };
        for entry in &report.old {
            if self.old_answers.len() >= ROUTES_MAX && !self.old_answers.contains_key(&entry.route)
            {
                continue;
            }
            let (route, counts) = (&entry.route, &entry.counts);
            period.old.get_or_insert_with(route.clone(), AnswerCounts::default).add(counts);
            self.old_total.add(counts);
            *self.old_answers.get_or_insert_with(route.clone(), || 0) += counts.answers;
            let timed = counts.answers.saturating_sub(counts.failures);
            if timed > 0 {
                let mean_ms = counts.elapsed_ms as f64 / f64::from(timed);
                let weight = (f64::from(timed) * MEAN_WEIGHT_PER_ANSWER).min(MEAN_WEIGHT_MAX);
                let known = self.old_means_ms.get_or_insert_with(route.clone(), || mean_ms);
                *known += (mean_ms - *known) * weight;
            }
        }
        for entry in &report.new {
            let key = (entry.route.clone(), entry.target.clone());
            period.new.get_or_insert_with(key, AnswerCounts::default).add(&entry.counts);
            let of_target = entry.target.clone();
            let total = self.new_totals.get_or_insert_with(of_target, AnswerCounts::default);
            total.add(&entry.counts);
            let total = self.new_answers.get_or_insert_with(entry.route.clone(), || 0);
            *total += entry.counts.answers;
        }
    }

    /// Returns, by route, the response time in milliseconds above which an answer is slow.
    pub fn slow_over_ms(&self) -> Vec<(TemplateId, u64)> {
        let means = self.old_means_ms.iter();
        let limit_ms = |mean_ms: &f64| (mean_ms * SLOW_FACTOR) as u64 + SLOW_MARGIN_MS;
        means.map(|(route, mean_ms)| (route.clone(), limit_ms(mean_ms))).collect()
    }

    /// Returns the answers of the new version.
    pub fn new_answers(&self) -> u32 {
        self.new_answers.values().sum()
    }

    /// Returns whether the new version has enough answers, also on each route that gets requests.
    pub fn is_sufficient(&self) -> bool {
        let old_total: u64 = self.old_answers.values().map(|count| u64::from(*count)).sum();
        let is_used =
            |count: u32| u64::from(count) * 100 >= old_total * ROUTE_SHARE_MIN_PERCENT && count > 0;
        self.new_answers() >= GOOD_ANSWERS
            && self.old_answers.iter().filter(|(_, count)| is_used(**count)).all(|(route, _)| {
                self.new_answers.get(route).copied().unwrap_or_default() >= GOOD_ROUTE_ANSWERS
            })
    }

    /// Returns whether the new version has failed more often than the old one, also where its answers
    /// are too few for a verdict. The worst canary is left out once another new target has answered.
    pub fn is_doubtful(&self) -> bool {
        let sum = |excluded: Option<&TargetId>| {
            let mut total = AnswerCounts::default();
            for (target, counts) in self.new_totals.iter() {
                if excluded.is_none() || target.as_ref() != excluded {
                    total.add(counts);
                }
            }
            total
        };
        let ratio =
            |counts: &AnswerCounts| f64::from(counts.failures) / f64::from(counts.answers.max(1));
        let is_worse = |new: &AnswerCounts| {
            new.failures > 0 && ratio(new) - ratio(&self.old_total) >= FAILURES_EXCESS_MIN
        };
        let all = sum(None);
        if all.failures < DOUBT_FAILURES_MIN || !is_worse(&all) {
            return false;
        }
        let canaries = self.new_totals.iter().filter_map(|(target, counts)| {
            let target = target.as_ref()?;
            Some((target, counts.failures))
        });
        let worst = canaries.max_by_key(|(_, failures)| *failures).map(|(target, _)| target);
        let rest = sum(worst);
        rest.answers == 0 || is_worse(&rest)
    }

    /// Returns why the new version is bad; `None` unless it is.
    pub fn fault(&self) -> Option<&'static str> {
        let routes = || self.new_answers.keys().map(Some).chain([None]);
        let found = FAULT_KINDS.iter().find(|kind| {
            WINDOWS
                .into_iter()
                .any(|periods| routes().any(|route| self.is_bad(periods, route, kind)))
        });
        found.map(|kind| kind.name)
    }

    /// Returns whether the answers on a route, or on all, show a bad version. The worst canaries
    /// are left out: a single faulty target is not a bad version.
    fn is_bad(&self, periods: usize, route: Option<&TemplateId>, kind: &FaultKind) -> bool {
        let bad = kind.bad;
        let all = self.compare(periods, route, bad, &Excluded::default());
        let is_significant = |found: &Comparison, z_min: f64| {
            found.z() >= z_min && found.excess() >= kind.excess_min
        };
        if all.answers() < ANSWERS_MIN || all.bad() < BAD_MIN || !is_significant(&all, Z_MIN) {
            return false;
        }
        let is_bad_without = |excluded: Excluded<'_>| {
            let rest = self.compare(periods, route, bad, &excluded);
            rest.bad() >= BAD_MIN - 1.0 && is_significant(&rest, Z_MIN_REST)
        };
        let moment = || self.worst_moment(periods, route, bad);
        if kind.needs_moments
            && !is_bad_without(Excluded { periods: moment(), ..Excluded::default() })
        {
            return false;
        }
        let (worst, has_others) = self.worst_canaries(periods, route, bad);
        match worst.len() {
            0 | 1 if !has_others => all.bad_periods() >= SINGLE_CANARY_PERIODS,
            canaries => {
                let excluded = (canaries / CANARIES_PER_EXCLUDED).max(1).min(canaries);
                is_bad_without(Excluded { canaries: &worst[..excluded], ..Excluded::default() })
            }
        }
    }

    /// Returns the numbers of the successive periods with the most bad answers of the new version.
    fn worst_moment(&self, periods: usize, route: Option<&TemplateId>, bad: Bad) -> Range<usize> {
        let bad_of = |period: &Period| -> u32 {
            let new = period.new.iter();
            let on_route = new.filter(|((known, _), _)| route.is_none_or(|route| route == known));
            on_route.map(|(_, counts)| bad(counts)).sum()
        };
        let first = self.periods.len().saturating_sub(periods);
        let sums: Vec<u32> = self.periods.iter().skip(first).map(bad_of).collect();
        let moment_bad =
            |start: &usize| -> u32 { sums.iter().skip(*start).take(MOMENT_PERIODS).sum() };
        let worst = first + (0..sums.len()).max_by_key(moment_bad).unwrap_or_default();
        worst..worst + MOMENT_PERIODS
    }

    /// Returns the canaries, those with the most bad answers first, and whether other targets of the
    /// new version answered.
    fn worst_canaries(
        &self,
        periods: usize,
        route: Option<&TemplateId>,
        bad: Bad,
    ) -> (Vec<&TargetId>, bool) {
        let mut has_others = false;
        let mut sums: SortedVec<&TargetId, u32> = SortedVec::new();
        for period in self.periods.iter().rev().take(periods) {
            for ((known, target), counts) in period.new.iter() {
                if route.is_some_and(|route| route != known) {
                    continue;
                }
                match target {
                    Some(target) => {
                        *sums.get_or_insert_with(target, || 0) += bad(counts);
                    }
                    None => has_others |= counts.answers > 0,
                }
            }
        }
        let mut sums: Vec<(&TargetId, u32)> = sums.into_iter().collect();
        sums.sort_by_key(|(_, bad)| std::cmp::Reverse(*bad));
        (sums.into_iter().map(|(target, _)| target).collect(), has_others)
    }

    fn compare(
        &self,
        periods: usize,
        route: Option<&TemplateId>,
        bad: Bad,
        excluded: &Excluded<'_>,
    ) -> Comparison {
        let is_on_route = |known: &TemplateId| route.is_none_or(|route| route == known);
        let sum = |total: (u32, u32), counts: &AnswerCounts| {
            (total.0 + counts.answers, total.1 + bad(counts))
        };
        let mut comparison = Comparison::default();
        // In the last phase the old version gets no requests; the newest period with answers of it
        // then stands for it.
        let mut reference = (0, 0);
        let first = self.periods.len().saturating_sub(periods);
        for (number, period) in self.periods.iter().enumerate() {
            let old = period.old.iter().filter(|(known, _)| is_on_route(known));
            let old = old.fold((0, 0), |total, (_, counts)| sum(total, counts));
            let new = period.new.iter().filter(|((known, target), _)| {
                is_on_route(known)
                    && target.as_ref().is_none_or(|id| !excluded.canaries.contains(&id))
            });
            let new = new.fold((0, 0), |total, (_, counts)| sum(total, counts));
            if old.0 > 0 {
                reference = old;
            }
            if number >= first && !excluded.periods.contains(&number) {
                comparison.add(reference, new);
            }
        }
        comparison
    }
}
