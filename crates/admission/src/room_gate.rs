//! What a node may send to full targets.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{BackEndId, Instant, PartsPerMillion, Requests, SortedVec, TargetId};

use crate::unanswered_list::UnansweredList;
use crate::{
    BackEndArrivals, LoadSample, MilliRequests, ReportTiming, RoomReply, RoomReport,
    TargetOccupancy, TargetRoom, UnansweredGuard,
};

/// A request without an answer for this multiple of the expected response time is silent. Other
/// load on the target's host slows it to three times.
const SILENT_RATIO: u32 = 4;

/// Shortest time after which a request is silent. One in a hundred requests takes up to 7 times the
/// usual service time of 150 to 270 ms.
const SILENT_AFTER_MIN: Duration = Duration::from_millis(1_200);

/// A request that was given up after this long without an answer counts as silent. Clients may give
/// up before the time above; usual answers take less.
const GIVEN_UP_AFTER_MIN: Duration = Duration::from_millis(600);

/// A request is hedged after this multiple of the mean response time. Moments of other load on a
/// target's host triple the time, and hedges then only add load.
const HEDGE_RATIO: f64 = 3.5;

/// Shortest time after which a request is hedged, at which one in a hundred requests still runs.
const HEDGE_AFTER_MIN: Duration = Duration::from_millis(500);

/// Weight of a new response time in the mean of a back end. A node among 80 gets 40 responses a
/// second, which this averages over a second.
const RESPONSE_TIME_WEIGHT: f64 = 0.03;

/// Maximum number of targets in a report; more remain for the next one.
const REPORTED_TARGETS_MAX: usize = 128;

/// Requests in an interval as a multiple of the permitted number, so that requests that arrive
/// unevenly use it.
const PERMITTED_BURST: f64 = 2.0;

/// Without a reply for this part of its lifetime, half as many requests are admitted.
const HALVED_AFTER: Duration = Duration::from_millis(600);

/// This node's requests at one target since the last report.
#[derive(Debug)]
struct Occupancy {
    back_end: BackEndId,
    unanswered: UnansweredList,
    arrived: u32,
    answered: u32,
    rejected: u32,
    given_up: u32,
    held_max: u32,
    /// Load stated in the newest response, until the outcome of its request is known.
    stated: Option<u32>,
}

impl Occupancy {
    fn new(back_end: BackEndId) -> Self {
        Self {
            back_end,
            unanswered: UnansweredList::default(),
            arrived: 0,
            answered: 0,
            rejected: 0,
            given_up: 0,
            held_max: 0,
            stated: None,
        }
    }

    /// Returns the counts since the last call and resets them.
    fn take(&mut self, now: Instant, target: &TargetId) -> TargetOccupancy {
        TargetOccupancy {
            target: target.clone(),
            unanswered: Requests::new(self.unanswered.waiting(now)),
            arrived: std::mem::take(&mut self.arrived),
            answered: std::mem::take(&mut self.answered),
            rejected: std::mem::take(&mut self.rejected),
            silent: self.unanswered.take_silent(now) + std::mem::take(&mut self.given_up),
            held_max: Requests::new(std::mem::take(&mut self.held_max)),
        }
    }
}

/// The leader's permission for one target, and how much of it is used.
#[derive(Debug)]
struct Lease {
    permitted: MilliRequests,
    admitted: PartsPerMillion,
    /// Requests sent since the reply that named the target.
    sent: u32,
    /// Requests that may be sent to a pooled target.
    credit: f64,
    /// Sum of the admitted shares of keyed requests, less the requests that were sent.
    accumulated: f64,
}

/// What a node may send to full targets, and its counts for the reports to the leader.
#[derive(Debug, Default)]
pub struct RoomGate {
    tracked: Vec<BackEndId>,
    short: Vec<BackEndId>,
    silent: Vec<BackEndId>,
    leases: SortedVec<TargetId, Lease>,
    replied_at: Instant,
    targets: SortedVec<TargetId, Occupancy>,
    arrived: SortedVec<BackEndId, u32>,
    /// Mean response time by back end, in microseconds.
    response_us: SortedVec<BackEndId, f64>,
}

impl RoomGate {
    /// Counts a request that arrived for a back end, and for the owner of its key if it has one.
    pub fn on_arrival(&mut self, now: Instant, back_end: &BackEndId, owner: Option<&TargetId>) {
        if !self.is_tracked(now, back_end) {
            return;
        }
        *self.arrived.get_or_insert_with(back_end.clone(), || 0) += 1;
        if let Some(owner) = owner {
            self.occupancy(back_end, owner).arrived += 1;
        }
    }

    /// Counts a request as unanswered at a target until the guard is dropped.
    pub fn start(
        &mut self,
        now: Instant,
        back_end: &BackEndId,
        target: &TargetId,
        expected: Duration,
    ) -> UnansweredGuard {
        let silent_from = now + Self::silent_after(expected);
        self.occupancy(back_end, target).unanswered.start(silent_from)
    }

    /// Returns the time without an answer after which a request is silent.
    pub fn silent_after(expected: Duration) -> Duration {
        (expected * SILENT_RATIO).max(SILENT_AFTER_MIN)
    }

    /// Records the load that a target stated in a response. It counts once the outcome is known:
    /// a target that rejects requests without need may state a queue that does not exist.
    pub fn on_load_report(&mut self, target: &TargetId, load: LoadSample) {
        if let Some(occupancy) = self.targets.get_mut(target) {
            occupancy.stated = Some(load.running.get().saturating_add(load.waiting.get()));
        }
    }

    /// Records an answer of a target.
    pub fn on_answered(&mut self, target: &TargetId, elapsed: Duration) {
        if let Some(occupancy) = self.targets.get_mut(target) {
            let elapsed_us = elapsed.as_micros() as f64;
            let back_end = occupancy.back_end.clone();
            let mean_us = self.response_us.get_or_insert_with(back_end, || elapsed_us);
            *mean_us += RESPONSE_TIME_WEIGHT * (elapsed_us - *mean_us);
            occupancy.answered += 1;
            let stated = occupancy.stated.take().unwrap_or_default();
            occupancy.held_max = occupancy.held_max.max(stated);
        }
    }

    /// Records that a target rejected a request as not run.
    pub fn on_rejected(&mut self, target: &TargetId) {
        if let Some(occupancy) = self.targets.get_mut(target) {
            occupancy.rejected += 1;
            occupancy.stated = None;
        }
    }

    /// Records that a request was given up that a target had not answered after `elapsed`.
    pub fn on_given_up(&mut self, target: &TargetId, elapsed: Duration) {
        match self.targets.get_mut(target) {
            Some(occupancy) if elapsed >= GIVEN_UP_AFTER_MIN => occupancy.given_up += 1,
            _ => {}
        }
    }

    /// Returns the report to the leader and resets the counts in it.
    pub fn take_report(&mut self, now: Instant) -> RoomReport {
        let is_tracked = now < self.replied_at + ReportTiming::REPLY_LIFETIME;
        let tracked = &self.tracked;
        let targets = self.targets.iter_mut().filter_map(|(target, occupancy)| {
            let is_tracked = is_tracked && tracked.binary_search(&occupancy.back_end).is_ok();
            let taken = occupancy.take(now, target);
            let has_signal = taken.rejected > 0 || taken.silent > 0;
            (is_tracked || has_signal).then_some(taken)
        });
        let mut targets: Vec<_> = targets.filter(|taken| !is_idle(taken)).collect();
        targets.sort_by_key(|taken| {
            std::cmp::Reverse((taken.rejected + taken.silent > 0, taken.unanswered))
        });
        targets.truncate(REPORTED_TARGETS_MAX);
        self.targets.retain(|_, occupancy| !occupancy.unanswered.is_empty());
        let arrived = std::mem::take(&mut self.arrived).into_iter();
        let back_ends =
            arrived.map(|(back_end, arrived)| BackEndArrivals { back_end, arrived }).collect();
        RoomReport { back_ends, targets }
    }

    /// Replaces the permissions by those in a reply of the leader.
    pub fn apply_reply<R: Rng>(&mut self, now: Instant, reply: RoomReply, random: &mut R) {
        let mut previous = std::mem::take(&mut self.leases);
        let leases = reply.targets.into_iter().map(|TargetRoom { target, permitted, admitted }| {
            let before = previous.remove(&target);
            // Random first values spread the first requests of nodes that learn of a full target
            // at once.
            let (credit, accumulated) = match before {
                Some(lease) => (lease.credit, lease.accumulated),
                None => (random.random::<f64>(), random.random::<f64>()),
            };
            let requests = permitted.requests();
            let credit = (credit + requests).min(requests.max(1.0));
            (target, Lease { permitted, admitted, sent: 0, credit, accumulated })
        });
        self.leases = leases.collect();
        self.tracked = reply.tracked;
        self.short = reply.short;
        self.silent = reply.silent;
        self.replied_at = now;
    }

    /// Decides whether a request on a key may be sent to its owner, and counts it as sent.
    ///
    /// # Errors
    ///
    /// The share of the requests that the owner can hold.
    pub fn admit_keyed(&mut self, now: Instant, owner: &TargetId) -> Result<(), PartsPerMillion> {
        let factor = self.factor(now);
        let (Some(lease), Some(factor)) = (self.leases.get_mut(owner), factor) else {
            return Ok(());
        };
        let sent_max = (lease.permitted.requests() * factor * PERMITTED_BURST).ceil().max(1.0);
        lease.accumulated = (lease.accumulated + lease.admitted.of(factor)).min(2.0);
        match lease.accumulated >= 1.0 && f64::from(lease.sent) < sent_max {
            true => {
                lease.accumulated -= 1.0;
                lease.sent += 1;
                Ok(())
            }
            false => Err(lease.admitted),
        }
    }

    /// Returns whether the leader named a target as full or nearly full.
    pub fn is_limited(&self, now: Instant, target: &TargetId) -> bool {
        self.factor(now).is_some() && self.leases.contains_key(target)
    }

    /// Returns whether a target is not full, so that a request may be sent to it again.
    pub fn has_room(&self, now: Instant, target: &TargetId) -> bool {
        match self.leases.get(target) {
            Some(lease) if self.factor(now).is_some() => lease.admitted == PartsPerMillion::ONE,
            _ => true,
        }
    }

    /// Returns whether a request that any target can run may be sent to this one.
    pub fn has_pooled_room(&self, now: Instant, target: &TargetId) -> bool {
        match self.leases.get(target) {
            Some(lease) if self.factor(now).is_some() => lease.credit >= 1.0,
            _ => true,
        }
    }

    /// Counts a request that is sent to a target that any request can go to.
    pub fn spend_pooled(&mut self, now: Instant, back_end: &BackEndId, target: &TargetId) {
        if let Some(lease) = self.leases.get_mut(target) {
            lease.credit -= 1.0;
        }
        if self.is_tracked(now, back_end) {
            self.occupancy(back_end, target).arrived += 1;
        }
    }

    /// Returns whether the leader said that the targets of a back end are short of room.
    pub fn is_short(&self, now: Instant, back_end: &BackEndId) -> bool {
        self.factor(now).is_some() && self.short.binary_search(back_end).is_ok()
    }

    /// Returns the time without an answer after which a request with `left` until its deadline is
    /// sent again, or `None` if it is not. Only back ends whose targets leave requests without an
    /// answer need that, and only while they have room for the additional load.
    pub fn hedge_after(
        &self,
        now: Instant,
        back_end: &BackEndId,
        expected: Option<Duration>,
        left: Duration,
    ) -> Option<Duration> {
        self.factor(now)?;
        let is_silent = self.silent.binary_search(back_end).is_ok();
        let mean = Duration::from_micros(*self.response_us.get(back_end)? as u64);
        let usual = mean.max(expected.unwrap_or_default());
        let wait = usual.mul_f64(HEDGE_RATIO).max(HEDGE_AFTER_MIN);
        (is_silent && !self.is_short(now, back_end) && wait + mean < left).then_some(wait)
    }

    /// Returns the number of targets that the last reply of the leader named.
    pub fn named_targets(&self) -> usize {
        self.leases.len()
    }

    /// Returns the factor by which fewer requests are admitted, or `None` if the last reply has
    /// expired.
    fn factor(&self, now: Instant) -> Option<f64> {
        match now.saturating_since(self.replied_at) {
            age if age >= ReportTiming::REPLY_LIFETIME => None,
            age if age >= HALVED_AFTER => Some(0.5),
            _ => Some(1.0),
        }
    }

    fn is_tracked(&self, now: Instant, back_end: &BackEndId) -> bool {
        self.factor(now).is_some() && self.tracked.binary_search(back_end).is_ok()
    }

    fn occupancy(&mut self, back_end: &BackEndId, target: &TargetId) -> &mut Occupancy {
        self.targets.get_or_insert_with(target.clone(), || Occupancy::new(back_end.clone()))
    }
}

fn is_idle(taken: &TargetOccupancy) -> bool {
    let counts = [taken.arrived, taken.answered, taken.rejected, taken.silent];
    taken.unanswered.get() == 0 && counts.iter().all(|count| *count == 0)
}
