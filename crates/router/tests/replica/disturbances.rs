//! When nodes and the store of a run are disturbed, which excuses old data by the platform's rules.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// A node is in touch, and the store stable, once undisturbed for this long (the platform's
/// `contactS`).
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time within which a change must be in force (the platform's `configApplyS`).
pub(crate) const APPLY_TIME: Duration = Duration::from_secs(2);

/// Extends the apply time while the store is unstable (the platform's `maxSkewS`).
const UNSTABLE_EXTENSION: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbed {
    /// The process or its links.
    Node(usize),
    /// The store answers late or not at all.
    StoreDown,
    /// The store drops its history.
    StoreUnstable,
}

/// The disturbances of a run.
#[derive(Debug, Default)]
pub(crate) struct Disturbances {
    spans: Vec<(Disturbed, Instant, Instant)>,
}

impl Disturbances {
    pub(crate) fn record(&mut self, disturbed: Disturbed, start: Instant, end: Instant) {
        self.spans.push((disturbed, start, end));
    }

    /// Returns how old data may be by which a node decides a request that is sent at `now`; `None` if
    /// the rules excuse any age.
    pub(crate) fn bound(&self, node: usize, now: Instant) -> Option<Duration> {
        let contact_start = now - CONTACT_TIME;
        let is_disturbed = |disturbed| self.overlaps(disturbed, contact_start, now);
        if is_disturbed(Disturbed::Node(node)) {
            return None;
        }
        let extended = APPLY_TIME + UNSTABLE_EXTENSION;
        match is_disturbed(Disturbed::StoreUnstable) || is_disturbed(Disturbed::StoreDown) {
            false => Some(APPLY_TIME),
            true if self.overlaps(Disturbed::StoreDown, now - extended, now) => None,
            true => Some(extended),
        }
    }

    /// Returns whether a node and the store have been undisturbed for `span`.
    pub(crate) fn are_calm(&self, node: usize, now: Instant, span: Duration) -> bool {
        [Disturbed::Node(node), Disturbed::StoreDown, Disturbed::StoreUnstable]
            .into_iter()
            .all(|disturbed| !self.overlaps(disturbed, now - span, now))
    }

    fn overlaps(&self, disturbed: Disturbed, start: Instant, end: Instant) -> bool {
        self.spans
            .iter()
            .any(|(other, from, to)| *other == disturbed && *from <= end && *to >= start)
    }
}
