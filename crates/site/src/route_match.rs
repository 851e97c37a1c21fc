//! Result of looking up the route of a request.

use crate::RouteRule;

/// The route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch<'c> {
    /// The route with the longest matching prefix.
    Usable(&'c RouteRule),
    /// The route with the longest matching prefix cannot be used.
    Unusable,
    /// No route matches.
    Unknown,
}
