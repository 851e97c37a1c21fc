//! A simulated target with its own clock.

use std::time::Duration;

use wagtailmoor_core::{Epoch, Incarnation, Instant, ShardKey, TargetId};
use wagtailmoor_ranges::{KeyRange, TargetProcess};

/// A grant that the target has accepted.
#[derive(Clone, Debug)]
struct Grant {
    range: KeyRange,
    epoch: Epoch,
    valid_until: Instant,
    /// Whether the grant was addressed to a previous process of the target, because the
    /// registration of this one had not arrived yet.
    misdirected: bool,
}

/// Ownership of a key by a target process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ownership {
    pub(crate) process: TargetProcess,
    pub(crate) epoch: Epoch,
    pub(crate) misdirected: bool,
}

/// A simulated target with its own clock.
#[derive(Clone, Debug)]
pub(crate) struct FakeTarget {
    pub(crate) process: TargetProcess,
    pub(crate) up: bool,
    /// Process that the registry lists. The registry lags behind crashes and restarts.
    pub(crate) listed: Option<TargetProcess>,
    /// When the registry learns of the last crash or restart.
    pub(crate) registry_update_at: Instant,
    /// Whether its last restart was at another address. Another process uses the previous address.
    pub(crate) address_changed: bool,
    pub(crate) leaving: bool,
    /// End of the partition between the leaders and this target.
    pub(crate) partitioned_until: Instant,
    /// Whether the partition refuses connections instead of dropping packets.
    pub(crate) partition_refuses: bool,
    /// The registry does not list the target until this instant, although it is running.
    pub(crate) unlisted_until: Instant,
    /// Rate by which its clock runs slow, in parts per thousand.
    pub(crate) slow_per_1000: u32,
    grants: Vec<Grant>,
    seen_epochs: Vec<(KeyRange, Epoch)>,
}

impl FakeTarget {
    pub(crate) fn new(number: usize, slow_per_1000: u32) -> Self {
        let target: TargetId = format!("t{number}").parse().unwrap();
        Self {
            listed: Some(TargetProcess {
                target: target.clone(),
                incarnation: Incarnation::new(1),
            }),
            registry_update_at: Instant::default(),
            address_changed: false,
            process: TargetProcess { target, incarnation: Incarnation::new(1) },
            up: true,
            leaving: false,
            partitioned_until: Instant::default(),
            partition_refuses: false,
            unlisted_until: Instant::default(),
            slow_per_1000,
            grants: Vec::new(),
            seen_epochs: Vec::new(),
        }
    }

    /// Ends the process, which loses its grants and epochs. The registry delists it later.
    pub(crate) fn crash(&mut self, delisted_at: Instant) {
        self.up = false;
        self.registry_update_at = delisted_at;
        self.grants.clear();
        self.seen_epochs.clear();
    }

    /// Starts a new process under the same id, which registers later.
    pub(crate) fn restart(&mut self, registers_at: Instant, address_changed: bool) {
        self.up = true;
        self.leaving = false;
        self.registry_update_at = registers_at;
        self.address_changed = address_changed;
        self.process.incarnation = Incarnation::new(self.process.incarnation.get() + 1);
    }

    /// Updates the registry entry if the update is due.
    pub(crate) fn update_registry(&mut self, now: Instant) {
        if now >= self.registry_update_at {
            self.listed = self.up.then(|| self.process.clone());
        }
    }

    /// Returns whether calls to `process` reach the current process. Calls name the target and not
    /// its process, so a new process at the same address accepts calls to the previous one.
    pub(crate) fn accepts_calls_to(&self, process: &TargetProcess) -> bool {
        self.process == *process || !self.address_changed
    }

    /// Handles a grant, whose validity starts at its arrival. Returns whether it was accepted.
    pub(crate) fn grant(
        &mut self,
        arrived: Instant,
        addressee: &TargetProcess,
        range: KeyRange,
        epoch: Epoch,
        validity: Duration,
    ) -> bool {
        let overlaps = |known: &KeyRange| known.intersection(range).is_some();
        if self.seen_epochs.iter().any(|(known, seen)| overlaps(known) && *seen > epoch) {
            return false;
        }
        self.seen_epochs.push((range, epoch));
        let valid_until = arrived + validity + validity * self.slow_per_1000 / 1_000;
        self.remove(range);
        let misdirected = self.process != *addressee;
        self.grants.push(Grant { range, epoch, valid_until, misdirected });
        true
    }

    /// Releases a range.
    pub(crate) fn release(&mut self, range: KeyRange, epoch: Epoch) {
        self.seen_epochs.push((range, epoch));
        self.remove(range);
    }

    /// Returns the ownership of a key, if the target has a valid grant for it.
    pub(crate) fn ownership(&self, now: Instant, key: ShardKey) -> Option<Ownership> {
        let valid =
            self.grants.iter().find(|grant| grant.range.contains(key) && now < grant.valid_until);
        let Grant { epoch, misdirected, .. } = *valid.filter(|_| self.up)?;
        Some(Ownership { process: self.process.clone(), epoch, misdirected })
    }

    fn remove(&mut self, range: KeyRange) {
        let grants = std::mem::take(&mut self.grants);
        self.grants = grants
            .into_iter()
            .flat_map(|grant| {
                let parts = match grant.range.intersection(range) {
                    None => [Some(grant.range), None],
                    Some(_) => [grant.range.below(range), grant.range.above(range)],
                };
                parts.into_iter().flatten().map(move |range| Grant { range, ..grant.clone() })
            })
            .collect();
    }
}
