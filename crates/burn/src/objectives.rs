//! The objectives of a site.

use wagtailmoor_configuration::{Objective, Template};
use wagtailmoor_core::{SortedVec, TemplateId};

/// The objectives of a site by template.
#[derive(Clone, Debug, Default)]
pub struct Objectives {
    by_template: SortedVec<TemplateId, Objective>,
}

impl Objectives {
    /// Collects the objectives of the templates.
    pub fn new(templates: &[Template]) -> Self {
        let entry = |template: &Template| (template.template.clone(), template.objective.clone());
        Self { by_template: templates.iter().map(entry).collect() }
    }

    /// Returns the objective of a template; `None` if the site has no such template.
    pub fn get(&self, template: Option<&TemplateId>) -> Option<&Objective> {
        template.and_then(|template| self.by_template.get(template))
    }

    /// Returns the objective of a template, or the default objective if the site has no such
    /// template.
    ///
    /// Requests that are refused before their route is known have no template, but the default
    /// objective covers them.
    pub fn get_or_default(&self, template: Option<&TemplateId>) -> Objective {
        self.get(template).cloned().unwrap_or_default()
    }
}
