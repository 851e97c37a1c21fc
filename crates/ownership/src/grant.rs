//! Messages between a controller and the targets.

use wagtailmoor_core::{
    BackEndId, Epoch, Generation, GrantId, Incarnation, Instant, KeyHash, TargetId,
};
use wagtailmoor_derive::{scalar, value};

use crate::Unit;

/// A reading of the monotonic clock of a target.
#[scalar]
pub struct TargetClock {
    /// The process that read its clock.
    pub incarnation: Incarnation,
    /// Microseconds on the monotonic clock of that process.
    pub reading_us: u64,
}

/// Permission for a target to serve units until a lease ends.
#[value]
pub struct Grant {
    /// The target.
    pub target: TargetId,
    /// The back end.
    pub back_end: BackEndId,
    /// Generation of the controller.
    pub generation: Generation,
    /// Identifies this message in the reply.
    pub grant_id: GrantId,
    /// Length of the lease, ms.
    pub lease_ms: u64,
    /// End of the lease on the clock of the target; `None` when no reply has contained its clock.
    /// The target refuses the whole grant if the incarnation is not its own. Without this field, a
    /// grant in the receive buffer of a frozen target would start a full lease when the target
    /// resumes.
    pub expires_at: Option<TargetClock>,
    /// Granted units with their epochs.
    pub units: Vec<(Unit, Epoch)>,
    /// Id of an earlier grant whose units and split keys are granted in place of those listed here.
    /// Unless this is the last complete grant that the target accepted, the target refuses the
    /// whole grant as unknown.
    pub renews: Option<GrantId>,
    /// Whether the grant lists all units that the target may hold, so that a later grant may renew
    /// it by reference.
    pub complete: bool,
    /// Keys that are excluded from the granted slots, in order. All grants of a slot at one epoch
    /// exclude the same keys.
    pub split_keys: Vec<KeyHash>,
    /// The caller drops the message if it was not sent by this instant.
    pub drop_after: Instant,
}

/// Ends the permission to serve units. The target replies when no request of these units is running
/// any more.
#[value]
pub struct Revoke {
    /// The target.
    pub target: TargetId,
    /// The back end.
    pub back_end: BackEndId,
    /// Generation of the controller.
    pub generation: Generation,
    /// Identifies this message in the reply.
    pub grant_id: GrantId,
    /// Units with the epochs up to which the target must refuse.
    pub units: Vec<(Unit, Epoch)>,
    /// The caller drops the message if it was not sent by this instant.
    pub drop_after: Instant,
}

/// Queries the grants that a target holds.
#[value]
pub struct QueryHeld {
    /// The target.
    pub target: TargetId,
    /// The back end.
    pub back_end: BackEndId,
    /// Identifies this message in the reply.
    pub query_id: GrantId,
}

/// Reply of a target to a grant.
#[value]
pub struct GrantReply {
    /// The target.
    pub target: TargetId,
    /// The back end.
    pub back_end: BackEndId,
    /// Id of the grant.
    pub grant_id: GrantId,
    /// Refused units with the highest epochs that the target has seen.
    pub refused: Vec<(Unit, Epoch)>,
    /// Highest generation that the target has seen, if it refused the grant because of a lower one.
    pub newer_generation: Option<Generation>,
    /// Whether the target refused the grant because the lease had ended or was meant for another
    /// incarnation.
    pub expired: bool,
    /// Whether the target refused the grant because it does not know the grant to be renewed.
    pub unknown: bool,
    /// Clock of the target when it handled the grant.
    pub clock: Option<TargetClock>,
}

/// One unit in a reply to [`QueryHeld`].
#[scalar]
pub struct HeldUnit {
    /// The unit.
    pub unit: Unit,
    /// Highest epoch that the target has seen.
    pub epoch: Epoch,
    /// Remaining time of the lease, ms; zero when the target does not serve the unit.
    pub remaining_ms: u64,
}

/// Reply of a target to [`QueryHeld`].
#[value]
pub struct HeldReply {
    /// The target.
    pub target: TargetId,
    /// The back end.
    pub back_end: BackEndId,
    /// Id of the query.
    pub query_id: GrantId,
    /// Units for which the target has seen a grant or revocation, also those it no longer serves.
    pub held: Vec<HeldUnit>,
    /// Keys that are excluded from the held slots, in order.
    pub split_keys: Vec<KeyHash>,
    /// Clock of the target when it replied.
    pub clock: Option<TargetClock>,
}
