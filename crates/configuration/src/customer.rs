//! Customers and their parameters.

use std::sync::Arc;

use wagtailmoor_core::{CustomerId, Requests, RequestsPerSecond, TemplateId, Weight};
use wagtailmoor_derive::value;

use crate::{ChangeError, RouteTemplate, Template};

fn default_weight() -> Weight {
    Weight::new(1)
}

/// A customer and its parameters.
#[value]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Id of the customer.
    pub customer: CustomerId,
    /// Template that the customer uses.
    pub template: TemplateId,
    /// Requests per second, in total over all hosts.
    pub rate_per_s: RequestsPerSecond,
    /// Requests admitted at once in addition to the rate.
    pub burst: Requests,
    /// Share of the capacity under contention, relative to other customers.
    #[serde(default = "default_weight")]
    pub weight: Weight,
    /// Names of routes that need no key for this customer, in addition to the template's.
    #[serde(default)]
    pub open_routes: Vec<Arc<str>>,
    /// Names of routes that are not idempotent for this customer, in addition to the template's.
    #[serde(default)]
    pub non_idempotent_routes: Vec<Arc<str>>,
}

impl Customer {
    /// Returns whether requests to a route need no key for this customer.
    pub fn is_open(&self, route: &RouteTemplate) -> bool {
        route.open || self.open_routes.contains(&route.route)
    }

    /// Returns whether a request to a route may run more than once for this customer.
    pub fn is_idempotent(&self, route: &RouteTemplate) -> bool {
        route.idempotent && !self.non_idempotent_routes.contains(&route.route)
    }

    pub(crate) fn check(&self, template: &Template) -> Result<(), ChangeError> {
        let rate = u64::from(self.rate_per_s.get());
        ChangeError::check_range("rate_per_s", rate, 1, 100_000_000)?;
        ChangeError::check_range("burst", u64::from(self.burst.get()), 1, 100_000_000)?;
        ChangeError::check_range("weight", u64::from(self.weight.get()), 1, 1_000_000)?;
        self.open_routes.iter().try_for_each(|name| check_open(template, name))?;
        self.non_idempotent_routes
            .iter()
            .try_for_each(|name| find_route(template, "non_idempotent_routes", name).map(|_| ()))
    }
}

fn check_open(template: &Template, name: &Arc<str>) -> Result<(), ChangeError> {
    match find_route(template, "open_routes", name)? {
        route if route.path.has_customer() => Ok(()),
        _ => Err(ChangeError::invalid(
            format!("open_routes[{name}]").into(),
            "needs {customer} in its path to be open for one customer only",
        )),
    }
}

fn find_route<'a>(
    template: &'a Template,
    field: &str,
    name: &Arc<str>,
) -> Result<&'a RouteTemplate, ChangeError> {
    template.route(name).ok_or_else(|| {
        ChangeError::invalid(format!("{field}[{name}]").into(), "names no route of the template")
    })
}
