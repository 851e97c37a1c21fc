//! Messages between entry processes and controllers about routes.

use wagtailmoor_core::{BackEndId, Epoch, Generation, TargetId, ZoneId};
use wagtailmoor_derive::{scalar, value};

use crate::Unit;

/// Identifies a state of the routes of one zone.
#[scalar]
pub struct RouteStamp {
    /// Generation of the controller.
    pub generation: Generation,
    /// Random number of one tenure of one controller; versions of two sessions are not comparable.
    pub session: u64,
    /// Raised by every change of a route.
    pub version: u64,
}

/// Asks the controller of a zone for its routes.
#[value]
pub struct RoutePull {
    /// The zone.
    pub zone: ZoneId,
    /// What the puller has.
    pub have: Option<RouteStamp>,
    /// Units to be sent again because their target refused a request.
    pub recheck: Vec<(BackEndId, Unit)>,
}

/// State of one unit in an update; a target is a position in [`RouteUpdate::targets`].
#[scalar]
pub enum RouteMark {
    /// Owned by a target.
    Owner(u16, Epoch),
    /// Between two targets.
    Moving,
    /// Without an owner.
    NoOwner,
    /// No longer of this zone, or merged back into its slot.
    Gone,
}

/// One unit in an update.
#[scalar]
pub struct RouteEntry {
    /// The unit.
    pub unit: Unit,
    /// Its state.
    pub mark: RouteMark,
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

/// Reply to a [`RoutePull`]: what changed since the puller's version, or everything.
#[value]
pub struct RouteUpdate {
    /// The zone.
    pub zone: ZoneId,
    /// State after this update.
    pub stamp: RouteStamp,
    /// Whether this replaces everything known of the zone.
    pub full: bool,
    /// Lease of the routes, measured from before the pull was sent, ms.
    pub lease_ms: u64,
    /// Targets that the entries name.
    pub targets: Vec<TargetId>,
    /// Back ends with changes; every back end when `full`.
    pub back_ends: Vec<BackEndRoutes>,
}
