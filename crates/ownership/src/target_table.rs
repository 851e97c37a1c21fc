//! What a controller knows about the targets of a back end.

use std::time::Duration;

use wagtailmoor_core::{Epoch, GrantId, Instant, KeyHash, SortedVec, TargetId, Weight, ZoneId};

use crate::{Target, TargetClock, TargetState, Unit};

pub(crate) type TargetIndex = u32;

/// Targets of one back end; an index stays valid when a target is gone.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetTable {
    entries: Vec<TargetEntry>,
    indexes: SortedVec<TargetId, TargetIndex>,
}

/// One target.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) target: TargetId,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) capacity: Weight,
    pub(crate) state: TargetState,
    /// In the zone of this controller.
    pub(crate) local: bool,
    /// Entry processes fence it, so it is not called.
    pub(crate) unchecked: bool,
    /// It replied to the last call.
    pub(crate) reachable: bool,
    /// It replied to a query of the present authority.
    pub(crate) queried: bool,
    pub(crate) call: Option<Call>,
    pub(crate) clock: Option<(TargetClock, Instant)>,
    pub(crate) last_call: Option<Instant>,
    pub(crate) last_renewal: Option<Instant>,
    pub(crate) last_reply: Instant,
    pub(crate) complete: Option<Complete>,
    /// A unit waits for the reply to the present call.
    pub(crate) waiting: bool,
}

/// A call without a reply so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) id: GrantId,
    pub(crate) sent: Instant,
    /// A grant that contains a unit for the first time.
    pub(crate) fresh: bool,
}

/// The last grant that named everything that the target may hold.
#[derive(Clone, Debug)]
pub(crate) struct Complete {
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
            complete: None,
            waiting: false,
        }
    }

    /// Returns whether it may be granted units.
    pub(crate) fn is_usable(&self) -> bool {
        self.can_own() && (self.unchecked || (self.reachable && self.queried))
    }

    pub(crate) fn can_own(&self) -> bool {
        self.local && matches!(self.state, TargetState::Live | TargetState::Cold)
    }

    /// Returns whether it may be recorded as successor.
    pub(crate) fn can_succeed(&self, now: Instant, patience: Duration) -> bool {
        self.can_own() && (self.unchecked || now.saturating_since(self.last_reply) < patience)
    }

    pub(crate) fn replied(
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

    /// Returns the reading that its clock will have at least `span` after now, as far as known.
    pub(crate) fn clock_after(&self, now: Instant, span: Duration) -> Option<TargetClock> {
        self.clock.map(|(clock, received_at)| {
            let ahead = now.saturating_since(received_at) + span;
            let ahead_us = u64::try_from(ahead.as_micros()).unwrap_or(u64::MAX);
            TargetClock { reading_us: clock.reading_us.saturating_add(ahead_us), ..clock }
        })
    }

    /// Forgets what an earlier authority knew.
    pub(crate) fn reset(&mut self) {
        self.reachable = false;
        self.queried = false;
        self.call = None;
        self.clock = None;
        self.last_call = None;
        self.last_renewal = None;
        self.complete = None;
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
        TargetIndex::try_from(self.entries.len()).expect("fewer than 2^32 servers")
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

    /// Returns the index of a target, which is gone until the host list says otherwise.
    pub(crate) fn index(&mut self, target: &TargetId) -> TargetIndex {
        let entries = &mut self.entries;
        *self.indexes.get_or_insert_with(target.clone(), || {
            entries.push(TargetEntry::new(target.clone()));
            TargetIndex::try_from(entries.len() - 1).expect("fewer than 2^32 servers")
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
