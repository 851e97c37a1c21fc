//! Routing rules from hosts and paths to back ends.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{BackEndId, Weight};
use wagtailmoor_derive::value;

/// A back end that takes a share of a route's requests.
#[value]
pub struct SplitPart {
    /// The back end.
    pub back_end: BackEndId,
    /// Its share relative to the other parts.
    pub weight: Weight,
}

/// A route from a host and a path prefix to one or more back ends.
#[value]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Value of the request's `Host` field.
    pub host: Arc<str>,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Back ends of the route; never empty.
    pub split: Vec<SplitPart>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether responses are large.
    pub bulk: bool,
    /// Whether the body of a request is sent on as it arrives and is not kept for another attempt.
    /// A request of which any byte was sent is then never sent again.
    pub streamed: bool,
    /// Maximum time until a request is answered or refused.
    pub timeout: Duration,
    /// Latency objective of a response.
    pub objective: Duration,
    /// Maximum targets to which one request is sent.
    pub attempts_max: u8,
    /// Priority of the requests, zero being the highest.
    pub priority: u8,
    /// Whether the route is open to requests without a customer key.
    pub open: bool,
}
