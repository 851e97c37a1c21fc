//! Changes that operators make.

use wagtailmoor_core::{
    CustomerId, CustomerKeyId, HostId, KeyDigest, RegionId, TargetId, TemplateId, ZoneId,
};
use wagtailmoor_derive::value;

use crate::{Customer, ServiceState, Template};

/// One change of the configuration.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces a template.
    ApplyTemplate(Template),
    /// Removes a template that no customer uses.
    RemoveTemplate(TemplateId),
    /// Creates or replaces a customer.
    SetCustomer(Customer),
    /// Removes a customer and its keys.
    RemoveCustomer(CustomerId),
    /// Creates a key that authenticates requests as a customer.
    GrantKey {
        /// Public name of the key.
        key: CustomerKeyId,
        /// Digest of the key.
        digest: KeyDigest,
        /// Customer that the key authenticates.
        customer: CustomerId,
    },
    /// Withdraws a key.
    WithdrawKey(CustomerKeyId),
    /// Creates a zone, takes it out of service or puts it back in service.
    SetZone {
        /// The zone.
        zone: ZoneId,
        /// Region of the zone.
        region: RegionId,
        /// Whether the zone takes new work.
        state: ServiceState,
    },
    /// Takes a host out of service or puts it back in service.
    SetHost {
        /// The host.
        host: HostId,
        /// Whether the host takes new work.
        state: ServiceState,
    },
    /// Takes a target out of service or puts it back in service.
    SetTarget {
        /// The target.
        target: TargetId,
        /// Whether the target takes new work.
        state: ServiceState,
    },
}

impl Change {
    /// Returns the name of the kind of change for logs and lists.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ApplyTemplate(_) => "apply-template",
            Self::RemoveTemplate(_) => "remove-template",
            Self::SetCustomer(_) => "set-customer",
            Self::RemoveCustomer(_) => "remove-customer",
            Self::GrantKey { .. } => "grant-key",
            Self::WithdrawKey(_) => "withdraw-key",
            Self::SetZone { .. } => "set-zone",
            Self::SetHost { .. } => "set-host",
            Self::SetTarget { .. } => "set-target",
        }
    }

    /// Returns the id of the template, customer, key, zone, host or target that is changed.
    pub fn subject(&self) -> &str {
        match self {
            Self::ApplyTemplate(template) => template.template.as_str(),
            Self::RemoveTemplate(template) => template.as_str(),
            Self::SetCustomer(customer) => customer.customer.as_str(),
            Self::RemoveCustomer(customer) => customer.as_str(),
            Self::GrantKey { key, .. } | Self::WithdrawKey(key) => key.as_str(),
            Self::SetZone { zone, .. } => zone.as_str(),
            Self::SetHost { host, .. } => host.as_str(),
            Self::SetTarget { target, .. } => target.as_str(),
        }
    }
}
