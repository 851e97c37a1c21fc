//! Context of one call of a controller, and generation of ids.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{GrantId, Instant, SegmentId, WriteId, ZoneId, rendezvous_score};

use crate::controller::ActiveAuthority;
use crate::{OwnershipSettings, ZoneState};

/// Time, authority, zones and settings that apply during one call.
#[derive(Clone, Copy)]
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    /// Whether this node is the controller; a standby only records inputs.
    pub(crate) active: bool,
    pub(crate) authority: ActiveAuthority,
    pub(crate) zone: &'a ZoneId,
    pub(crate) zones: &'a [ZoneState],
    /// When the zone of this controller was taken out of service; `None` while it is in service.
    pub(crate) out_since: Option<Instant>,
    /// Whether the zones changed recently, so that other controllers may still move segments by the
    /// previous state.
    pub(crate) zones_changed: bool,
    pub(crate) settings: &'a OwnershipSettings,
}

impl Context<'_> {
    /// Returns the zone that should be the home of a segment, by weighted rendezvous hashing over
    /// the zones in service, so that a zone that leaves or returns moves only its own share.
    pub(crate) fn preferred_home(&self, segment: SegmentId) -> Option<&ZoneId> {
        let in_service = self.zones.iter().filter(|zone| zone.in_service);
        let rank = |zone: &ZoneState| {
            let random = rendezvous_score(u64::from(segment.get()), zone.zone.as_str());
            let unit = ((random >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            -f64::from(zone.weight.get().max(1)) / unit.ln()
        };
        in_service.max_by(|left, right| rank(left).total_cmp(&rank(right))).map(|zone| &zone.zone)
    }

    pub(crate) fn is_in_service(&self, zone: &ZoneId) -> bool {
        self.zones.iter().any(|state| state.zone == *zone && state.in_service)
    }
}

/// Generator of grant, write and session ids.
#[derive(Clone, Debug)]
pub(crate) struct Ids {
    random: ChaCha8Rng,
    grant: u64,
}

impl Ids {
    pub(crate) fn new(mut random: ChaCha8Rng) -> Self {
        // A random start keeps the grant ids of two controllers apart, because a target must not
        // mistake the grant of one for that of the other. Half of the range is left to count up.
        let grant = random.next_u64() >> 1;
        Self { random, grant }
    }

    pub(crate) fn grant(&mut self) -> GrantId {
        self.grant += 1;
        GrantId::new(self.grant)
    }

    pub(crate) fn write(&mut self) -> WriteId {
        let (high, low) = (self.random.next_u64(), self.random.next_u64());
        WriteId::new(u128::from(high) << 64 | u128::from(low))
    }

    pub(crate) fn session(&mut self) -> u64 {
        self.random.next_u64()
    }
}
