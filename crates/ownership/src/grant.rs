//! Messages between a controller and targets.

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
    /// End of the lease on the clock of the target, when one of its replies told its clock. A target
    /// refuses the whole grant when its incarnation differs. Without this a grant that waits in the
    /// receive buffer of a frozen target would start a full lease when the target returns.
    pub expires_at: Option<TargetClock>,
    /// Granted units with their epochs.
    pub units: Vec<(Unit, Epoch)>,
    /// Grants the units and split keys of an earlier grant in place of those here. The target refuses
    /// the whole grant as unknown unless that is the last complete grant that it accepted.
    pub renews: Option<GrantId>,
    /// Whether the units are all that the target may hold, so that `renews` may refer to this grant.
    pub complete: bool,
    /// Keys of granted slots that the grant does not cover, in order. The set is the same for every
    /// grant of a slot at one epoch.
    pub split_keys: Vec<KeyHash>,
    /// The shell drops the message when it was not sent by then.
    pub drop_after: Instant,
}

/// Ends permission for units; answered when no request of theirs is running.
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
    /// The shell drops the message when it was not sent by then.
    pub drop_after: Instant,
}

/// Asks a target what it holds.
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
    /// Highest generation that the target has seen, when it refused the grant for that reason.
    pub newer_generation: Option<Generation>,
    /// Whether the target refused the grant because its lease had ended or was for another process.
    pub expired: bool,
    /// Whether the target does not know the grant that was to be renewed.
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
    /// Time left of its lease, ms; zero when the target does not serve the unit.
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
    /// Units that the target knows.
    pub held: Vec<HeldUnit>,
    /// Keys that the held slots exclude, in order.
    pub split_keys: Vec<KeyHash>,
    /// Clock of the target when it replied.
    pub clock: Option<TargetClock>,
}
