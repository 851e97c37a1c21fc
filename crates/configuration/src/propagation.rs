//! A node's copy of the configuration and its updates from the store and from peers.

use std::rc::Rc;
use std::time::Duration;

use wagtailmoor_core::{ConfigVersion, Instant};

use crate::{ChangeError, ChangeLog, ChangeRecord, Configuration, Freshness, Snapshot};

/// Result of merging received changes or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The configuration advanced to this version.
    Advanced(ConfigVersion),
    /// The received changes contain nothing newer.
    Unchanged,
    /// Changes in between are missing; a snapshot is needed.
    Gap,
    /// A stored change is invalid for this build. The configuration keeps the changes before it.
    Refused(ChangeError),
}

/// A node's copy of the configuration, with recent changes and freshness.
#[derive(Clone, Debug, Default)]
pub struct Propagation {
    configuration: Rc<Configuration>,
    log: ChangeLog,
    freshness: Freshness,
    known: bool,
}

impl Propagation {
    /// Returns the present configuration.
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// Returns the present version.
    pub fn version(&self) -> ConfigVersion {
        self.configuration.version()
    }

    /// Returns whether the store or a peer has supplied or confirmed the configuration since start.
    ///
    /// Before that, the node cannot tell whether an empty configuration is the one in force.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the recent changes.
    pub fn log(&self) -> &ChangeLog {
        &self.log
    }

    /// Returns the time since the present version was last known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Records that a read of the store sent at `sent_at` returned `version` as the newest.
    pub fn confirm(&mut self, sent_at: Instant, version: ConfigVersion) {
        self.known = true;
        match version {
            version if version <= self.version() => self.freshness.confirm(sent_at),
            _ => {}
        }
    }

    /// Records the version and age that a peer sent in reply to a message sent at `sent_at`.
    ///
    /// At that age, the store had nothing newer than the peer's version. If this node's version is
    /// at least as high, the age holds for it too. The age from a newer peer does not.
    pub fn on_peer(&mut self, sent_at: Instant, version: ConfigVersion, age: Option<Duration>) {
        match age {
            Some(age) if version <= self.version() => {
                self.known = true;
                self.freshness.merge(sent_at, age);
            }
            _ => {}
        }
    }

    /// Applies changes in order, skipping those that were applied before.
    pub fn merge_changes(&mut self, records: &[ChangeRecord]) -> MergeOutcome {
        let before = self.version();
        let mut next = Configuration::clone(&self.configuration);
        for record in records.iter().filter(|record| record.version > before) {
            match next.apply(record) {
                Ok(()) => self.log.push(record.clone()),
                Err(ChangeError::OutOfOrder { .. }) => {
                    return self.finish_merge(next, MergeOutcome::Gap);
                }
                Err(error) => return self.finish_merge(next, MergeOutcome::Refused(error)),
            }
        }
        match next.version() {
            version if version > before => self.finish_merge(next, MergeOutcome::Advanced(version)),
            _ => MergeOutcome::Unchanged,
        }
    }

    /// Replaces the configuration by a snapshot if that is newer.
    pub fn merge_snapshot(&mut self, snapshot: Snapshot) -> MergeOutcome {
        match snapshot.configuration.version() {
            version if version > self.version() => {
                self.log.clear();
                self.finish_merge(snapshot.configuration, MergeOutcome::Advanced(version))
            }
            _ => MergeOutcome::Unchanged,
        }
    }

    fn finish_merge(&mut self, next: Configuration, outcome: MergeOutcome) -> MergeOutcome {
        match next.version() {
            version if version > self.version() => {
                self.configuration = Rc::new(next);
                self.known = true;
            }
            _ => {}
        }
        outcome
    }
}
