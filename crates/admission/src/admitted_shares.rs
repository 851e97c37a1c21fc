//! Shares of the requests to overloaded back ends that are admitted.

use wagtailmoor_core::{BackEndId, CustomerId, PartsPerMillion, Priority, SortedVec};
use wagtailmoor_derive::value;
use wagtailmoor_ranges::KeyRange;

/// Admitted shares of a range of keys whose owner gets more requests than it can run in time.
#[value]
pub struct KeyedShare {
    /// The keys of the range.
    pub range: KeyRange,
    /// Share of all requests that is sent to the owner.
    pub admitted: PartsPerMillion,
    /// Admitted share by priority; empty if no priority is known.
    pub by_priority: Vec<(Priority, PartsPerMillion)>,
}

impl KeyedShare {
    /// Returns the admitted share of the requests of a priority.
    pub fn of(&self, priority: Priority) -> PartsPerMillion {
        let found = self.by_priority.iter().find(|(known, _)| *known == priority);
        found.map_or(self.admitted, |(_, admitted)| *admitted)
    }
}

/// Admitted shares of the requests of a priority to a pooled back end.
#[value]
pub struct PriorityShare {
    /// Priority of the requests.
    pub priority: Priority,
    /// Admitted share of all requests of the priority.
    pub admitted: PartsPerMillion,
    /// Admitted shares of the customers that exceed their even part; requests of others are all
    /// admitted. `None` if these are too many to name; then `admitted` applies to every customer.
    pub customers: Option<SortedVec<Option<CustomerId>, PartsPerMillion>>,
}

impl PriorityShare {
    /// Returns the admitted share of the requests of a customer.
    pub fn of(&self, customer: &Option<CustomerId>) -> PartsPerMillion {
        match &self.customers {
            Some(customers) => customers.get(customer).copied().unwrap_or(PartsPerMillion::ONE),
            None => self.admitted,
        }
    }
}

/// Admitted shares of an overloaded back end; what is not listed is admitted.
#[value]
pub struct AdmittedShares {
    /// The back end.
    pub back_end: BackEndId,
    /// Overloaded ranges of keys, sorted.
    pub ranges: Vec<KeyedShare>,
    /// Priorities of a pooled back end whose requests are not all admitted.
    pub priorities: Vec<PriorityShare>,
}
