//! Withdrawals of zones and targets from service.

use wagtailmoor_derive::value;

/// A period during which a zone or a target was out of service.
#[value]
pub struct Withdrawal {
    /// Withdrawn zone; `None` if a single target was withdrawn.
    pub zone: Option<String>,
    /// Withdrawn target; `None` if a whole zone was withdrawn.
    pub target: Option<String>,
    /// Start of the withdrawal in microseconds since the Unix epoch.
    pub from_us: u64,
    /// Return to service in microseconds since the Unix epoch; `None` if it did not return.
    pub until_us: Option<u64>,
}
