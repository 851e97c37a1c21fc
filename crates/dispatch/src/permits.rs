//! Permits to send requests to a target.

use wagtailmoor_core::{Instant, TargetId};

/// Issues permits, each for one request at a target.
pub trait Permits {
    /// A permit, which is released on drop.
    type Permit;

    /// Acquires a permit, or returns `None` if none is available for this target.
    fn acquire(&mut self, now: Instant, target: &TargetId) -> Option<Self::Permit>;
}

impl<F, P> Permits for F
where
    F: FnMut(Instant, &TargetId) -> Option<P>,
{
    type Permit = P;

    fn acquire(&mut self, now: Instant, target: &TargetId) -> Option<P> {
        self(now, target)
    }
}
