//! State machine for the attempt records of one node.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{Instant, NodeId, Reason, WriteId};

use crate::record_entries::RecordEntries;
use crate::record_entry::{RecordEntry, Stage, Transition};
use crate::record_queue::RecordQueue;
use crate::table_calls::{TableCall, TableCalls};
use crate::table_health::TableHealth;
use crate::{
    AttemptRecord, CallId, ClaimId, ReadResult, RecordKey, RecordOutput, RecordRefusal,
    RecordSettings, RecordState, RecordWrite, TimeBucket, WriteResult,
};

/// One row in this many of a write is reserved for outcomes, so that claims do not starve them.
const OUTCOME_SHARE_DIVISOR: usize = 4;

/// A claim whose client is waiting.
#[derive(Debug)]
struct WaitingClaim {
    expires_at: Instant,
    claim: ClaimId,
    key: RecordKey,
}

/// State machine for the attempt records of the non-idempotent requests that this node runs.
///
/// A claim is written to the table, with its claim id, before the request is run. If the result of
/// the write is unknown, the row is read, and the claim id shows whether the write took effect. A
/// claim that is abandoned before this is known is never run. A compare-and-set then marks the
/// row as not run, which also makes a delayed write of the claim fail. Until then other nodes treat
/// the outcome of the request as unknown.
#[derive(Debug)]
pub struct RecordKeeper<R> {
    settings: RecordSettings,
    node: NodeId,
    random: R,
    entries: RecordEntries,
    queue: RecordQueue,
    calls: TableCalls,
    waiting: Vec<WaitingClaim>,
    next_write: Instant,
    next_expiry: Instant,
    health: TableHealth,
}

impl<R: Rng> RecordKeeper<R> {
    /// Creates a keeper without records. The generator supplies claim ids and write ids.
    pub fn new(node: NodeId, settings: RecordSettings, random: R) -> Self {
        let health = TableHealth::new(settings.probe_interval);
        Self {
            settings,
            node,
            random,
            entries: RecordEntries::default(),
            queue: RecordQueue::default(),
            calls: TableCalls::default(),
            waiting: Vec::new(),
            next_write: Instant::default(),
            next_expiry: Instant::default(),
            health,
        }
    }

    /// Claims the right to run a request once. The result is returned as `Claimed` or `Refused`, in
    /// these outputs or in later ones.
    pub fn claim(
        &mut self,
        now: Instant,
        key: RecordKey,
        deadline: Instant,
        bucket: TimeBucket,
    ) -> (ClaimId, Vec<RecordOutput>) {
        let mut out = Vec::new();
        let claim = ClaimId::new(self.random.random());
        if self.entries.len() >= self.settings.entries_max {
            self.entries.expire(now, Duration::ZERO);
        }
        match self.admit(now, &key) {
            Err(refusal) => out.push(RecordOutput::Refused { claim, refusal }),
            Ok(()) => {
                let node = self.node.clone();
                let record = AttemptRecord { claim, node, bucket, state: RecordState::Running };
                let expires_at = deadline.min(now + self.settings.claim_timeout);
                self.waiting.push(WaitingClaim { expires_at, claim, key: key.clone() });
                self.entries.claim(now, &key, record);
                self.schedule(now, &key, false);
            }
        }
        self.send_due(now, &mut out);
        (claim, out)
    }

    /// Records the outcome of a request that ran under a claim. The outcome is written later.
    pub fn finish(
        &mut self,
        now: Instant,
        key: &RecordKey,
        claim: ClaimId,
        state: RecordState,
    ) -> Vec<RecordOutput> {
        let mut out = Vec::new();
        if self.entries.finish(now, key, claim, state) {
            self.schedule(now, key, false);
        }
        self.send_due(now, &mut out);
        out
    }

    /// Handles the result of a write. It is ignored if the call is no longer in flight.
    pub fn on_write(
        &mut self,
        now: Instant,
        call: CallId,
        result: WriteResult,
    ) -> Vec<RecordOutput> {
        let mut out = Vec::new();
        if let Some(keys) = self.calls.end_write(call) {
            match result {
                WriteResult::Done { versions } if versions.len() == keys.len() => {
                    self.health.on_answer();
                    for (key, version) in keys.iter().zip(versions) {
                        let transition =
                            self.entries.update(key, call, |entry| entry.on_written(now, version));
                        self.apply(now, key, transition, &mut out);
                    }
                }
                WriteResult::Conflict { key } if keys.contains(&key) => {
                    self.on_conflict(now, call, &keys, &key, &mut out);
                }
                _ => self.on_write_unknown(now, call, &keys, &mut out),
            }
        }
        self.send_due(now, &mut out);
        out
    }

    /// Handles the result of a read. It is ignored if the call is no longer in flight.
    pub fn on_read(&mut self, now: Instant, call: CallId, result: ReadResult) -> Vec<RecordOutput> {
        let mut out = Vec::new();
        if let Some(key) = self.calls.end_read(call) {
            match result {
                ReadResult::Unavailable => self.on_call_failed(now, &mut out),
                _ => self.health.on_answer(),
            }
            let transition = self.entries.update(&key, call, |entry| entry.on_read(now, result));
            self.apply(now, &key, transition, &mut out);
        }
        self.send_due(now, &mut out);
        out
    }

    /// Sends the calls that are due and refuses claims that have timed out.
    pub fn tick(&mut self, now: Instant) -> Vec<RecordOutput> {
        let mut out = Vec::new();
        self.send_due(now, &mut out);
        out
    }

    /// Returns when `tick` is next due, if no other method is called before.
    pub fn next_timer(&self) -> Option<Instant> {
        let claim_expiry = self.waiting.iter().map(|waiting| waiting.expires_at).min();
        let write = self.queue.write_due().map(|due| due.max(self.next_write));
        let can_read = self.calls.reads() < self.settings.reads_max;
        let read = (self.queue.has_reads() && can_read).then(Instant::default);
        let [write, read] = [write, read].map(|due| due.map(|at| self.health.next_call(at)));
        [claim_expiry, write, read].into_iter().flatten().min()
    }

    /// Returns the number of records without a final state in the table. A planned shutdown waits
    /// until there are none.
    pub fn unsettled(&self) -> usize {
        self.entries.unsettled()
    }

    /// Returns the number of records in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no record is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.len() == 0
    }

    fn admit(&self, now: Instant, key: &RecordKey) -> Result<(), RecordRefusal> {
        match self.entries.get(key).map(|entry| entry.desired.state) {
            Some(RecordState::NotRun { .. }) | None if self.rejects_new_claims(now) => {
                Err(RecordRefusal::Unavailable)
            }
            Some(RecordState::NotRun { .. }) => Ok(()),
            Some(state) => Err(RecordRefusal::duplicate(state)),
            None if self.is_full() => Err(RecordRefusal::Unavailable),
            None => Ok(()),
        }
    }

    /// Returns whether new claims are refused, because memory is full or because more claims are
    /// queued than can be written within `claim_timeout`.
    fn is_full(&self) -> bool {
        let writes = self.settings.claim_timeout.as_micros()
            / self.settings.write_interval.as_micros().max(1);
        let claims_max = self.settings.rows_max * usize::try_from(writes.max(1)).unwrap_or(1);
        self.entries.len() >= self.settings.entries_max || self.queue.claims() >= claims_max
    }

    /// Returns whether new claims are refused because the table is down. One claim per probe
    /// interval is admitted as a probe, unless a call already is in flight or a read is queued.
    fn rejects_new_claims(&self, now: Instant) -> bool {
        let probing = self.queue.has_reads() || !self.calls.is_empty();
        self.health.is_down() && (probing || !self.health.may_call(now))
    }

    fn apply(
        &mut self,
        now: Instant,
        key: &RecordKey,
        transition: Option<Transition>,
        out: &mut Vec<RecordOutput>,
    ) {
        let (Some(transition), Some(entry)) = (transition, self.entries.get(key)) else { return };
        match transition {
            Transition::Continue => self.schedule(now, key, false),
            Transition::Claimed => {
                out.push(RecordOutput::Claimed { claim: entry.desired.claim, key: key.clone() });
            }
            Transition::Refused { claim, refusal } => {
                // The record of a request that is running elsewhere will change, so it is not kept.
                if entry.desired.state == RecordState::Running {
                    self.entries.remove(key);
                }
                out.push(RecordOutput::Refused { claim, refusal });
            }
            Transition::Forget => {
                self.entries.remove(key);
            }
        }
    }

    fn schedule(&mut self, now: Instant, key: &RecordKey, retry: bool) {
        let Some(entry) = self.entries.get(key) else { return };
        match (entry.stage, entry.desired.state) {
            _ if entry.call.is_some() => {}
            (Stage::Write { .. }, RecordState::Running) if retry => {
                self.queue.requeue_claim(key.clone());
            }
            (Stage::Write { .. }, RecordState::Running) => self.queue.push_claim(key.clone()),
            // After a not-run response the client may retry at once, also through another node.
            (Stage::Write { .. }, RecordState::NotRun { .. }) => {
                self.queue.push_outcome(now, key.clone());
            }
            (Stage::Write { .. }, _) => {
                self.queue.push_outcome(now + self.settings.finish_delay, key.clone());
            }
            (Stage::Read, _) => self.queue.push_read(key.clone()),
            (Stage::Running { .. } | Stage::Settled { .. }, _) => {}
        }
    }

    fn on_conflict(
        &mut self,
        now: Instant,
        call: CallId,
        keys: &[RecordKey],
        conflicting: &RecordKey,
        out: &mut Vec<RecordOutput>,
    ) {
        self.health.on_answer();
        // The other rows are sent again at once, because their clients are waiting.
        self.next_write = now;
        for key in keys.iter().rev() {
            match key == conflicting {
                true => {
                    let transition = self.entries.update(key, call, |entry| entry.on_conflict(now));
                    self.apply(now, key, transition, out);
                }
                false => {
                    if self.entries.update(key, call, |entry| entry.on_not_written(now)).is_some() {
                        self.schedule(now, key, true);
                    }
                }
            }
        }
    }

    fn on_write_unknown(
        &mut self,
        now: Instant,
        call: CallId,
        keys: &[RecordKey],
        out: &mut Vec<RecordOutput>,
    ) {
        for key in keys {
            let transition = self.entries.update(key, call, |entry| entry.on_write_unknown(now));
            self.apply(now, key, transition, out);
        }
        self.on_call_failed(now, out);
    }

    fn on_call_failed(&mut self, now: Instant, out: &mut Vec<RecordOutput>) {
        self.health.on_failure(now);
        if self.health.is_down() {
            self.expire_claims(now, out, |entry| entry.is_unsent());
        }
    }

    /// Refuses waiting claims that have timed out, and those for which `must_refuse` returns true.
    fn expire_claims(
        &mut self,
        now: Instant,
        out: &mut Vec<RecordOutput>,
        must_refuse: impl Fn(&RecordEntry) -> bool,
    ) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|waiting_claim| {
            let Some(entry) = self.entries.get_mut(&waiting_claim.key) else { return false };
            let keep = entry.has_waiting_client && entry.desired.claim == waiting_claim.claim;
            if !keep || (now < waiting_claim.expires_at && !must_refuse(entry)) {
                return keep;
            }
            let reason = Reason::RecordUnavailable;
            if entry.abandon(now, RecordState::NotRun { reason }) {
                self.entries.remove(&waiting_claim.key);
            } else {
                self.schedule(now, &waiting_claim.key, false);
            }
            let refusal = RecordRefusal::Unavailable;
            out.push(RecordOutput::Refused { claim: waiting_claim.claim, refusal });
            false
        });
        self.waiting = waiting;
    }

    fn send_due(&mut self, now: Instant, out: &mut Vec<RecordOutput>) {
        self.expire_claims(now, out, |_| false);
        self.send_reads(now, out);
        self.send_writes(now, out);
        self.expire_entries(now);
    }

    fn send_reads(&mut self, now: Instant, out: &mut Vec<RecordOutput>) {
        while self.calls.reads() < self.settings.reads_max && self.health.may_call(now) {
            let Some(key) = self.queue.pop_read() else { return };
            let id = self.calls.next_id();
            if !self.entries.start_read(&key, id) {
                continue;
            }
            self.start_call(now, TableCall::Read(key.clone()));
            out.push(RecordOutput::Read { call: id, key });
        }
    }

    fn send_writes(&mut self, now: Instant, out: &mut Vec<RecordOutput>) {
        let due = self.queue.write_due().is_some_and(|due| due <= now);
        if !due || now < self.next_write || !self.health.may_call(now) {
            return;
        }
        let call = self.calls.next_id();
        let rows = self.take_rows(call);
        if rows.is_empty() {
            return;
        }
        self.next_write = now + self.settings.write_interval;
        self.start_call(now, TableCall::Write(rows.iter().map(|row| row.key.clone()).collect()));
        let write_id = WriteId::new(self.random.random());
        out.push(RecordOutput::Write { call, write_id, rows });
    }

    fn take_rows(&mut self, call: CallId) -> Vec<RecordWrite> {
        let rows_max = if self.health.is_down() { 1 } else { self.settings.rows_max };
        let reserved = self.queue.outcomes().min(rows_max / OUTCOME_SHARE_DIVISOR);
        let mut rows = Vec::new();
        while rows.len() < rows_max - reserved {
            let Some(key) = self.queue.pop_claim() else { break };
            rows.extend(self.entries.start_write(key, call));
        }
        while rows.len() < rows_max {
            let Some(key) = self.queue.pop_outcome() else { break };
            rows.extend(self.entries.start_write(key, call));
        }
        rows
    }

    fn start_call(&mut self, now: Instant, call: TableCall) {
        self.health.on_call(now);
        self.calls.start(call);
    }

    fn expire_entries(&mut self, now: Instant) {
        if now >= self.next_expiry {
            self.next_expiry = now + self.settings.final_retention / 4;
            self.entries.expire(now, self.settings.final_retention);
        }
    }
}
