//! What a controller knows about one slot or hot key.

use wagtailmoor_core::{Epoch, GrantId, Instant};

use crate::target_table::{TargetIndex, TargetTable};

/// An assignment with targets by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Recorded {
    pub(crate) owner: TargetIndex,
    pub(crate) successor: Option<TargetIndex>,
    pub(crate) epoch: Epoch,
}

/// The target that may hold an unexpired grant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holder {
    pub(crate) target: TargetIndex,
    pub(crate) epoch: Epoch,
    /// The target acknowledged a grant of this epoch.
    pub(crate) confirmed: bool,
    /// No grant of this epoch was sent yet.
    pub(crate) unsent: bool,
    /// Last grant that contained the unit.
    pub(crate) grant: GrantId,
    pub(crate) revoking: Option<Revoking>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Revoking {
    pub(crate) sent: Option<Instant>,
}

/// What entry processes were told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Published {
    #[default]
    Nothing,
    Owner(TargetIndex, Epoch),
    Moving,
    NoOwner,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct UnitState {
    /// The assignment in the last known row.
    pub(crate) recorded: Option<Recorded>,
    pub(crate) holder: Option<Holder>,
    /// Instant after which no grant ever given for this unit can have an effect.
    pub(crate) lapse: Instant,
    /// Highest epoch known to have been granted or refused.
    pub(crate) floor: Epoch,
    /// The only target that may be granted the floor itself again.
    pub(crate) floor_target: Option<TargetIndex>,
    /// The unit may be granted only after a row write of this controller.
    pub(crate) needs_write: bool,
    /// Assignment that the next row write contains.
    pub(crate) proposed: Option<Recorded>,
    /// Destination of a planned move.
    pub(crate) move_to: Option<TargetIndex>,
    /// Since when no target may hold the unit.
    pub(crate) free_since: Option<Instant>,
    pub(crate) published: Published,
    pub(crate) version: u64,
    pub(crate) heat: u32,
    /// For hot keys: the epoch of the slot from which on its grants exclude the key.
    pub(crate) split_epoch: Epoch,
    /// For hot keys: it is to be merged back.
    pub(crate) merging: bool,
}

impl UnitState {
    pub(crate) fn unknown(lapse: Instant) -> Self {
        Self { lapse, needs_write: true, ..Self::default() }
    }

    /// Forgets what an earlier authority knew.
    pub(crate) fn reset(&mut self, lapse: Instant) {
        let heat = self.heat;
        let (recorded, split_epoch) = (self.recorded, Epoch::default());
        *self = Self { recorded, heat, split_epoch, ..Self::unknown(lapse) };
    }

    pub(crate) fn is_free(&self, now: Instant) -> bool {
        self.holder.is_none() && now >= self.lapse
    }

    pub(crate) fn allows(&self, target: TargetIndex, epoch: Epoch) -> bool {
        epoch > self.floor || (epoch == self.floor && self.floor_target == Some(target))
    }

    /// Returns an epoch above every epoch that any target may have been granted.
    pub(crate) fn next_epoch(&self) -> Epoch {
        match self.recorded {
            // The successor has authority for the epoch after the recorded one.
            Some(recorded) => recorded.epoch.next().max(self.floor).next(),
            None => self.floor.next(),
        }
    }

    pub(crate) fn hold(&mut self, target: TargetIndex, epoch: Epoch) {
        self.holder = Some(Holder {
            target,
            epoch,
            confirmed: false,
            unsent: true,
            grant: GrantId::default(),
            revoking: None,
        });
        self.free_since = None;
    }

    /// Notes that a grant of the held epoch leaves the controller.
    pub(crate) fn granted(&mut self, grant: GrantId, lapse: Instant) {
        let Some(holder) = self.holder.as_mut() else { return };
        holder.unsent = false;
        holder.grant = grant;
        self.floor = self.floor.max(holder.epoch);
        self.floor_target = Some(holder.target);
        self.lapse = self.lapse.max(lapse);
    }

    /// Takes over what a target says it holds. `splits_known` says that the target excludes the keys
    /// that the known row says.
    ///
    /// A target with an unexpired grant holds the unit alone, because every earlier controller has
    /// stopped. Its epoch can be kept if the row names it, or if it is above what the row allows,
    /// which means that the known row is out of date. Otherwise the unit waits for a write.
    pub(crate) fn adopt(&mut self, target: TargetIndex, epoch: Epoch, splits_known: bool) -> bool {
        let Some(recorded) = self.recorded else { return false };
        let is_owner = recorded.owner == target && epoch <= recorded.epoch;
        let failed_over = recorded.successor == Some(target) && epoch == recorded.epoch.next();
        let newer = epoch > recorded.epoch;
        if (epoch >= recorded.epoch && !splits_known) || !(is_owner || failed_over || newer) {
            return false;
        }
        self.hold(target, epoch.max(recorded.epoch));
        if let Some(holder) = self.holder.as_mut().filter(|holder| holder.epoch == epoch) {
            holder.confirmed = true;
        }
        self.needs_write = false;
        self.floor = self.floor.max(epoch);
        self.floor_target = Some(target);
        true
    }

    /// Notes that the target does not serve the unit and refuses its epoch from now on.
    pub(crate) fn acknowledge_revocation(&mut self, now: Instant) {
        self.holder = None;
        self.floor_target = None;
        self.lapse = self.lapse.min(now);
    }

    /// Notes that a target refused a grant because it has seen a higher epoch.
    pub(crate) fn refuse(&mut self, target: TargetIndex, highest: Epoch) {
        if self.holder.is_some_and(|holder| holder.target == target && holder.epoch <= highest) {
            self.holder = None;
        }
        if highest >= self.floor {
            self.floor = highest;
            self.floor_target = None;
        }
    }

    pub(crate) fn revoke(&mut self) {
        if let Some(holder) = self.holder.as_mut() {
            holder.revoking.get_or_insert(Revoking { sent: None });
        }
    }

    /// Gives a free unit to the target that the row names, if that needs no write.
    pub(crate) fn assign(&mut self, targets: &TargetTable) -> bool {
        let Some(recorded) = self.recorded else { return false };
        if self.needs_write {
            return false;
        }
        let owner = (recorded.owner, recorded.epoch);
        let successor = recorded.successor.map(|target| (target, recorded.epoch.next()));
        let choice = [Some(owner), successor].into_iter().flatten().find(|(target, epoch)| {
            targets.at(*target).is_usable() && self.allows(*target, *epoch)
        });
        if let Some((target, epoch)) = choice {
            self.hold(target, epoch);
        }
        choice.is_some()
    }

    /// Returns the assignment that the row should contain, before its successor is chosen.
    pub(crate) fn desired(&self) -> Option<Recorded> {
        if self.proposed.is_some() {
            return self.proposed;
        }
        let Some(holder) = self.holder.filter(|holder| holder.revoking.is_none()) else {
            return self.recorded;
        };
        let recorded = self.recorded?;
        let (owner, successor) = (holder.target, recorded.successor);
        if owner == recorded.owner {
            return Some(Recorded { epoch: recorded.epoch.max(holder.epoch), ..recorded });
        }
        let failed_over = successor == Some(owner) && holder.epoch == recorded.epoch.next();
        let epoch = if failed_over { holder.epoch } else { self.next_epoch() };
        Some(Recorded { owner, successor: None, epoch })
    }

    /// Moves the holder to the recorded epoch once a row write raised it.
    pub(crate) fn upgrade(&mut self) {
        let (Some(holder), Some(recorded)) = (self.holder, self.recorded) else { return };
        if holder.target == recorded.owner
            && recorded.epoch > holder.epoch
            && holder.revoking.is_none()
        {
            self.hold(recorded.owner, recorded.epoch);
        }
    }
}
