//! The operators' configuration of a site.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, ConfigVersion, CustomerId, KeyDigest, SortedVec};

use crate::{BackEndRule, ClientLimits, CustomerRule, RouteRule};

/// The operators' configuration of a site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteConfig {
    version: ConfigVersion,
    /// Routes, sorted by host and prefix.
    routes: Vec<RouteRule>,
    back_ends: SortedVec<BackEndId, BackEndRule>,
    customers: SortedVec<CustomerId, CustomerRule>,
    keys: SortedVec<KeyDigest, CustomerId>,
    limits: ClientLimits,
}

impl SiteConfig {
    /// Creates a configuration.
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<RouteRule>,
        back_ends: Vec<BackEndRule>,
        customers: Vec<(CustomerRule, Vec<KeyDigest>)>,
        limits: ClientLimits,
    ) -> Self {
        routes.sort_by(|left, right| (&left.host, &left.prefix).cmp(&(&right.host, &right.prefix)));
        let keys = customers
            .iter()
            .flat_map(|(rule, keys)| keys.iter().map(|key| (*key, rule.customer.clone())))
            .collect();
        let customers =
            customers.into_iter().map(|(rule, _)| (rule.customer.clone(), rule)).collect();
        let back_ends = back_ends.into_iter().map(|rule| (rule.back_end.clone(), rule)).collect();
        Self { version, routes, back_ends, customers, keys, limits }
    }

    /// Returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on the requests and connections of clients.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the route of a request: the route of its host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        // Prefixes end with a slash, so only a part of the path up to a slash can match.
        path.rmatch_indices('/').find_map(|(slash, _)| {
            let prefix = &path[..=slash];
            let key = (host, prefix);
            let found = self
                .routes
                .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&key))
                .ok()?;
            Some(&self.routes[found])
        })
    }

    /// Returns the shortest objective among the routes to a back end.
    pub fn objective(&self, back_end: &BackEndId) -> Option<Duration> {
        let leads_to =
            |route: &&RouteRule| route.split.iter().any(|part| part.back_end == *back_end);
        self.routes.iter().filter(leads_to).map(|route| route.objective).min()
    }

    /// Returns the longest timeout among the routes to a back end; zero without routes.
    pub fn longest_timeout(&self, back_end: &BackEndId) -> Duration {
        let leads_to =
            |route: &&RouteRule| route.split.iter().any(|part| part.back_end == *back_end);
        self.routes.iter().filter(leads_to).map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Returns the customer that holds a key.
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&CustomerRule> {
        self.customers.get(self.keys.get(key)?)
    }

    /// Returns the limits of a customer.
    pub fn customer(&self, customer: &CustomerId) -> Option<&CustomerRule> {
        self.customers.get(customer)
    }

    /// Returns whether any customer is configured; if not, every route is open.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns a back end.
    pub fn back_end(&self, back_end: &BackEndId) -> Option<&BackEndRule> {
        self.back_ends.get(back_end)
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
