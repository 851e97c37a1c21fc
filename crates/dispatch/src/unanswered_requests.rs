//! Requests that targets had not answered when they were given up.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, TargetId};

use crate::Fingerprint;

/// Time within which the end of a target that fell silent is known: it is missing in the registry
/// after several heartbeats, or starts again.
const KEPT_FOR: Duration = Duration::from_secs(15);

/// Requests kept; beyond it the oldest is dropped.
const KEPT_MAX: usize = 512;

#[derive(Clone, Debug)]
struct Unanswered {
    at: Instant,
    fingerprint: Fingerprint,
    target: TargetId,
    incarnation: Incarnation,
}

/// Requests that targets had not answered when they were given up.
///
/// A target that crashes without closing its connections looks like a slow one to each request. When
/// it turns out to have ended, the requests that it had count as lost with it.
#[derive(Clone, Debug, Default)]
pub struct UnansweredRequests {
    requests: VecDeque<Unanswered>,
}

impl UnansweredRequests {
    /// Takes a request that a target had not answered when it was given up.
    pub fn add(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        self.expire(now);
        if self.requests.len() >= KEPT_MAX {
            self.requests.pop_front();
        }
        let target = target.clone();
        self.requests.push_back(Unanswered { at: now, fingerprint, target, incarnation });
    }

    /// Returns the requests that a target had when it ended.
    pub fn take_ended(
        &mut self,
        now: Instant,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Vec<Fingerprint> {
        self.expire(now);
        let had = |known: &Unanswered| known.target == *target && known.incarnation == incarnation;
        let lost = self.requests.iter().filter(|known| had(known));
        let lost = lost.map(|known| known.fingerprint).collect();
        self.requests.retain(|known| !had(known));
        lost
    }

    fn expire(&mut self, now: Instant) {
        while self.requests.front().is_some_and(|oldest| oldest.at + KEPT_FOR < now) {
            self.requests.pop_front();
        }
    }
}
