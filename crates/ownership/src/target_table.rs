//! State of the targets of a back end, as known to a controller.

use std::time::Duration;

use wagtailmoor_core::{Epoch, GrantId, Instant, KeyHash, SortedVec, TargetId, Weight, ZoneId};

use crate::{Target, TargetClock, TargetState, Unit};

pub(crate) type TargetIndex = u32;

/// Targets of one back end; the index of a target stays valid after the target is gone.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetTable {
    entries: Vec<TargetEntry>,
    indexes: SortedVec<TargetId, TargetIndex>,
}

/// State of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) target: TargetId,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) capacity: Weight,
    pub(crate) state: TargetState,
    /// Whether the target is in the zone of this controller.
    pub(crate) local: bool,
    /// Whether entry processes fence the target by route leases, so that it is never called.
    pub(crate) unchecked: bool,
    /// Whether the target replied to the last call.
    pub(crate) reachable: bool,
    /// Whether the target replied to a query sent under the current authority.
    pub(crate) queried: bool,
    pub(crate) call: Option<Call>,
    pub(crate) clock: Option<(TargetClock, Instant)>,
    pub(crate) last_call: Option<Instant>,
    pub(crate) last_renewal: Option<Instant>,
    pub(crate) last_reply: Instant,
    pub(crate) complete_grant: Option<CompleteGrant>,
    /// Whether an unsent grant of a unit waits for the reply to the current call.
    pub(crate) unit_waiting: bool,
}

/// A call that has no reply yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) id: GrantId,
    pub(crate) sent: Instant,
    /// Whether the call is a grant with a unit that the target has not confirmed yet.
    pub(crate) has_new_unit: bool,
}

/// The last grant that listed every unit that the target may hold.
#[derive(Clone, Debug)]
pub(crate) struct CompleteGrant {
    pub(crate) id: GrantId,
    pub(crate) units: Vec<(Unit, Epoch)>,
    pub(crate) split_keys: Vec<KeyHash>,
    pub(crate) accepted: bool,
}

impl TargetEntry {
    fn new(target: TargetId) -> Self {
        Self {
            target,
            zone: None,
            capacity: Weight::new(1),
            state: TargetState::Gone,
            local: false,
            unchecked: false,
            reachable: false,
            queried: false,
            call: None,
            clock: None,
            last_call: None,
            last_renewal: None,
            last_reply: Instant::default(),
            complete_grant: None,
            unit_waiting: false,
        }
    }

    /// Returns whether the target may be granted units now.
    pub(crate) fn is_usable(&self) -> bool {
        self.can_own() && (self.unchecked || (self.reachable && self.queried))
    }

    pub(crate) fn can_own(&self) -> bool {
        self.local && matches!(self.state, TargetState::Live | TargetState::Cold)
    }

    /// Returns whether the target may be recorded as successor.
    pub(crate) fn can_succeed(&self, now: Instant, timeout: Duration) -> bool {
        self.can_own() && (self.unchecked || now.saturating_since(self.last_reply) < timeout)
    }

    /// Records a reply. Returns whether it is the reply to the current call.
    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        id: GrantId,
        clock: Option<TargetClock>,
    ) -> bool {
        if self.call.is_none_or(|call| call.id != id) {
            return false;
        }
        self.call = None;
        self.reachable = true;
        self.last_reply = now;
        self.clock = clock.map(|clock| (clock, now));
        true
    }

    /// Returns a lower bound, drift aside, of the clock reading of the target `span` after `now`;
    /// `None` when its last reply contained no clock reading.
    pub(crate) fn clock_after(&self, now: Instant, span: Duration) -> Option<TargetClock> {
        self.clock.map(|(clock, received_at)| {
            let ahead = now.saturating_since(received_at) + span;
            let ahead_us = u64::try_from(ahead.as_micros()).unwrap_or(u64::MAX);
            TargetClock { reading_us: clock.reading_us.saturating_add(ahead_us), ..clock }
        })
    }

    /// Discards the state of calls and clocks at the start of an authority.
    pub(crate) fn reset(&mut self) {
        self.reachable = false;
        self.queried = false;
        self.call = None;
        self.clock = None;
        self.last_call = None;
        self.last_renewal = None;
        self.complete_grant = None;
    }
}

impl TargetTable {
    pub(crate) fn at(&self, index: TargetIndex) -> &TargetEntry {
        &self.entries[index as usize]
    }

    pub(crate) fn at_mut(&mut self, index: TargetIndex) -> &mut TargetEntry {
        &mut self.entries[index as usize]
    }

    pub(crate) fn len(&self) -> TargetIndex {
        TargetIndex::try_from(self.entries.len()).expect("fewer than 2^32 targets")
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (TargetIndex, &TargetEntry)> {
        (0..self.len()).map(|index| (index, self.at(index)))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut TargetEntry> {
        self.entries.iter_mut()
    }

    pub(crate) fn find(&self, target: &TargetId) -> Option<TargetIndex> {
        self.indexes.get(target).copied()
    }

    /// Returns the index of a target. An unknown target is added in state `Gone`, until a host list
    /// contains it.
    pub(crate) fn index(&mut self, target: &TargetId) -> TargetIndex {
        let entries = &mut self.entries;
        *self.indexes.get_or_insert_with(target.clone(), || {
            entries.push(TargetEntry::new(target.clone()));
            TargetIndex::try_from(entries.len() - 1).expect("fewer than 2^32 targets")
        })
    }

    pub(crate) fn update(&mut self, zone: &ZoneId, unchecked: bool, targets: &[Target]) {
        for entry in &mut self.entries {
            entry.state = TargetState::Gone;
        }
        for target in targets {
            let index = self.index(&target.target);
            let entry = self.at_mut(index);
            entry.zone = Some(target.zone.clone());
            entry.local = target.zone == *zone;
            entry.unchecked = unchecked;
            entry.capacity = target.capacity;
            entry.state = target.state;
        }
    }
}
