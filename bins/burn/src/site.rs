//! The site file.

use std::path::Path;

use wagtailmoor_burn::{MetricAggregator, Objectives};
use wagtailmoor_settings::{ChangeFile, SettingsError, load};

/// Reads and checks a site file.
pub(crate) fn read(path: &Path) -> Result<ChangeFile, SettingsError> {
    let file: ChangeFile = load(path)?;
    let invalid = |field: String, problem: String| SettingsError::Invalid {
        path: path.into(),
        field,
        problem,
    };
    if file.templates.is_empty() {
        return Err(invalid("templates".into(), "contains no template".into()));
    }
    for (index, template) in file.templates.iter().enumerate() {
        let field = format!("templates[{}]", template.template);
        let check = template.check();
        check.map_err(|error| invalid(field.clone(), error.to_string()))?;
        let mut previous = file.templates[..index].iter();
        if previous.any(|other| other.template == template.template) {
            return Err(invalid(field, "is given more than once".into()));
        }
    }
    Ok(file)
}

/// Creates the counters for the templates and customers of a site.
pub(crate) fn aggregator(site: &ChangeFile) -> MetricAggregator {
    let customers = site.customers.iter().map(|customer| customer.customer.clone());
    MetricAggregator::new(Objectives::new(&site.templates), customers.collect())
}
