//! Writes of the row whose outcome is unknown.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, KeyHash, NodeId, RowVersion, WriteId};

use crate::{ControllerRow, LeaseAction, StoredRow};

// Writes to an unresponsive store are retried once a second, so this covers several time-outs.
const MAX_UNRESOLVED: usize = 8;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Write {
    id: WriteId,
    row: ControllerRow,
    expected: Option<RowVersion>,
    sent: Instant,
}

/// Writes of the row whose outcome is unknown.
#[derive(Debug)]
pub(crate) struct PendingWrites {
    prefix: u128,
    count: u64,
    unresolved: Vec<Write>,
    idle_at: Instant,
}

impl PendingWrites {
    pub(crate) fn new(node: &NodeId, incarnation: Incarnation, now: Instant) -> Self {
        // 32 bits of the node's hash and the incarnation make ids unique among the writers of one
        // row.
        let node = KeyHash::of(node.as_str().as_bytes()).get();
        let prefix =
            u128::from(node >> 32) << 96 | u128::from(incarnation.get() & 0xffff_ffff_ffff) << 48;
        Self { prefix, count: 0, unresolved: Vec::new(), idle_at: now }
    }

    /// Returns whether the last write has been answered or has timed out.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        now >= self.idle_at
    }

    pub(crate) fn send(
        &mut self,
        now: Instant,
        row: ControllerRow,
        expected: Option<RowVersion>,
    ) -> LeaseAction {
        self.count += 1;
        let id = WriteId::new(self.prefix | u128::from(self.count));
        if self.unresolved.len() == MAX_UNRESOLVED {
            self.unresolved.remove(0);
        }
        self.unresolved.push(Write { id, row: row.clone(), expected, sent: now });
        self.idle_at = now + RESPONSE_TIMEOUT;
        LeaseAction::WriteRow { row, expected, write: id }
    }

    /// Handles a successful write. Returns the stored row and the time at which the write was sent,
    /// or `None` if the write is no longer tracked.
    pub(crate) fn on_success(
        &mut self,
        now: Instant,
        id: WriteId,
        version: RowVersion,
    ) -> Option<(StoredRow, Instant)> {
        self.idle_at = now;
        let index = self.unresolved.iter().position(|write| write.id == id)?;
        let write = self.unresolved.remove(index);
        Some((StoredRow { row: write.row, version, write: id }, write.sent))
    }

    pub(crate) fn on_conflict(&mut self, now: Instant, id: WriteId) {
        self.idle_at = now;
        self.unresolved.retain(|write| write.id != id);
    }

    pub(crate) fn on_unknown(&mut self, now: Instant) {
        self.idle_at = now;
    }

    /// Returns when the write that produced a row was sent, if it is an unresolved write of this
    /// node. Drops the writes that can no longer take effect at the version of this row.
    pub(crate) fn resolve(&mut self, stored: &StoredRow) -> Option<Instant> {
        let sent =
            self.unresolved.iter().find(|write| write.id == stored.write).map(|write| write.sent);
        self.unresolved.retain(|write| write.expected >= Some(stored.version));
        sent
    }
}
