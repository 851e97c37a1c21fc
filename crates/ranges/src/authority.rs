//! The period in which a process may act as leader.

use wagtailmoor_core::Instant;

/// The period in which a process may act as leader.
///
/// Several leaders may safely renew a grant under the same epoch. Keys may be taken from an owner
/// only once no previous leader can still renew its grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Authority {
    /// End of the period; no command may be sent from this instant on.
    pub until: Instant,
    /// Instant from which no previous leader sends commands.
    pub sole_from: Instant,
}

impl Authority {
    /// Returns whether grants may be renewed.
    pub fn may_renew(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether keys may be taken from their owners.
    pub fn may_move(&self, now: Instant) -> bool {
        self.may_renew(now) && now >= self.sole_from
    }
}
