//! Files of configuration changes that operators apply.

use wagtailmoor_configuration::{Change, Configuration, Customer, ServiceState, Template};
use wagtailmoor_core::{RegionId, ZoneId};
use wagtailmoor_derive::value;

/// A zone of the site.
#[value]
#[serde(deny_unknown_fields)]
pub struct ZoneSetting {
    /// The zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// The desired zones, templates and customers.
///
/// Applying a file does not change or remove items that it does not contain.
#[value]
#[serde(deny_unknown_fields)]
pub struct ChangeFile {
    /// Zones of the site; existing zones stay unchanged.
    #[serde(default)]
    pub zones: Vec<ZoneSetting>,
    /// Templates to create or replace.
    #[serde(default)]
    pub templates: Vec<Template>,
    /// Customers to create or replace.
    #[serde(default)]
    pub customers: Vec<Customer>,
}

impl ChangeFile {
    /// Returns the changes that apply the file to the present configuration, in order.
    pub fn changes(&self, present: &Configuration) -> Vec<Change> {
        let zones = self
            .zones
            .iter()
            .filter(|zone| present.zones().all(|(known, _)| known != &zone.zone))
            .map(|zone| Change::SetZone {
                zone: zone.zone.clone(),
                region: zone.region.clone(),
                state: ServiceState::In,
            });
        let templates = self
            .templates
            .iter()
            .filter(|template| present.template(&template.template) != Some(template))
            .cloned()
            .map(Change::ApplyTemplate);
        let customers = self
            .customers
            .iter()
            .filter(|customer| present.customer(&customer.customer) != Some(customer))
            .cloned()
            .map(Change::SetCustomer);
        zones.chain(templates).chain(customers).collect()
    }
}
