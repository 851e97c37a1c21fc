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
    /// Time of the return to service in microseconds since the Unix epoch; `None` if the zone or
    /// target did not return.
    pub until_us: Option<u64>,
}
