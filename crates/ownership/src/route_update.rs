//! Messages by which entry processes pull routes from controllers.

use wagtailmoor_core::{BackEndId, Epoch, Generation, TargetId, ZoneId};
use wagtailmoor_derive::{scalar, value};

use crate::Unit;

/// Version of the routes of one zone.
#[scalar]
pub struct RouteStamp {
    /// Generation of the controller.
    pub generation: Generation,
    /// Random number drawn at each start of an authority; versions of different sessions are not
    /// comparable.
    pub session: u64,
    /// Number of route changes so far.
    pub version: u64,
}

/// Asks the controller of a zone for its routes.
#[value]
pub struct RoutePull {
    /// The zone.
    pub zone: ZoneId,
    /// Version that the puller has; `None` requests a full update.
    pub have: Option<RouteStamp>,
    /// Units to be sent even if unchanged, because their target refused a request.
    pub recheck: Vec<(BackEndId, Unit)>,
}

/// Route of one unit; a target is given by its position in [`RouteUpdate::targets`].
#[scalar]
pub enum RouteState {
    /// Owned by a target.
    Owner(u16, Epoch),
    /// Moving to another target.
    Moving,
    /// No target owns the unit.
    NoOwner,
    /// The unit has moved to another zone, or was merged back into its slot.
    Gone,
}

/// One changed route.
#[scalar]
pub struct RouteEntry {
    /// The unit.
    pub unit: Unit,
    /// Its new route.
    pub state: RouteState,
}

/// Routes of one back end.
#[value]
pub struct BackEndRoutes {
    /// The back end.
    pub back_end: BackEndId,
    /// Number of slots of the back end.
    pub slots: u32,
    /// Whether entry processes must observe the route lease.
    pub leased: bool,
    /// Longest request, ms.
    pub request_max_ms: u64,
    /// Changed units.
    pub entries: Vec<RouteEntry>,
}

/// Reply to a [`RoutePull`]: the routes that changed since the version of the puller, or all
/// routes.
#[value]
pub struct RouteUpdate {
    /// The zone.
    pub zone: ZoneId,
    /// Version after this update.
    pub stamp: RouteStamp,
    /// Whether the update replaces all routes of the zone.
    pub full: bool,
    /// Length of the route lease, ms, counted from an instant before the pull was sent.
    pub lease_ms: u64,
    /// Targets to which the entries refer.
    pub targets: Vec<TargetId>,
    /// Back ends with changed routes; every back end when `full`.
    pub back_ends: Vec<BackEndRoutes>,
}
