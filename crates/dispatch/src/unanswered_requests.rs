//! Abandoned requests that targets had not answered.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, TargetId};

use crate::Fingerprint;

/// Retention period of an unanswered request. Within it, the exit of a silent target becomes
/// known: the target misses several heartbeats in the registry, or restarts.
const RETENTION: Duration = Duration::from_secs(15);

/// Maximum number of requests kept; the oldest is dropped to make room.
const REQUESTS_MAX: usize = 512;

#[derive(Clone, Debug)]
struct Unanswered {
    at: Instant,
    fingerprint: Fingerprint,
    target: TargetId,
    incarnation: Incarnation,
}

/// Recently abandoned requests that targets had not answered.
///
/// A target that crashes without closing its connections cannot be told from a slow one. When the
/// target is found to have exited, its unanswered requests are counted as losses.
#[derive(Clone, Debug, Default)]
pub struct UnansweredRequests {
    requests: VecDeque<Unanswered>,
}

impl UnansweredRequests {
    /// Adds a request that was abandoned before the target answered it.
    pub fn add(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        self.expire(now);
        if self.requests.len() >= REQUESTS_MAX {
            self.requests.pop_front();
        }
        let target = target.clone();
        self.requests.push_back(Unanswered { at: now, fingerprint, target, incarnation });
    }

    /// Removes and returns the unanswered requests of a target incarnation that has exited.
    pub fn take_exited(
        &mut self,
        now: Instant,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Vec<Fingerprint> {
        self.expire(now);
        let was_sent_to =
            |request: &Unanswered| request.target == *target && request.incarnation == incarnation;
        let lost = self.requests.iter().filter(|request| was_sent_to(request));
        let lost = lost.map(|request| request.fingerprint).collect();
        self.requests.retain(|request| !was_sent_to(request));
        lost
    }

    fn expire(&mut self, now: Instant) {
        while self.requests.front().is_some_and(|oldest| oldest.at + RETENTION < now) {
            self.requests.pop_front();
        }
    }
}
