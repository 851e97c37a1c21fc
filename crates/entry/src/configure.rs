//! Application of the configuration, the host list and the load reports to the state machines.

use wagtailmoor_configuration::{BackEndTemplate, Configuration};
use wagtailmoor_core::{
    BackEndId, CustomerId, Instant, Requests, SortedVec, TargetId, Weight, ZoneId,
};
use wagtailmoor_dispatch::{Member, MemberState};
use wagtailmoor_limits::{
    CreditTerms, PermitHolder, PermitSettings, ResourceId, ResourceKind, zone_share,
};
use wagtailmoor_ownership::{Input, Output, Target, TargetState, ZoneState};

use crate::back_end::BackEnd;
use crate::directory::DirectoryEntry;
use crate::state::State;
use crate::zone_role::Issuers;

impl State {
    /// Applies the configuration, the host list and the load reports to all state machines.
    #[must_use]
    pub(crate) fn configure(&mut self, now: Instant) -> Vec<(ZoneId, Output)> {
        let configuration = self.propagation.configuration().clone();
        self.configure_customers(now, &configuration);
        self.configure_back_ends(&configuration);
        self.configure_members(now, &configuration);
        self.configure_permits(now);
        self.configure_lease(now, &configuration);
        let zones: Vec<ZoneId> = self.roles.keys().cloned().collect();
        zones.iter().for_each(|zone| self.configure_issuers(now, zone));
        self.configure_ownership(now, &configuration)
    }

    fn configure_customers(&mut self, now: Instant, configuration: &Configuration) {
        let zones = self.zones();
        self.credits.set_zones(now, &zones);
        let present: Vec<CustomerId> =
            configuration.customers().map(|customer| customer.customer.clone()).collect();
        let removed = self.customers.iter().filter(|known| !present.contains(known));
        removed.for_each(|customer| self.credits.remove_customer(customer));
        for customer in &present {
            let home = configuration.home_zone(customer).unwrap_or(&self.settings.zone);
            self.credits.set_customer(customer, home);
        }
        self.customers = present;
    }

    fn configure_back_ends(&mut self, configuration: &Configuration) {
        let templates: SortedVec<BackEndId, BackEndTemplate> = configuration
            .templates()
            .flat_map(|template| &template.back_ends)
            .map(|back_end| (back_end.back_end.clone(), back_end.clone()))
            .collect();
        self.back_ends.retain(|back_end, _| templates.contains_key(back_end));
        let (zone, limits) = (self.settings.zone.clone(), self.queue_limits());
        for template in templates.values() {
            let make = || BackEnd::new(&zone, template, &limits);
            let back_end = self.back_ends.get_or_insert_with(template.back_end.clone(), make);
            match back_end.template == *template {
                true => {}
                false => back_end.template = template.clone(),
            }
        }
    }

    fn configure_members(&mut self, now: Instant, configuration: &Configuration) {
        if !self.host_list_received {
            return;
        }
        let directory = &self.directory;
        for (id, back_end) in self.back_ends.iter_mut() {
            let slots = Requests::new(back_end.template.slots);
            let members = directory
                .iter()
                .filter(|(_, entry)| entry.back_end == *id)
                .map(|(target, entry)| Member {
                    target: target.clone(),
                    zone: entry.zone.clone(),
                    slots,
                    state: member_state(configuration, target, entry),
                })
                .collect();
            back_end.targets.set_members(now, members);
        }
    }

    fn configure_permits(&mut self, now: Instant) {
        let (node, incarnation) = (self.settings.node.clone(), self.incarnation);
        let Self { permits, directory, .. } = self;
        for (target, entry) in directory.iter() {
            let holder = permits.get_or_insert_with(entry.zone.clone(), || {
                PermitHolder::new(now, node.clone(), incarnation, permit_settings())
            });
            holder.add_resource(&ResourceId::slots(target.clone()));
            holder.add_resource(&ResourceId::connections(target.clone()));
        }
    }

    fn configure_lease(&mut self, now: Instant, configuration: &Configuration) {
        let region: Vec<ZoneId> = configuration
            .zones()
            .filter(|(_, entry)| entry.region == self.settings.region)
            .map(|(zone, _)| zone.clone())
            .collect();
        region.iter().for_each(|zone| self.add_role(now, zone));
        for (zone, role) in self.roles.iter_mut() {
            let others = region.iter().filter(|other| *other != zone).cloned().collect();
            role.candidate.set_other_zones(others);
        }
    }

    /// Applies the configuration to the issuers of a zone, if this node runs them.
    pub(crate) fn configure_issuers(&mut self, now: Instant, zone: &ZoneId) {
        let zones = self.zones();
        let issuers = self.roles.get_mut(zone).and_then(|role| role.issuers.as_mut());
        let Some(Issuers { credits, permits }) = issuers else { return };
        let configuration = self.propagation.configuration();
        let count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        for customer in configuration.customers() {
            let Some(template) = configuration.template(&customer.template) else { continue };
            let home = configuration.home_zone(&customer.customer);
            let is_home = home.is_none_or(|home| home == zone);
            let terms = CreditTerms {
                rate: customer.rate_per_s,
                burst: customer.burst,
                share: zone_share(template.static_share_ppm, count, is_home),
            };
            credits.set_customer(now, &customer.customer, terms);
        }
        for (target, entry) in self.directory.iter() {
            let Some(back_end) = self.back_ends.get(&entry.back_end) else { continue };
            if entry.zone != *zone {
                continue;
            }
            for kind in [ResourceKind::Slots, ResourceKind::Connections] {
                let resource = ResourceId { target: target.clone(), kind };
                permits.set_limit(&resource, back_end.permit_limit(kind));
            }
        }
    }

    fn configure_ownership(
        &mut self,
        now: Instant,
        configuration: &Configuration,
    ) -> Vec<(ZoneId, Output)> {
        let keyed: Vec<&BackEnd> =
            self.back_ends.values().filter(|back_end| back_end.is_keyed()).collect();
        let settings: Vec<_> = keyed.iter().map(|back_end| back_end.ownership_settings()).collect();
        let ids = keyed.iter().map(|back_end| back_end.template.back_end.clone());
        let target_inputs = ids.map(|back_end| {
            let targets = self.ownership_targets(configuration, &back_end);
            Input::Targets { back_end, targets }
        });
        let mut inputs =
            vec![Input::BackEnds(settings), Input::Zones(self.zone_states(configuration))];
        inputs.extend(target_inputs.filter(|_| self.host_list_received));
        let mut outputs = Vec::new();
        for (zone, role) in self.roles.iter_mut() {
            for input in &inputs {
                let zone_outputs = role.ownership.handle(now, input.clone()).into_iter();
                outputs.extend(zone_outputs.map(|output| (zone.clone(), output)));
            }
        }
        outputs
    }

    fn zone_states(&self, configuration: &Configuration) -> Vec<ZoneState> {
        self.zones()
            .into_iter()
            .map(|zone| ZoneState {
                in_service: configuration.is_zone_in_service(&zone)
                    && self.has_responsive_target(&zone),
                weight: Weight::new(self.keyed_targets_in(&zone)),
                zone,
            })
            .collect()
    }

    /// Returns whether a keyed target of a zone is responsive, or the zone has none.
    ///
    /// The keys of a zone whose targets are all unresponsive move to other zones, as in a drain.
    fn has_responsive_target(&self, zone: &ZoneId) -> bool {
        let keyed = |id: &BackEndId| self.back_ends.get(id).is_some_and(BackEnd::is_keyed);
        let in_zone = self.directory.iter().map(|(_, entry)| entry);
        let mut targets =
            in_zone.filter(|entry| entry.zone == *zone && keyed(&entry.back_end)).peekable();
        targets.peek().is_none() || targets.any(|entry| !entry.is_unresponsive())
    }

    fn keyed_targets_in(&self, zone: &ZoneId) -> u32 {
        let keyed = |id: &BackEndId| self.back_ends.get(id).is_some_and(BackEnd::is_keyed);
        let targets = self
            .directory
            .iter()
            .filter(|(_, entry)| entry.zone == *zone && keyed(&entry.back_end));
        u32::try_from(targets.count()).unwrap_or(u32::MAX).max(1)
    }

    fn ownership_targets(
        &self,
        configuration: &Configuration,
        back_end: &BackEndId,
    ) -> Vec<Target> {
        self.directory
            .iter()
            .filter(|(_, entry)| entry.back_end == *back_end)
            .map(|(target, entry)| Target {
                target: target.clone(),
                zone: entry.zone.clone(),
                capacity: Weight::new(1),
                state: target_state(configuration, target, entry),
            })
            .collect()
    }
}

/// Keeps one permit per target without demand. A node sends to each of many targets only rarely,
/// and a request without a permit waits for up to one interval of the permit holder.
fn permit_settings() -> PermitSettings {
    PermitSettings { min_held: 1, ..PermitSettings::default() }
}

fn member_state(
    configuration: &Configuration,
    target: &TargetId,
    entry: &DirectoryEntry,
) -> MemberState {
    match () {
        () if !configuration.is_target_in_service(target) => MemberState::Out,
        () if !configuration.is_zone_in_service(&entry.zone) => MemberState::Out,
        () if entry.leaving || entry.draining => MemberState::Leaving,
        () => MemberState::Live,
    }
}

fn target_state(
    configuration: &Configuration,
    target: &TargetId,
    entry: &DirectoryEntry,
) -> TargetState {
    match () {
        () if !configuration.is_target_in_service(target) => TargetState::Leaving,
        () if entry.leaving || entry.draining => TargetState::Leaving,
        () if entry.cold => TargetState::Cold,
        () => TargetState::Live,
    }
}

/// Returns the zone whose controller issues the permits of a target.
pub(crate) fn permit_zone<'a>(state: &'a State, target: &TargetId) -> Option<&'a ZoneId> {
    state.directory.get(target).map(|entry| &entry.zone)
}
