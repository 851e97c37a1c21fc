//! Chooses owners for vacant ranges.

use std::time::Duration;

use wagtailmoor_core::Instant;

use crate::member_set::MemberSet;
use crate::range_entry::{RangeEntry, RangeState};
use crate::range_list::RangeList;
use crate::{AssignerSettings, Authority, Balancer, KeyLoad, KeyRange, TargetProcess};

/// Decides when vacant ranges are assigned, and to which members.
#[derive(Debug)]
pub(crate) struct Placement {
    started_at: Instant,
    /// See [`AssignerSettings::initial_quiet_period`].
    quiet_period: Duration,
    /// See [`AssignerSettings::initial_wait_max`].
    wait_max: Duration,
    /// Until then, another leader of a former era may have renewed grants of any range that this
    /// process knows to be free.
    others_until: Instant,
}

impl Placement {
    /// Maximum number of parts into which a vacant range is split.
    pub(crate) const SPLIT_PARTS_MAX: u32 = 8;

    pub(crate) fn new(now: Instant, settings: &AssignerSettings) -> Self {
        Self {
            started_at: now,
            quiet_period: settings.initial_quiet_period,
            wait_max: settings.initial_wait_max,
            others_until: Instant::default(),
        }
    }

    /// Assigns nothing before the grants of another leader of a former era have expired.
    pub(crate) fn wait_for_others(&mut self, until: Instant) {
        self.others_until = until;
    }

    /// Assigns owners to vacant ranges.
    pub(crate) fn assign_vacant(
        &self,
        now: Instant,
        authority: Authority,
        load: &KeyLoad,
        members: &MemberSet,
        ranges: &mut RangeList,
    ) {
        if now < self.others_until || !self.can_assign(now, members, ranges) {
            return;
        }
        let may_move = authority.may_move(now);
        let returns_to_owner = |entry: &RangeEntry, to: &Option<TargetProcess>| {
            to.as_ref().is_some_and(|owner| *to == entry.owner && members.has_ready(owner))
        };
        let is_ready = |entry: &RangeEntry| match &entry.state {
            RangeState::Vacant { free_from, to } => {
                let is_free = now >= *free_from || returns_to_owner(entry, to);
                is_free && (may_move || entry.owner.is_none())
            }
            _ => false,
        };
        if !ranges.iter().any(is_ready) || members.eligible().next().is_none() {
            return;
        }
        let vacant = ranges.extract(is_ready);
        let mut balancer = Balancer::new(load, members.eligible_with_ranges(ranges));
        let mut assigned = Vec::new();
        for entry in vacant {
            assign_range(entry, members, ranges, &mut balancer, &mut assigned);
        }
        ranges.insert(assigned);
    }

    /// Returns whether ranges may be assigned. The first assignment is delayed until the targets of
    /// a new site have registered.
    fn can_assign(&self, now: Instant, members: &MemberSet, ranges: &RangeList) -> bool {
        let has_owners = ranges.iter().any(|entry| entry.owner.is_some());
        let is_quiet = now.saturating_since(members.changed_at()) >= self.quiet_period;
        let is_overdue = now.saturating_since(self.started_at) >= self.wait_max;
        has_owners || (members.len() > 0 && (is_quiet || is_overdue))
    }
}

fn assign_range(
    entry: RangeEntry,
    members: &MemberSet,
    ranges: &mut RangeList,
    balancer: &mut Balancer<'_>,
    assigned: &mut Vec<RangeEntry>,
) {
    let chosen = match &entry.state {
        RangeState::Vacant { to: Some(to), .. } => members.find(to).cloned(),
        _ => None,
    };
    let chosen = chosen.filter(|member| members.is_eligible(member));
    let parts = match &chosen {
        Some(_) => vec![entry.range],
        None => split_vacant(entry.range, members),
    };
    for range in parts {
        let member = match &chosen {
            Some(member) => member.clone(),
            None => match balancer.least_busy() {
                Some(member) => member.clone(),
                None => return assigned.push(entry),
            },
        };
        balancer.add(&member.process, range);
        assigned.push(ranges.reassigned(&entry, range, member.process));
    }
}

/// Splits a vacant range, so that the keys of a lost target are spread over several targets.
fn split_vacant(range: KeyRange, members: &MemberSet) -> Vec<KeyRange> {
    let eligible = u32::try_from(members.eligible().count().max(1)).unwrap_or(u32::MAX);
    let fair_len = (KeyRange::ALL.len() / eligible).max(1);
    let part_count = match range == KeyRange::ALL {
        true => eligible,
        false => (range.len() * 4 / fair_len).clamp(1, Placement::SPLIT_PARTS_MAX).min(range.len()),
    };
    range.split(part_count)
}
