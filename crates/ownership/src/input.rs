//! Inputs of a controller.

use wagtailmoor_core::{
    BackEndId, Epoch, GrantId, Instant, KeyHash, RowVersion, SlotId, TargetId, WriteId, ZoneId,
};
use wagtailmoor_derive::{scalar, value};

use crate::{Authority, BackEndSettings, GrantReply, HeldReply, SegmentRow, Target, Unit};

/// A row with its version in the store.
#[value]
pub struct StoredRow {
    /// Version of the row.
    pub version: RowVersion,
    /// Id of the last write of the row.
    pub write_id: WriteId,
    /// The row.
    pub row: SegmentRow,
}

/// Source of rows.
#[scalar]
pub enum RowSource {
    /// Read from the store.
    Store,
    /// Copied from another node; may be older than the store.
    Copy,
}

/// Result of a write to the store.
#[value]
pub enum WriteResult {
    /// The store acknowledged the write; the new versions of its rows in order.
    Done(Vec<RowVersion>),
    /// The store refused the write because a row had another version.
    Conflict,
    /// No response: the write may have taken effect or may do so later.
    Unknown,
}

/// Owners in the route table of a new controller, for one back end of its zone.
#[value]
pub struct HeldRoutes {
    /// The back end.
    pub back_end: BackEndId,
    /// An instant before the last merged pull was sent.
    pub requested_at: Instant,
    /// Units with owners.
    pub units: Vec<(Unit, TargetId, Epoch)>,
}

/// State of a zone according to the configuration.
#[value]
pub struct ZoneState {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the zone may receive requests.
    pub in_service: bool,
    /// Relative share of the segments that the zone should get.
    pub weight: wagtailmoor_core::Weight,
}

/// An event that a controller handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// The authority of this node over the zone, `None` when it has none.
    Authority(Option<Authority>),
    /// The keyed back ends.
    BackEnds(Vec<BackEndSettings>),
    /// All targets of a back end in all zones.
    Targets {
        /// The back end.
        back_end: BackEndId,
        /// Its targets; a target that is missing here counts as gone.
        targets: Vec<Target>,
    },
    /// All zones of the region.
    Zones(Vec<ZoneState>),
    /// Rows that were read.
    Rows {
        /// The back end.
        back_end: BackEndId,
        /// Source of the rows.
        source: RowSource,
        /// An instant before the read was sent.
        requested_at: Instant,
        /// Whether the read covered all segments, so that rows missing here do not exist.
        complete: bool,
        /// The rows.
        rows: Vec<StoredRow>,
    },
    /// A read of rows failed.
    ReadFailed(BackEndId),
    /// A target replied to a grant.
    GrantReply(GrantReply),
    /// A target replied to a revocation.
    RevokeReply {
        /// The back end.
        back_end: BackEndId,
        /// The target.
        target: TargetId,
        /// Id of the revocation.
        grant_id: GrantId,
    },
    /// A target replied to a query.
    HeldReply(HeldReply),
    /// Routes that this node pulled from the previous controller. They are used right after the
    /// authority starts, for back ends whose targets cannot be queried.
    HeldRoutes(HeldRoutes),
    /// Result of a write.
    WriteResult {
        /// The back end.
        back_end: BackEndId,
        /// Id of the write.
        write_id: WriteId,
        /// Its result.
        result: WriteResult,
    },
    /// Load of slots and keys in the last interval, summed over the nodes, in requests/s.
    Heat {
        /// The back end.
        back_end: BackEndId,
        /// Load of slots; missing slots keep their last value.
        slots: Vec<(SlotId, u32)>,
        /// Load of the hottest keys.
        keys: Vec<(KeyHash, u32)>,
    },
    /// Timer tick, expected every 20 ms. Each millisecond above that counts twice in the downtime
    /// after the loss of a target: once for the last renewal and once for the end of the lease.
    Tick,
}
