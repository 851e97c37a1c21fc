//! Routes from paths to back ends.

use std::sync::Arc;

use wagtailmoor_core::BackEndId;
use wagtailmoor_derive::{scalar, value};

use crate::PathPattern;

/// Whether a non-idempotent request must carry an `Idempotency-Key`.
#[scalar]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyKeyUse {
    /// A request without the header is refused.
    #[default]
    Required,
    /// A request without the header is not deduplicated, so a repetition runs again.
    Optional,
}

/// A route from a path to a back end.
#[value]
#[serde(deny_unknown_fields)]
pub struct RouteTemplate {
    /// Name of the route within its template.
    pub route: Arc<str>,
    /// Pattern of the paths that the route matches.
    pub path: PathPattern,
    /// HTTP methods that the route matches, in upper case.
    pub methods: Vec<Arc<str>>,
    /// Back end that serves the route.
    pub back_end: BackEndId,
    /// Whether the route needs no customer key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether a non-idempotent request must carry an `Idempotency-Key`.
    #[serde(default)]
    pub idempotency_key: IdempotencyKeyUse,
}

impl RouteTemplate {
    /// Returns whether the route matches a method.
    pub fn matches_method(&self, method: &str) -> bool {
        self.methods.iter().any(|candidate| &**candidate == method)
    }
}
