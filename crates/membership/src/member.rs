//! The state that a node keeps for one other member.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_derive::scalar;

use crate::{MemberRecord, RecordState};

// Added to the age of a record on each relay. It exceeds the usual transit time, so that a record
// that is relayed back to a node never looks newer than it is.
const RELAY_DELAY: Duration = Duration::from_millis(20);

/// Whether a member may be given new work.
#[scalar]
pub enum Liveness {
    /// The member has responded recently, to this node or to another one.
    Live,
    /// The host list names the member, and no node has reported on it yet.
    Listed,
    /// The member is about to stop.
    Leaving,
    /// The member has not responded for longer than the suspicion timeout.
    Suspect,
}

/// The state that a node keeps for one other member.
#[derive(Debug)]
pub(crate) struct MemberState {
    record: MemberRecord,
    last_contact: Option<Instant>,
    last_failure: Option<Instant>,
    pub(crate) sends: u32,
}

impl MemberState {
    pub(crate) fn new(now: Instant, record: MemberRecord) -> Self {
        let mut member = Self { last_contact: None, last_failure: None, sends: 0, record };
        let record = member.record.clone();
        member.apply(now, &record);
        member
    }

    /// Creates the state of a node that the host list names and that has not been contacted.
    pub(crate) fn listed(record: MemberRecord) -> Self {
        Self { last_contact: None, last_failure: None, sends: u32::MAX, record }
    }

    /// Returns whether a contact with the member or a failure is known, which can be reported to
    /// other nodes.
    pub(crate) fn has_observation(&self) -> bool {
        self.last_contact.is_some() || self.last_failure.is_some()
    }

    /// Returns whether a failure was reported, which other nodes have to confirm or refute before
    /// the member becomes suspect.
    pub(crate) fn has_reported_failure(&self) -> bool {
        self.last_failure.is_some()
    }

    pub(crate) fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// Applies a record of the same member and returns whether it is an update to spread.
    pub(crate) fn apply(&mut self, now: Instant, record: &MemberRecord) -> bool {
        if record.incarnation < self.record.incarnation {
            return false;
        }
        let was_unreachable = self.is_unreachable();
        let is_new = record.incarnation > self.record.incarnation;
        let is_leaving =
            record.state == RecordState::Leaving && self.record.state != RecordState::Leaving;
        if is_new {
            (self.last_contact, self.last_failure) = (None, None);
        }
        let at = Some(now - Duration::from_millis(u64::from(record.age_ms)));
        match record.state {
            RecordState::Unreachable => self.last_failure = self.last_failure.max(at),
            RecordState::Reachable | RecordState::Leaving => {
                self.last_contact = self.last_contact.max(at)
            }
        }
        // Leaving is final for an incarnation, even if a failure is reported later.
        let state = match (is_new, self.record.state, record.state) {
            (false, RecordState::Leaving, _) | (_, _, RecordState::Leaving) => RecordState::Leaving,
            _ => RecordState::Reachable,
        };
        if is_new
            || self.record.address != record.address && record.state != RecordState::Unreachable
        {
            self.record = record.clone();
        }
        self.record.state = state;
        let is_refuted = record.state == RecordState::Unreachable && !self.is_unreachable();
        let is_update =
            is_new || is_leaving || is_refuted || was_unreachable != self.is_unreachable();
        if is_update {
            self.sends = 0;
        }
        is_update
    }

    /// Records that the member did not respond to this node.
    pub(crate) fn on_failure(&mut self, now: Instant) {
        if !self.is_unreachable() {
            self.sends = 0;
            self.last_failure = Some(now);
        }
    }

    /// Returns whether the latest event is a failure to respond.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.last_failure > self.last_contact
    }

    /// Returns how long the member has been unreachable, or zero if it is reachable.
    pub(crate) fn unreachable_for(&self, now: Instant) -> Duration {
        match self.last_failure {
            Some(at) if self.is_unreachable() => now.saturating_since(at),
            _ => Duration::ZERO,
        }
    }

    /// Returns the memory used in bytes, including the ids.
    pub(crate) fn state_bytes(&self) -> usize {
        let MemberRecord { node, zone, rack, .. } = &self.record;
        size_of::<Self>() + node.as_str().len() + zone.as_str().len() + rack.as_str().len()
    }

    pub(crate) fn liveness(&self, now: Instant, suspect_after: Duration) -> Liveness {
        match self.record.state {
            _ if self.unreachable_for(now) >= suspect_after => Liveness::Suspect,
            RecordState::Leaving => Liveness::Leaving,
            _ if self.last_contact.is_none() => Liveness::Listed,
            _ => Liveness::Live,
        }
    }

    /// Returns the record to send to other nodes now.
    pub(crate) fn to_record(&self, now: Instant) -> MemberRecord {
        let (state, at) = match self.is_unreachable() {
            true => (RecordState::Unreachable, self.last_failure),
            false => (self.record.state, self.last_contact),
        };
        let age = now.saturating_since(at.unwrap_or_default()) + RELAY_DELAY;
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        MemberRecord { state, age_ms, ..self.record.clone() }
    }
}
