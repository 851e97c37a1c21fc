//! The promise that a node has granted.

use wagtailmoor_core::{Generation, Instant, NodeId};

use crate::{LeaseSettings, RequestId};

/// The promise that a node has granted, and the generations that it has released. There is one
/// promise for all generations, so that a node never supports two candidates at a time.
#[derive(Debug)]
pub(crate) struct Voter {
    // The node, and its latest request. The request is `None` if requests of two incarnations of
    // the node were granted: a late withdrawal of the previous incarnation must not end a promise
    // that the current one relies on.
    promised_to: Option<(NodeId, Option<RequestId>)>,
    promise_end: Instant,
    released: Generation,
}

impl Voter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { promised_to: None, promise_end: now, released: Generation::default() }
    }

    /// Returns when the latest promise ends, which may be in the past.
    pub(crate) fn promise_end(&self) -> Instant {
        self.promise_end
    }

    pub(crate) fn released(&self) -> Generation {
        self.released
    }

    /// Returns whether no promise to another node than this is unexpired.
    pub(crate) fn can_promise_to(&self, now: Instant, node: &NodeId) -> bool {
        now >= self.promise_end
            || self.promised_to.as_ref().is_some_and(|(promised_to, _)| promised_to == node)
    }

    /// Grants or renews a promise. The caller has checked [`Self::can_promise_to`].
    pub(crate) fn grant(
        &mut self,
        now: Instant,
        node: &NodeId,
        id: RequestId,
        settings: &LeaseSettings,
    ) {
        let is_expired = now >= self.promise_end;
        // The other node relies on the promise duration on its own clock, so this node adds the
        // clock drift.
        self.promise_end = self.promise_end.max(now + settings.plus_drift(settings.promise_ms));
        let latest = match &self.promised_to {
            Some((promised_to, earlier)) if promised_to == node && !is_expired => earlier
                .filter(|earlier| earlier.incarnation == id.incarnation)
                .map(|earlier| id.max(earlier)),
            _ => Some(id),
        };
        self.promised_to = Some((node.clone(), latest));
    }

    /// Ends the promise to a node that no longer relies on it.
    ///
    /// A withdrawal that arrives after a later request of the same node has no effect, since the
    /// node relies on the answer to the later request.
    pub(crate) fn withdraw(&mut self, now: Instant, node: &NodeId, id: RequestId) {
        let is_void =
            |latest: &RequestId| latest.incarnation == id.incarnation && latest.number < id.number;
        match &self.promised_to {
            Some((promised_to, Some(latest))) if promised_to == node && is_void(latest) => {
                self.promise_end = self.promise_end.min(now);
                self.promised_to = None;
            }
            _ => {}
        }
    }

    /// Ends the promise of this node to itself.
    pub(crate) fn withdraw_own(&mut self, now: Instant, node: &NodeId) {
        if self.promised_to.as_ref().is_some_and(|(promised_to, _)| promised_to == node) {
            self.promise_end = self.promise_end.min(now);
            self.promised_to = None;
        }
    }

    pub(crate) fn release(&mut self, generation: Generation) {
        self.released = self.released.max(generation);
    }
}
