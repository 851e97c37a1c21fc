//! Templates: settings shared by the customers of one kind of service.

use std::sync::Arc;

use wagtailmoor_core::{PartsPerMillion, TemplateId};
use wagtailmoor_derive::value;

use crate::{BackEndKind, BackEndTemplate, ChangeError, Objective, RouteTemplate};

fn default_key_staleness_max_ms() -> u64 {
    300_000
}

fn default_static_share_ppm() -> PartsPerMillion {
    PartsPerMillion::new(100_000)
}

/// Settings shared by the customers of one kind of service.
#[value]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Id of the template.
    pub template: TemplateId,
    /// Back ends of the service.
    pub back_ends: Vec<BackEndTemplate>,
    /// Routes in order of precedence.
    pub routes: Vec<RouteTemplate>,
    /// Service-level objectives.
    #[serde(default)]
    pub objective: Objective,
    /// Maximum age of the configuration with which customer keys are still accepted.
    #[serde(default = "default_key_staleness_max_ms")]
    pub key_staleness_max_ms: u64,
    /// Share of a customer's rate that is divided evenly among the zones.
    #[serde(default = "default_static_share_ppm")]
    pub static_share_ppm: PartsPerMillion,
}

impl Template {
    /// Returns the back end of a route.
    pub fn back_end(&self, route: &RouteTemplate) -> Option<&BackEndTemplate> {
        self.back_ends.iter().find(|back_end| back_end.back_end == route.back_end)
    }

    /// Returns the route with a name.
    pub fn route(&self, name: &str) -> Option<&RouteTemplate> {
        self.routes.iter().find(|route| &*route.route == name)
    }

    /// Checks every field.
    ///
    /// # Errors
    ///
    /// The first field that is out of range or contradicts another.
    pub fn check(&self) -> Result<(), ChangeError> {
        ChangeError::check_range(
            "key_staleness_max_ms",
            self.key_staleness_max_ms,
            1_000,
            86_400_000,
        )?;
        let static_share = u64::from(self.static_share_ppm.get());
        ChangeError::check_range("static_share_ppm", static_share, 0, 1_000_000)?;
        let one = u64::from(PartsPerMillion::ONE.get());
        let availability = u64::from(self.objective.availability_ppm.get());
        ChangeError::check_range("objective.availability_ppm", availability, 1, one - 1)?;
        let latency_share = u64::from(self.objective.latency_share_ppm.get());
        ChangeError::check_range("objective.latency_share_ppm", latency_share, 1, one - 1)?;
        self.back_ends.iter().try_for_each(BackEndTemplate::check)?;
        self.check_unique("back_ends", self.back_ends.iter().map(|entry| entry.back_end.as_str()))?;
        self.check_unique("routes", self.routes.iter().map(|entry| &*entry.route))?;
        self.routes.iter().try_for_each(|route| self.check_route(route))
    }

    fn check_route(&self, route: &RouteTemplate) -> Result<(), ChangeError> {
        let field = |name: &str| -> Arc<str> { format!("routes[{}].{name}", route.route).into() };
        let back_end = self.back_end(route);
        match back_end.map(|back_end| back_end.kind) {
            None => {
                Err(ChangeError::invalid(field("back_end"), "names no back end of the template"))
            }
            Some(BackEndKind::Keyed) if !route.path.has_key() => Err(ChangeError::invalid(
                field("path"),
                "needs {key} because its back end is keyed",
            )),
            _ if route.methods.is_empty() => {
                Err(ChangeError::invalid(field("methods"), "is empty"))
            }
            _ if route.methods.iter().any(|method| !is_method(method)) => Err(
                ChangeError::invalid(field("methods"), "contains a method that is not upper case"),
            ),
            _ => Ok(()),
        }
    }

    fn check_unique<'a>(
        &self,
        list: &str,
        names: impl Iterator<Item = &'a str>,
    ) -> Result<(), ChangeError> {
        let mut sorted: Vec<&str> = names.collect();
        sorted.sort_unstable();
        match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(ChangeError::invalid(
                format!("{list}[{}]", pair[0]).into(),
                "is given more than once",
            )),
            None => Ok(()),
        }
    }
}

fn is_method(method: &str) -> bool {
    !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
}
