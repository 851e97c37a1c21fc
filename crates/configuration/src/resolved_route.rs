//! The route of a request with the related settings.

use crate::{BackEndTemplate, Customer, RouteTemplate, Template};

/// The route of a request with its back end, key and customer.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedRoute<'a> {
    /// Template of the route.
    pub template: &'a Template,
    /// The route.
    pub route: &'a RouteTemplate,
    /// Back end of the route.
    pub back_end: &'a BackEndTemplate,
    /// Application key found in the path.
    pub key: Option<&'a str>,
    /// Customer of the request; `None` on open routes without `{customer}`.
    pub customer: Option<&'a Customer>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}
