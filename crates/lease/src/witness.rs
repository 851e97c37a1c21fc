//! Promises and consents that this zone gives to other zones about their tenure.

use wagtailmoor_core::{Instant, SortedVec, ZoneId};

use crate::{LeaseSettings, ZoneRequestKind};

/// The part of a controller as witness of other zones. For each zone, keeps the time until which
/// the controller has promised not to consent to the replacement of that zone's panel.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    promised_until: SortedVec<ZoneId, Instant>,
}

impl Witness {
    /// Returns whether a request is granted. `controller_since` is the start of the uninterrupted
    /// time for which this node has been controller.
    ///
    /// An earlier controller of this zone may have given a promise just before it stopped, so a
    /// new controller gives no consent before such a promise has expired.
    pub(crate) fn answer(
        &mut self,
        now: Instant,
        controller_since: Option<Instant>,
        zone: &ZoneId,
        kind: ZoneRequestKind,
        settings: &LeaseSettings,
    ) -> bool {
        let promise_duration = settings.plus_drift(settings.zone_promise_ms);
        let promised_until = self.promised_until.get(zone).copied().unwrap_or_default();
        match (controller_since, kind) {
            (Some(_), ZoneRequestKind::Extend) => {
                self.promised_until
                    .insert(zone.clone(), promised_until.max(now + promise_duration));
                true
            }
            (Some(since), ZoneRequestKind::Consent) => {
                now >= since + promise_duration && now >= promised_until
            }
            (None, _) => false,
        }
    }
}
