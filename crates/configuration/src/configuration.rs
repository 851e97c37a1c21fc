//! The configuration that results from all changes.

use wagtailmoor_core::{
    ConfigVersion, CustomerId, CustomerKeyId, HostId, KeyDigest, RegionId, SortedVec, TargetId,
    TemplateId, ZoneId, home_zone,
};
use wagtailmoor_derive::value;

use crate::change_error::{
    KeyExistsSnafu, OutOfOrderSnafu, TemplateInUseSnafu, UnknownCustomerSnafu, UnknownKeySnafu,
    UnknownTemplateSnafu,
};
use crate::{Change, ChangeError, ChangeRecord, Customer, ServiceState, Template};

/// A customer key; only its digest is stored, as the key of the map.
#[value]
pub struct CustomerKey {
    /// Public name of the key.
    pub key: CustomerKeyId,
    /// Customer that the key authenticates.
    pub customer: CustomerId,
}

/// A zone and its state.
#[value]
pub struct ZoneEntry {
    /// Region of the zone.
    pub region: RegionId,
    /// Whether the zone takes new work.
    pub state: ServiceState,
}

/// The configuration at one version.
#[value]
#[derive(Default)]
pub struct Configuration {
    pub(crate) version: ConfigVersion,
    pub(crate) templates: SortedVec<TemplateId, Template>,
    pub(crate) customers: SortedVec<CustomerId, Customer>,
    pub(crate) keys: SortedVec<KeyDigest, CustomerKey>,
    pub(crate) zones: SortedVec<ZoneId, ZoneEntry>,
    pub(crate) hosts_out: SortedVec<HostId, ()>,
    pub(crate) targets_out: SortedVec<TargetId, ()>,
}

impl Configuration {
    /// Returns the number of changes applied.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Iterates over the templates.
    pub fn templates(&self) -> impl Iterator<Item = &Template> {
        self.templates.values()
    }

    /// Iterates over the customers.
    pub fn customers(&self) -> impl Iterator<Item = &Customer> {
        self.customers.values()
    }

    /// Iterates over the customer keys, without their digests.
    pub fn keys(&self) -> impl Iterator<Item = &CustomerKey> {
        self.keys.values()
    }

    /// Iterates over the zones.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &ZoneEntry)> {
        self.zones.iter()
    }

    /// Iterates over the hosts that are out of service.
    pub fn hosts_out(&self) -> impl Iterator<Item = &HostId> {
        self.hosts_out.keys()
    }

    /// Iterates over the targets that are out of service.
    pub fn targets_out(&self) -> impl Iterator<Item = &TargetId> {
        self.targets_out.keys()
    }

    /// Returns a customer.
    pub fn customer(&self, customer: &CustomerId) -> Option<&Customer> {
        self.customers.get(customer)
    }

    /// Returns a template.
    pub fn template(&self, template: &TemplateId) -> Option<&Template> {
        self.templates.get(template)
    }

    /// Returns whether a zone takes new requests; true for an unknown zone.
    pub fn is_zone_in_service(&self, zone: &ZoneId) -> bool {
        self.zones.get(zone).is_none_or(|entry| entry.state == ServiceState::In)
    }

    /// Returns whether operators keep a target in service.
    pub fn is_target_in_service(&self, target: &TargetId) -> bool {
        !self.targets_out.contains_key(target)
    }

    /// Returns whether operators keep a host in service.
    pub fn is_host_in_service(&self, host: &HostId) -> bool {
        !self.hosts_out.contains_key(host)
    }

    /// Returns the zone whose controller issues the credits of a customer.
    ///
    /// The result depends on the zones that exist and not on their state. Two nodes whose versions
    /// differ by a zone taken out of service must not use two issuers.
    pub fn home_zone(&self, customer: &CustomerId) -> Option<&ZoneId> {
        home_zone(customer, self.zones.keys())
    }

    /// Applies the next change.
    ///
    /// # Errors
    ///
    /// The change is invalid or not the next one. The configuration is then unchanged.
    pub fn apply(&mut self, record: &ChangeRecord) -> Result<(), ChangeError> {
        match record.version {
            found if found == self.version.next() => {}
            found => return OutOfOrderSnafu { present: self.version, found }.fail(),
        }
        self.apply_change(&record.change)?;
        self.version = record.version;
        Ok(())
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::ApplyTemplate(template) => self.apply_template(template),
            Change::RemoveTemplate(template) => self.remove_template(template),
            Change::SetCustomer(customer) => self.set_customer(customer),
            Change::RemoveCustomer(customer) => self.remove_customer(customer),
            Change::GrantKey { key, digest, customer } => self.grant_key(key, *digest, customer),
            Change::WithdrawKey(key) => self.withdraw_key(key),
            Change::SetZone { zone, region, state } => {
                let entry = ZoneEntry { region: region.clone(), state: *state };
                self.zones.insert(zone.clone(), entry);
                Ok(())
            }
            Change::SetHost { host, state } => {
                set_state(&mut self.hosts_out, host, *state);
                Ok(())
            }
            Change::SetTarget { target, state } => {
                set_state(&mut self.targets_out, target, *state);
                Ok(())
            }
        }
    }

    fn apply_template(&mut self, template: &Template) -> Result<(), ChangeError> {
        template.check()?;
        self.check_back_ends(template)?;
        self.customers
            .values()
            .filter(|customer| customer.template == template.template)
            .try_for_each(|customer| customer.check(template))?;
        self.templates.insert(template.template.clone(), template.clone());
        Ok(())
    }

    fn check_back_ends(&self, template: &Template) -> Result<(), ChangeError> {
        let mut others = self
            .templates
            .values()
            .filter(|other| other.template != template.template)
            .flat_map(|other| &other.back_ends);
        let conflict = others.find(|other| {
            template
                .back_ends
                .iter()
                .any(|back_end| back_end.back_end == other.back_end && back_end != *other)
        });
        match conflict {
            Some(back_end) => Err(ChangeError::invalid(
                format!("back_ends[{}]", back_end.back_end).into(),
                "differs from the back end of this name in another template",
            )),
            None => Ok(()),
        }
    }

    fn remove_template(&mut self, template: &TemplateId) -> Result<(), ChangeError> {
        match self.customers.values().find(|customer| &customer.template == template) {
            Some(Customer { customer, .. }) => {
                TemplateInUseSnafu { template: template.clone(), customer: customer.clone() }.fail()
            }
            None => match self.templates.remove(template) {
                Some(_) => Ok(()),
                None => UnknownTemplateSnafu { template: template.clone() }.fail(),
            },
        }
    }

    fn set_customer(&mut self, customer: &Customer) -> Result<(), ChangeError> {
        match self.templates.get(&customer.template) {
            Some(template) => customer.check(template)?,
            None => {
                return UnknownTemplateSnafu { template: customer.template.clone() }.fail();
            }
        }
        self.customers.insert(customer.customer.clone(), customer.clone());
        Ok(())
    }

    fn remove_customer(&mut self, customer: &CustomerId) -> Result<(), ChangeError> {
        match self.customers.remove(customer) {
            Some(_) => {
                self.keys.retain(|_, key| &key.customer != customer);
                Ok(())
            }
            None => UnknownCustomerSnafu { customer: customer.clone() }.fail(),
        }
    }

    fn grant_key(
        &mut self,
        key: &CustomerKeyId,
        digest: KeyDigest,
        customer: &CustomerId,
    ) -> Result<(), ChangeError> {
        match () {
            () if !self.customers.contains_key(customer) => {
                UnknownCustomerSnafu { customer: customer.clone() }.fail()
            }
            () if self.keys.contains_key(&digest) || self.has_key(key) => {
                KeyExistsSnafu { key: key.clone() }.fail()
            }
            () => {
                let entry = CustomerKey { key: key.clone(), customer: customer.clone() };
                self.keys.insert(digest, entry);
                Ok(())
            }
        }
    }

    fn withdraw_key(&mut self, key: &CustomerKeyId) -> Result<(), ChangeError> {
        match self.has_key(key) {
            true => {
                self.keys.retain(|_, entry| &entry.key != key);
                Ok(())
            }
            false => UnknownKeySnafu { key: key.clone() }.fail(),
        }
    }

    fn has_key(&self, key: &CustomerKeyId) -> bool {
        self.keys.values().any(|entry| &entry.key == key)
    }
}

fn set_state<K: Ord + Clone>(out: &mut SortedVec<K, ()>, id: &K, state: ServiceState) {
    match state {
        ServiceState::In => out.remove(id),
        ServiceState::Out => out.insert(id.clone(), ()),
    };
}
