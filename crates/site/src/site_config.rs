//! The operators' configuration of a site.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{BackEndId, ConfigVersion, CustomerId, KeyDigest, SortedVec};

use crate::route_times::RouteTimes;
use crate::{
    BackEndRule, ClientLimits, CustomerRule, ElementKind, KeyMatch, RouteMatch, RouteRule,
    UnusableElements, UnusableReport,
};

/// The operators' configuration of a site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteConfig {
    version: ConfigVersion,
    /// Routes, sorted by host and prefix.
    routes: Vec<Arc<RouteRule>>,
    route_times: SortedVec<BackEndId, RouteTimes>,
    streams_requests: bool,
    back_ends: SortedVec<BackEndId, BackEndRule>,
    customers: SortedVec<CustomerId, CustomerRule>,
    keys: SortedVec<KeyDigest, CustomerId>,
    limits: ClientLimits,
    /// Hosts and prefixes of unusable routes, sorted.
    unusable_routes: Vec<(Arc<str>, Arc<str>)>,
    unusable_back_ends: SortedVec<BackEndId, ()>,
    unnamed_back_ends: bool,
    unusable_keys: SortedVec<KeyDigest, ()>,
    unread_keys: bool,
    unread_customers: bool,
    report: UnusableReport,
}

impl SiteConfig {
    /// Creates a configuration. Versions share the routes that do not change.
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<Arc<RouteRule>>,
        back_ends: Vec<BackEndRule>,
        customers: Vec<(CustomerRule, Vec<KeyDigest>)>,
        limits: ClientLimits,
    ) -> Self {
        routes.sort_by(|left, right| (&left.host, &left.prefix).cmp(&(&right.host, &right.prefix)));
        let route_times = times_by_back_end(&routes);
        let streams_requests = routes.iter().any(|route| route.streamed);
        let keys = customers
            .iter()
            .flat_map(|(rule, keys)| keys.iter().map(|key| (*key, rule.customer.clone())));
        let keys = collect_sorted(keys);
        let customers = customers.into_iter().map(|(rule, _)| (rule.customer.clone(), rule));
        let customers = collect_sorted(customers);
        let back_ends = back_ends.into_iter().map(|rule| (rule.back_end.clone(), rule));
        let back_ends = collect_sorted(back_ends);
        Self {
            version,
            routes,
            route_times,
            streams_requests,
            back_ends,
            customers,
            keys,
            limits,
            ..Self::default()
        }
    }

    /// Adds the elements that could not be used. They take precedence over usable elements of the
    /// same name, prefix or key.
    pub fn with_unusable(self, unusable: UnusableElements) -> Self {
        let mut unusable_routes = unusable.routes;
        unusable_routes.sort();
        let mut config = Self {
            unusable_routes,
            unusable_back_ends: collect_sorted(
                unusable.back_ends.into_iter().map(|name| (name, ())),
            ),
            unnamed_back_ends: unusable.unnamed_back_ends,
            unusable_keys: collect_sorted(unusable.keys.into_iter().map(|key| (key, ()))),
            unread_keys: unusable.unread_keys,
            unread_customers: unusable.unread_customers,
            report: unusable.report,
            ..self
        };
        let names = &config.unusable_back_ends;
        config.back_ends.retain(|name, _| !names.contains_key(name));
        config
    }

    /// Returns the report of the elements that could not be used.
    pub fn unusable(&self) -> &UnusableReport {
        &self.report
    }

    /// Returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on the requests and connections of clients.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Finds the route of a request: the route of its host with the longest matching prefix.
    pub fn match_route(&self, host: &str, path: &str) -> RouteMatch<'_> {
        // Prefixes end with a slash, so only a part of the path up to a slash can match.
        let found = path.rmatch_indices('/').find_map(|(slash, _)| {
            let key = (host, &path[..=slash]);
            let unusable = self
                .unusable_routes
                .binary_search_by(|(host, prefix)| (&**host, &**prefix).cmp(&key));
            if unusable.is_ok() {
                return Some(RouteMatch::Unusable);
            }
            let found = self
                .routes
                .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&key))
                .ok()?;
            Some(RouteMatch::Usable(&self.routes[found]))
        });
        found.unwrap_or(RouteMatch::Unknown)
    }

    /// Returns the route of a request if it is usable.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        match self.match_route(host, path) {
            RouteMatch::Usable(route) => Some(route),
            RouteMatch::Unusable | RouteMatch::Unknown => None,
        }
    }

    /// Returns the shortest objective among the routes to a back end.
    pub fn objective(&self, back_end: &BackEndId) -> Option<Duration> {
        self.route_times.get(back_end).map(|times| times.shortest_objective)
    }

    /// Returns whether a route streams the bodies of its requests to targets, as for uploads.
    pub fn streams_requests(&self) -> bool {
        self.streams_requests
    }

    /// Returns the longest timeout among the routes to a back end; zero without routes.
    pub fn longest_timeout(&self, back_end: &BackEndId) -> Duration {
        self.route_times.get(back_end).map(|times| times.longest_timeout).unwrap_or_default()
    }

    /// Finds the customer that holds a key.
    pub fn match_key(&self, key: &KeyDigest) -> KeyMatch<'_> {
        match self.keys.get(key).and_then(|customer| self.customers.get(customer)) {
            _ if self.unusable_keys.contains_key(key) => KeyMatch::Unusable,
            Some(rule) => KeyMatch::Customer(rule),
            None if self.unread_keys || self.unread_customers => KeyMatch::Unlisted,
            None => KeyMatch::Unknown,
        }
    }

    /// Returns the customer that holds a key, if its rules are usable.
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&CustomerRule> {
        match self.match_key(key) {
            KeyMatch::Customer(rule) => Some(rule),
            KeyMatch::Unusable | KeyMatch::Unlisted | KeyMatch::Unknown => None,
        }
    }

    /// Returns the limits of a customer.
    pub fn customer(&self, customer: &CustomerId) -> Option<&CustomerRule> {
        self.customers.get(customer)
    }

    /// Returns whether any customer is configured, usable or not; if not, every route is open.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty() || self.report.count(ElementKind::Customer) > 0
    }

    /// Returns whether the list of customers could not be read.
    pub fn has_unread_customers(&self) -> bool {
        self.unread_customers
    }

    /// Returns a back end.
    pub fn back_end(&self, back_end: &BackEndId) -> Option<&BackEndRule> {
        self.back_ends.get(back_end)
    }

    /// Returns whether the description of a back end could not be used, or may be one of those
    /// that could not be read.
    pub fn is_back_end_unusable(&self, back_end: &BackEndId) -> bool {
        let may_be_unnamed = self.unnamed_back_ends && !self.back_ends.contains_key(back_end);
        may_be_unnamed || self.unusable_back_ends.contains_key(back_end)
    }

    /// Iterates over the back ends.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndRule> {
        self.back_ends.values()
    }

    /// Iterates over the customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerRule> {
        self.customers.values()
    }
}

fn times_by_back_end(routes: &[Arc<RouteRule>]) -> SortedVec<BackEndId, RouteTimes> {
    let mut times = SortedVec::new();
    for route in routes {
        for part in &route.split {
            times
                .get_or_insert_with(part.back_end.clone(), || RouteTimes::of(route))
                .include(route);
        }
    }
    times
}

/// Collects entries in any order, of which the last one for a key counts. Insertion in key order
/// moves no other entry, so that the time does not grow with the square of their number.
fn collect_sorted<K: Ord, V>(entries: impl Iterator<Item = (K, V)>) -> SortedVec<K, V> {
    let mut entries: Vec<(K, V)> = entries.collect();
    entries.sort_by(|(left, _), (right, _)| left.cmp(right));
    entries.into_iter().collect()
}
