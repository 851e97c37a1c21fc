//! Customer and template of requests.

use std::fmt::{Display, Formatter, Result as FmtResult};

use serde::Serialize;
use wagtailmoor_core::{CustomerId, TemplateId};

/// Customer and template of requests; `None` if a request was refused before they were known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Subject {
    /// Customer that sent the requests.
    pub customer: Option<CustomerId>,
    /// Template that the requested route belongs to.
    pub template: Option<TemplateId>,
}

impl Subject {
    /// Returns the customer as text, `-` if there is none.
    pub fn customer_text(&self) -> &str {
        self.customer.as_ref().map_or("-", CustomerId::as_str)
    }

    /// Returns the template as text, `-` if there is none.
    pub fn template_text(&self) -> &str {
        self.template.as_ref().map_or("-", TemplateId::as_str)
    }
}

impl Display for Subject {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{} {}", self.customer_text(), self.template_text())
    }
}
