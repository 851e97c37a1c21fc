//! JSON bodies of grants, revocations and their replies.

use wagtailmoor_core::{BackEndId, Epoch, Generation, GrantId, Incarnation, KeyHash, SlotId};
use wagtailmoor_derive::value;

/// A reading of the monotonic clock of a target: its incarnation and microseconds.
pub type ClockReading = (Incarnation, u64);

/// Body of a grant or a revocation; only grants have a lease.
#[value]
pub struct GrantRequest {
    /// Back end that the target must belong to.
    pub back_end: BackEndId,
    /// Generation of the controller that sent the message.
    pub generation: Generation,
    /// Id of this message, which the reply repeats.
    pub grant_id: GrantId,
    /// Lease in milliseconds from receipt; `None` in revocations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// Slots with the epochs that are granted or revoked.
    pub slots: Vec<(SlotId, Epoch)>,
    /// Hot keys with the epochs that are granted or revoked.
    pub hot_keys: Vec<(KeyHash, Epoch)>,
    /// End of the lease on the clock of the target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_at: Option<ClockReading>,
    /// Keys of the granted slots that the grant does not cover, sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split_keys: Vec<KeyHash>,
    /// Id of an earlier complete grant, whose slots and keys are granted in place of those here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renews: Option<GrantId>,
    /// Whether a later grant may renew this one.
    #[serde(default)]
    pub complete: bool,
}

/// Reply to a grant, unless a [`GrantRefusal`] refuses all of it.
#[value]
pub struct GrantReply {
    /// Id of the grant.
    pub grant_id: GrantId,
    /// Slots whose grants were refused, with the highest epochs seen.
    pub refused: Vec<(SlotId, Epoch)>,
    /// Hot keys whose grants were refused, with the highest epochs seen.
    pub refused_hot_keys: Vec<(KeyHash, Epoch)>,
    /// Clock of the target.
    pub clock: ClockReading,
}

/// Reason to refuse all slots and keys of a grant.
#[value]
pub enum GrantRefusal {
    /// The target has accepted messages of this higher generation.
    OldGeneration(Generation),
    /// The lease has ended on the clock of the target, or refers to the clock of another incarnation.
    Expired(ClockReading),
    /// The grant to renew is not the last complete one that the target accepted.
    Unknown(ClockReading),
}

/// Reply to a revocation, sent when no request that it covers is running.
#[value]
pub struct RevocationReply {
    /// Id of the revocation.
    pub grant_id: GrantId,
}

/// Grants of a target, as it reports them.
#[value]
pub struct HeldGrants {
    /// Highest generation seen.
    pub generation: Generation,
    /// Slots with the highest epochs seen and the remaining lease times in milliseconds.
    pub slots: Vec<(SlotId, Epoch, u64)>,
    /// Hot keys with the highest epochs seen and the remaining lease times in milliseconds.
    pub hot_keys: Vec<(KeyHash, Epoch, u64)>,
    /// Keys of the granted slots that the grants do not cover, sorted.
    pub split_keys: Vec<KeyHash>,
    /// Clock of the target.
    pub clock: ClockReading,
}
