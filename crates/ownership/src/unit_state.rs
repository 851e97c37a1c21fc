//! State of one slot or hot key, as known to a controller.

use wagtailmoor_core::{Epoch, GrantId, Instant};

use crate::target_table::{TargetIndex, TargetTable};

/// An [`Assignment`](crate::Assignment) that refers to targets by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IndexedAssignment {
    pub(crate) owner: TargetIndex,
    pub(crate) successor: Option<TargetIndex>,
    pub(crate) epoch: Epoch,
}

/// The target whose grant of a unit may be unexpired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grantee {
    pub(crate) target: TargetIndex,
    pub(crate) epoch: Epoch,
    /// Whether the target acknowledged a grant of this epoch.
    pub(crate) confirmed: bool,
    /// Whether no grant of this epoch was sent yet.
    pub(crate) unsent: bool,
    /// Id of the last grant that contained the unit.
    pub(crate) grant: GrantId,
    pub(crate) revoking: Option<Revoking>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Revoking {
    pub(crate) sent: Option<Instant>,
}

/// Route of a unit, as last published to entry processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PublishedRoute {
    #[default]
    Nothing,
    Owner(TargetIndex, Epoch),
    Moving,
    NoOwner,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct UnitState {
    /// The assignment in the last known row.
    pub(crate) recorded: Option<IndexedAssignment>,
    pub(crate) grantee: Option<Grantee>,
    /// Instant after which no earlier grant of this unit can have an effect.
    pub(crate) lapse: Instant,
    /// Highest epoch known to have been granted or refused.
    pub(crate) highest_epoch: Epoch,
    /// The only target that may be granted `highest_epoch` again.
    pub(crate) highest_epoch_target: Option<TargetIndex>,
    /// Whether the unit may be granted only after this controller has written the row.
    pub(crate) needs_write: bool,
    /// Assignment to be written with the next row write.
    pub(crate) proposed: Option<IndexedAssignment>,
    /// Destination of a planned move.
    pub(crate) move_to: Option<TargetIndex>,
    /// Start of the period in which no target may hold the unit.
    pub(crate) free_since: Option<Instant>,
    pub(crate) published: PublishedRoute,
    pub(crate) version: u64,
    pub(crate) heat: u32,
    /// For hot keys: first epoch of the slot at which its grants exclude the key.
    pub(crate) split_epoch: Epoch,
    /// For hot keys: whether the key is being merged back into its slot.
    pub(crate) merging: bool,
}

impl UnitState {
    pub(crate) fn unknown(lapse: Instant) -> Self {
        Self { lapse, needs_write: true, ..Self::default() }
    }

    /// Resets the state at the start of an authority, except the recorded assignment and the load.
    pub(crate) fn reset(&mut self, lapse: Instant) {
        let heat = self.heat;
        let (recorded, split_epoch) = (self.recorded, Epoch::default());
        *self = Self { recorded, heat, split_epoch, ..Self::unknown(lapse) };
    }

    pub(crate) fn is_free(&self, now: Instant) -> bool {
        self.grantee.is_none() && now >= self.lapse
    }

    pub(crate) fn may_grant(&self, target: TargetIndex, epoch: Epoch) -> bool {
        epoch > self.highest_epoch
            || (epoch == self.highest_epoch && self.highest_epoch_target == Some(target))
    }

    /// Returns an epoch above every epoch that any target may have been granted.
    pub(crate) fn next_epoch(&self) -> Epoch {
        match self.recorded {
            // The successor may be granted the epoch after the recorded one without a row write.
            Some(recorded) => recorded.epoch.next().max(self.highest_epoch).next(),
            None => self.highest_epoch.next(),
        }
    }

    pub(crate) fn set_grantee(&mut self, target: TargetIndex, epoch: Epoch) {
        self.grantee = Some(Grantee {
            target,
            epoch,
            confirmed: false,
            unsent: true,
            grant: GrantId::default(),
            revoking: None,
        });
        self.free_since = None;
    }

    /// Records that a grant of the epoch of the grantee is being sent.
    pub(crate) fn on_grant_sent(&mut self, grant: GrantId, lapse: Instant) {
        let Some(grantee) = self.grantee.as_mut() else { return };
        grantee.unsent = false;
        grantee.grant = grant;
        self.highest_epoch = self.highest_epoch.max(grantee.epoch);
        self.highest_epoch_target = Some(grantee.target);
        self.lapse = self.lapse.max(lapse);
    }

    /// Adopts a grant that a target reported and returns whether it was adopted. `splits_known`
    /// means that the target excludes the same keys from its slots as the known row.
    ///
    /// No other target has an unexpired grant, because every earlier controller has stopped. The
    /// grant is kept if the row names the target for its epoch, or if the epoch is above that of
    /// the row, which means that the known row is out of date. Otherwise the unit waits for a row
    /// write.
    pub(crate) fn adopt_held(
        &mut self,
        target: TargetIndex,
        epoch: Epoch,
        splits_known: bool,
    ) -> bool {
        let Some(recorded) = self.recorded else { return false };
        let is_owner = recorded.owner == target && epoch <= recorded.epoch;
        let failed_over = recorded.successor == Some(target) && epoch == recorded.epoch.next();
        let newer = epoch > recorded.epoch;
        if (epoch >= recorded.epoch && !splits_known) || !(is_owner || failed_over || newer) {
            return false;
        }
        self.set_grantee(target, epoch.max(recorded.epoch));
        if let Some(grantee) = self.grantee.as_mut().filter(|grantee| grantee.epoch == epoch) {
            grantee.confirmed = true;
        }
        self.needs_write = false;
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.highest_epoch_target = Some(target);
        true
    }

    /// Records that the target has stopped serving the unit and refuses its epoch from now on.
    pub(crate) fn on_revocation_acknowledged(&mut self, now: Instant) {
        self.grantee = None;
        self.highest_epoch_target = None;
        self.lapse = self.lapse.min(now);
    }

    /// Records that a target refused a grant because it has seen an epoch that is as high or
    /// higher.
    pub(crate) fn on_refusal(&mut self, target: TargetIndex, highest: Epoch) {
        if self.grantee.is_some_and(|grantee| grantee.target == target && grantee.epoch <= highest)
        {
            self.grantee = None;
        }
        if highest >= self.highest_epoch {
            self.highest_epoch = highest;
            self.highest_epoch_target = None;
        }
    }

    pub(crate) fn revoke(&mut self) {
        if let Some(grantee) = self.grantee.as_mut() {
            grantee.revoking.get_or_insert(Revoking { sent: None });
        }
    }

    /// Assigns a free unit to the owner or successor in the row, if that needs no row write.
    /// Returns whether the unit was assigned.
    pub(crate) fn assign(&mut self, targets: &TargetTable) -> bool {
        let Some(recorded) = self.recorded else { return false };
        if self.needs_write {
            return false;
        }
        let owner = (recorded.owner, recorded.epoch);
        let successor = recorded.successor.map(|target| (target, recorded.epoch.next()));
        let choice = [Some(owner), successor].into_iter().flatten().find(|(target, epoch)| {
            targets.at(*target).is_usable() && self.may_grant(*target, *epoch)
        });
        if let Some((target, epoch)) = choice {
            self.set_grantee(target, epoch);
        }
        choice.is_some()
    }

    /// Returns the assignment that the row should contain, before its successor is chosen.
    pub(crate) fn desired(&self) -> Option<IndexedAssignment> {
        if self.proposed.is_some() {
            return self.proposed;
        }
        let Some(grantee) = self.grantee.filter(|grantee| grantee.revoking.is_none()) else {
            return self.recorded;
        };
        let recorded = self.recorded?;
        let (owner, successor) = (grantee.target, recorded.successor);
        if owner == recorded.owner {
            return Some(IndexedAssignment {
                epoch: recorded.epoch.max(grantee.epoch),
                ..recorded
            });
        }
        let failed_over = successor == Some(owner) && grantee.epoch == recorded.epoch.next();
        let epoch = if failed_over { grantee.epoch } else { self.next_epoch() };
        Some(IndexedAssignment { owner, successor: None, epoch })
    }

    /// Moves the grantee to the recorded epoch after a row write raised the epoch.
    pub(crate) fn upgrade(&mut self) {
        let (Some(grantee), Some(recorded)) = (self.grantee, self.recorded) else { return };
        if grantee.target == recorded.owner
            && recorded.epoch > grantee.epoch
            && grantee.revoking.is_none()
        {
            self.set_grantee(recorded.owner, recorded.epoch);
        }
    }
}
