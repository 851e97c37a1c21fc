//! What a controller is told.

use wagtailmoor_core::{
    BackEndId, Epoch, GrantId, Instant, KeyHash, RowVersion, SlotId, TargetId, WriteId, ZoneId,
};
use wagtailmoor_derive::{scalar, value};

use crate::{Authority, BackEndSettings, GrantReply, HeldReply, SegmentRow, Target, Unit};

/// A row as the store returned it.
#[value]
pub struct StoredRow {
    /// Version of the row.
    pub version: RowVersion,
    /// Id of the last write of the row.
    pub write_id: WriteId,
    /// The row.
    pub row: SegmentRow,
}

/// Where rows come from.
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

/// What the route table of a new controller says about one back end of its zone.
#[value]
pub struct HeldRoutes {
    /// The back end.
    pub back_end: BackEndId,
    /// Instant before the last pull was sent.
    pub asked_at: Instant,
    /// Units with owners.
    pub units: Vec<(Unit, TargetId, Epoch)>,
}

/// What the configuration says about a zone.
#[value]
pub struct ZoneState {
    /// The zone.
    pub zone: ZoneId,
    /// Whether it may receive work.
    pub in_service: bool,
    /// Its share of the segments.
    pub weight: wagtailmoor_core::Weight,
}

/// What a controller is told.
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
        /// Its targets; one that is missing counts as gone.
        targets: Vec<Target>,
    },
    /// All zones of the region.
    Zones(Vec<ZoneState>),
    /// Rows that were read.
    Rows {
        /// The back end.
        back_end: BackEndId,
        /// Where they come from.
        source: RowSource,
        /// Instant before the read was sent.
        asked_at: Instant,
        /// Whether rows that are missing here do not exist.
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
    /// Routes that this node pulled from the earlier controller; useful right after the authority
    /// started, for back ends whose targets cannot be asked.
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
    /// Time has passed; due every 20 ms. Each further millisecond counts twice in the time without
    /// service after a loss: once for the last renewal and once for the end of the lease.
    Tick,
}
