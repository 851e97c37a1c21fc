//! State machine of one attempt record on the node that claims it.

use wagtailmoor_core::{Instant, RowVersion};

use crate::{AttemptRecord, CallId, ClaimId, ReadResult, RecordRefusal, RecordState};

/// Stage of a record entry, which determines its next table call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Write the desired record over this row version.
    Write { expected: RowVersion },
    /// Read the row, because the result of a write is unknown or the row has another version.
    Read,
    /// The claim succeeded and the request is running.
    Running { version: RowVersion },
    /// The row holds a final record, of this claim or of another one.
    Settled { version: RowVersion },
}

/// Effect of a call result on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Make the call that the stage of the entry requires, if any.
    Continue,
    /// The claim succeeded.
    Claimed,
    /// The claim is refused, because the row belongs to another claim.
    Refused {
        /// The refused claim.
        claim: ClaimId,
        /// Cause, and the recorded outcome if there is one.
        refusal: RecordRefusal,
    },
    /// The entry is no longer needed.
    Forget,
}

/// Attempt record as known to this node.
///
/// The claim id in the row identifies the claim that wrote it. The write id cannot do so, because a
/// claim whose first write has an unknown result is written again under another write id.
#[derive(Clone, Debug)]
pub(crate) struct RecordEntry {
    /// The record that this node wants the row to contain.
    pub(crate) desired: AttemptRecord,
    pub(crate) stage: Stage,
    /// The call of the current stage that is in flight.
    pub(crate) call: Option<CallId>,
    /// Whether a client is waiting for the result of the claim.
    pub(crate) has_waiting_client: bool,
    /// Time of the last change of stage, claim or outcome.
    pub(crate) stage_since: Instant,
    /// The record in the write that is in flight.
    in_flight_record: Option<AttemptRecord>,
    /// Whether a write with an unknown result may still take effect.
    write_in_doubt: bool,
    /// Earlier claims of this node for this row whose requests were not and will not be run.
    abandoned: Vec<ClaimId>,
}

impl RecordEntry {
    /// Starts a claim of a record that is not in memory.
    pub(crate) fn claim(now: Instant, desired: AttemptRecord) -> Self {
        Self {
            desired,
            stage: Stage::Write { expected: RowVersion::default() },
            call: None,
            has_waiting_client: true,
            stage_since: now,
            in_flight_record: None,
            write_in_doubt: false,
            abandoned: Vec::new(),
        }
    }

    /// Starts a claim of a record whose last claim was not run.
    ///
    /// If a call is in flight, the new claim is written after its result arrives.
    pub(crate) fn reclaim(&mut self, now: Instant, desired: AttemptRecord) {
        self.abandoned.push(self.desired.claim);
        self.desired = desired;
        self.has_waiting_client = true;
        self.stage_since = now;
        if let Stage::Settled { version } = self.stage {
            self.stage = Stage::Write { expected: version };
        }
    }

    /// Sets the outcome of the request that ran under this claim.
    pub(crate) fn finish(&mut self, now: Instant, state: RecordState) {
        self.desired.state = state;
        self.stage_since = now;
        if let Stage::Running { version } = self.stage {
            self.stage = Stage::Write { expected: version };
        }
    }

    /// Abandons the claim and returns whether the entry can be removed.
    ///
    /// If a write of the claim may still take effect, the entry stays and `state` is written over
    /// it.
    pub(crate) fn abandon(&mut self, now: Instant, state: RecordState) -> bool {
        self.desired.state = state;
        self.has_waiting_client = false;
        self.stage_since = now;
        self.is_unsent()
    }

    /// Marks the desired record as being written by this call.
    pub(crate) fn start_write(&mut self, call: CallId) {
        self.call = Some(call);
        self.in_flight_record = Some(self.desired.clone());
    }

    /// Handles a write that succeeded.
    pub(crate) fn on_written(&mut self, now: Instant, version: RowVersion) -> Transition {
        self.call = None;
        self.mark_earlier_writes_fenced();
        match self.in_flight_record.take() {
            Some(written) if written != self.desired => {
                // The desired record changed while the write was in flight.
                self.abandoned.push(written.claim);
                self.enter(now, Stage::Write { expected: version })
            }
            _ => self.on_row_matches(now, version),
        }
    }

    /// Handles a write that was rejected because of a conflict in another of its rows.
    pub(crate) fn on_not_written(&mut self, now: Instant) -> Transition {
        self.call = None;
        self.in_flight_record = None;
        self.stage_since = now;
        Transition::Continue
    }

    /// Handles a write that was rejected because the row has another version.
    pub(crate) fn on_conflict(&mut self, now: Instant) -> Transition {
        self.call = None;
        self.in_flight_record = None;
        self.enter(now, Stage::Read)
    }

    /// Handles a write with an unknown result.
    pub(crate) fn on_write_unknown(&mut self, now: Instant) -> Transition {
        self.write_in_doubt = true;
        self.on_conflict(now)
    }

    /// Handles the result of a read.
    pub(crate) fn on_read(&mut self, now: Instant, result: ReadResult) -> Transition {
        self.call = None;
        match result {
            ReadResult::Unavailable => Transition::Continue,
            ReadResult::Absent => self.enter(now, Stage::Write { expected: RowVersion::default() }),
            ReadResult::Row(row) if row.record == self.desired => {
                self.mark_earlier_writes_fenced();
                self.on_row_matches(now, row.version)
            }
            ReadResult::Row(row) if self.may_replace(&row.record) => {
                self.enter(now, Stage::Write { expected: row.version })
            }
            ReadResult::Row(row) if self.has_waiting_client => {
                let refusal = RecordRefusal::duplicate(row.record.state);
                let claim = self.desired.claim;
                self.cache_final(now, row.record, row.version);
                Transition::Refused { claim, refusal }
            }
            ReadResult::Row(_) => Transition::Forget,
        }
    }

    /// Returns whether the request is running under this claim.
    pub(crate) fn is_running_under(&self, claim: ClaimId) -> bool {
        self.desired.claim == claim && matches!(self.stage, Stage::Running { .. })
    }

    /// Returns whether the entry has neither a write that is in flight or may still take effect
    /// nor an abandoned claim.
    pub(crate) fn is_unsent(&self) -> bool {
        !self.write_in_doubt && self.abandoned.is_empty() && self.in_flight_record.is_none()
    }

    /// Returns whether the row holds a final record, of this claim or of another one.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.stage, Stage::Settled { .. })
    }

    /// Returns whether the claim may replace a stored record: one whose request was not run, one of
    /// this claim, or one of an abandoned claim of this node.
    fn may_replace(&self, stored: &AttemptRecord) -> bool {
        match stored.state {
            RecordState::NotRun { .. } => true,
            _ => stored.claim == self.desired.claim || self.abandoned.contains(&stored.claim),
        }
    }

    fn on_row_matches(&mut self, now: Instant, version: RowVersion) -> Transition {
        match self.desired.state {
            RecordState::Running => {
                self.has_waiting_client = false;
                self.enter(now, Stage::Running { version });
                Transition::Claimed
            }
            _ => self.enter(now, Stage::Settled { version }),
        }
    }

    /// Keeps the record of another claim in memory, to refuse duplicates without a read.
    fn cache_final(&mut self, now: Instant, record: AttemptRecord, version: RowVersion) {
        self.desired = record;
        self.has_waiting_client = false;
        self.mark_earlier_writes_fenced();
        self.enter(now, Stage::Settled { version });
    }

    /// Every earlier write of this entry expects an older row version and can no longer take
    /// effect.
    fn mark_earlier_writes_fenced(&mut self) {
        self.write_in_doubt = false;
        self.abandoned.clear();
    }

    fn enter(&mut self, now: Instant, stage: Stage) -> Transition {
        self.stage = stage;
        self.stage_since = now;
        Transition::Continue
    }
}
