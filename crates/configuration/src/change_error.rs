//! Why a change is refused.

use std::sync::Arc;

use snafu::Snafu;
use wagtailmoor_core::{ConfigVersion, CustomerId, CustomerKeyId, TemplateId, ZoneId};

/// Why a change is refused. The configuration is then unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// A field is out of range or contradicts another.
    #[snafu(display("field {field} {problem}"))]
    InvalidField {
        /// Path of the field.
        field: Arc<str>,
        /// Description of the fault, to follow the name of the field.
        problem: Arc<str>,
    },
    /// The template does not exist.
    #[snafu(display("template {template} does not exist"))]
    UnknownTemplate {
        /// The template.
        template: TemplateId,
    },
    /// The template cannot be removed because a customer uses it.
    #[snafu(display("template {template} is used by customer {customer}"))]
    TemplateInUse {
        /// The template.
        template: TemplateId,
        /// One of its customers.
        customer: CustomerId,
    },
    /// The customer does not exist.
    #[snafu(display("customer {customer} does not exist"))]
    UnknownCustomer {
        /// The customer.
        customer: CustomerId,
    },
    /// The customer key does not exist.
    #[snafu(display("customer key {key} does not exist"))]
    UnknownKey {
        /// The key.
        key: CustomerKeyId,
    },
    /// A customer key with this id or secret exists.
    #[snafu(display("customer key {key} exists already, or another key has the same secret"))]
    KeyExists {
        /// The key.
        key: CustomerKeyId,
    },
    /// The zone does not exist.
    #[snafu(display("zone {zone} does not exist"))]
    UnknownZone {
        /// The zone.
        zone: ZoneId,
    },
    /// The version of the change is not the next version.
    #[snafu(display("change {found} does not follow version {present}"))]
    OutOfOrder {
        /// Version of the configuration.
        present: ConfigVersion,
        /// Version of the change.
        found: ConfigVersion,
    },
}

impl ChangeError {
    pub(crate) fn invalid(field: Arc<str>, problem: &str) -> Self {
        Self::InvalidField { field, problem: problem.into() }
    }

    pub(crate) fn check_range(
        field: &str,
        number: u64,
        lowest: u64,
        highest: u64,
    ) -> Result<(), Self> {
        match number {
            _ if (lowest..=highest).contains(&number) => Ok(()),
            _ => Err(Self::InvalidField {
                field: field.into(),
                problem: format!("is {number}; expected {lowest} to {highest}").into(),
            }),
        }
    }
}
