//! Times of the routes to a back end.

use std::time::Duration;

use crate::RouteRule;

/// Bounds of the times of all routes to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RouteTimes {
    pub(crate) shortest_objective: Duration,
    pub(crate) longest_timeout: Duration,
}

impl RouteTimes {
    pub(crate) fn of(route: &RouteRule) -> Self {
        Self { shortest_objective: route.objective, longest_timeout: route.timeout }
    }

    /// Includes another route.
    pub(crate) fn include(&mut self, route: &RouteRule) {
        self.shortest_objective = self.shortest_objective.min(route.objective);
        self.longest_timeout = self.longest_timeout.max(route.timeout);
    }
}
