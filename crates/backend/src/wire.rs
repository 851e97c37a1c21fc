//! JSON bodies of the control messages.

use wagtailmoor_core::{BackEndId, Epoch, Generation, GrantId, Incarnation, KeyHash, SlotId};
use wagtailmoor_derive::{scalar, value};

/// A reading of a target's monotonic clock: the incarnation of the process and microseconds.
pub type ClockReading = (Incarnation, u64);

/// Grants a target the right to serve slots and hot keys until a lease expires.
#[value]
pub struct GrantMessage {
    /// Back end of the slots.
    pub back_end: BackEndId,
    /// Generation of the controller.
    pub generation: Generation,
    /// Id of this message.
    pub grant_id: GrantId,
    /// Duration of the lease, counted from the receipt of the message.
    pub lease_ms: u64,
    /// End of the lease on the target's clock; `None` until a reply has stated that clock.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expires_at: Option<ClockReading>,
    /// Slots and their epochs.
    pub slots: Vec<(SlotId, Epoch)>,
    /// Hot keys and their epochs.
    pub hot_keys: Vec<(KeyHash, Epoch)>,
    /// Keys in the granted slots that the grant does not cover.
    pub split_keys: Vec<KeyHash>,
    /// Id of an earlier complete grant to renew; its lists apply in place of the ones here.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub renews: Option<GrantId>,
    /// Whether a later grant may renew this one.
    pub complete: bool,
}

/// Tells a target to stop serving slots and hot keys.
#[value]
pub struct RevocationMessage {
    /// Back end of the slots.
    pub back_end: BackEndId,
    /// Generation of the controller.
    pub generation: Generation,
    /// Id of this message.
    pub grant_id: GrantId,
    /// Slots and the epochs up to which they are revoked.
    pub slots: Vec<(SlotId, Epoch)>,
    /// Hot keys and the epochs up to which they are revoked.
    pub hot_keys: Vec<(KeyHash, Epoch)>,
}

/// Reply to a grant: the slots and hot keys that the target refused.
#[value]
#[derive(Default)]
pub(crate) struct GrantReply {
    #[serde(default)]
    pub(crate) refused: Vec<(SlotId, Epoch)>,
    #[serde(default)]
    pub(crate) refused_hot_keys: Vec<(KeyHash, Epoch)>,
    #[serde(default)]
    pub(crate) clock: Option<ClockReading>,
}

/// Reply to a grant that the target refused as a whole.
#[value]
#[derive(Default)]
pub(crate) struct GrantRejection {
    #[serde(default)]
    pub(crate) clock: Option<ClockReading>,
    #[serde(default)]
    pub(crate) unknown: bool,
}

/// Reply to a message of an old generation: the highest generation that the target has seen.
#[value]
pub(crate) struct GenerationReply {
    pub(crate) generation: Generation,
}

/// A slot that a target knows: the slot, the highest epoch seen and the remaining lease in
/// milliseconds.
pub type HeldSlot = (SlotId, Epoch, u64);

/// A hot key that a target knows: its hash, the highest epoch seen and the remaining lease in
/// milliseconds.
pub type HeldHotKey = (KeyHash, Epoch, u64);

/// Reply to a query for held grants.
#[value]
pub(crate) struct HeldGrantsReply {
    pub(crate) generation: Generation,
    #[serde(default)]
    pub(crate) slots: Vec<HeldSlot>,
    #[serde(default)]
    pub(crate) hot_keys: Vec<HeldHotKey>,
    #[serde(default)]
    pub(crate) split_keys: Vec<KeyHash>,
    #[serde(default)]
    pub(crate) clock: Option<ClockReading>,
}

/// State that a target reports.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Started recently and can take only little load yet.
    Cold,
    /// Can take its full load.
    Warm,
    /// Accepts no new requests.
    Draining,
}

/// Load that a target reports. The report lags behind the real load and may be wrong.
#[value]
pub struct LoadReport {
    /// State of the target.
    pub state: TargetState,
    /// Requests in progress.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Requests queued at the target.
    pub queued: u32,
    /// Age of the figures when the target sent the report.
    pub age_ms: u64,
}
