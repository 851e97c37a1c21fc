//! Protocol violations by the router, as recorded by targets.

use wagtailmoor_derive::value;

/// A protocol violation by the router that a target recorded.
#[value]
pub struct Violation {
    /// Target that recorded the violation.
    pub target: String,
    /// Kind: `cold-overload`, `connections` or `customer-key`.
    pub kind: String,
    /// Description for reports.
    pub detail: String,
    /// Time of the violation in microseconds since the Unix epoch.
    pub at_us: u64,
}
