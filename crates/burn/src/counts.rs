//! Request counts by result.

use std::ops::AddAssign;

use serde::Serialize;

/// Request counts by result for the objectives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Answered within the latency objective.
    pub good: u64,
    /// Answered after the latency objective.
    pub slow: u64,
    /// Refused because of the system, or of unknown outcome.
    pub errors: u64,
    /// Refused because of the customer's rate limit or a client error, and replies to duplicates;
    /// covered by no objective.
    pub excluded: u64,
}

impl Counts {
    /// Returns the number of answered requests.
    pub const fn answered(&self) -> u64 {
        self.good + self.slow
    }

    /// Returns the number of requests that the availability objective covers.
    pub const fn judged(&self) -> u64 {
        self.answered() + self.errors
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.good += other.good;
        self.slow += other.slow;
        self.errors += other.errors;
        self.excluded += other.excluded;
    }
}
