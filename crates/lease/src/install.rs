//! Decides when a candidate writes the controller row, and with which panel.

use std::time::Duration;

use wagtailmoor_core::{Generation, Instant, NodeId, SortedVec, ZoneId};

use crate::{Candidate, ControllerRow, Member, Panel, ZoneRequestKind};

// Limits the size of the row. At the limit, the panel is replaced only after its tenure has ended.
const MAX_SUPERSEDED: usize = 4;
// At least two rounds of requests, so that a reachable quorum is not missed.
const MIN_CAMPAIGN_DURATION: Duration = Duration::from_millis(300);
// Keeps a slow node from being dropped from the panel and added again every second.
const READD_DELAY: Duration = Duration::from_secs(10);
// A new generation that is not active after this time probably has unresponsive members.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(2);
// Nodes of the lease's zone write first; a node of another zone may not know yet that they are
// live.
const FOREIGN_DELAY: Duration = Duration::from_secs(2);
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
const ZONE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
// Number of nodes outside the panel that read the row as often as its members. All others read it
// at the longer interval, which limits the load on the store in a large zone.
const NON_MEMBER_READERS: usize = 3;
const NON_MEMBER_READ_INTERVAL_MS: u64 = 10_000;
const RECOVERY_READ_INTERVAL_MS: u64 = 500;

/// State kept between writes of the row: rate limits and dropped members.
#[derive(Debug)]
pub(crate) struct Installer {
    next_write: Instant,
    next_zone_request_at: Instant,
    last_write: Option<Instant>,
    dropped: SortedVec<NodeId, Instant>,
}

impl Installer {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            next_write: now,
            next_zone_request_at: now,
            last_write: None,
            dropped: SortedVec::new(),
        }
    }

    /// Records a successful write by this node, which was sent at `sent`.
    pub(crate) fn record_write(&mut self, sent: Instant) {
        self.last_write = self.last_write.max(Some(sent));
    }
}

impl Candidate {
    /// Returns the interval at which this node reads the row.
    pub(crate) fn read_interval_ms(&self) -> u64 {
        let is_member = self.knowledge.view.valid_panels().any(|panel| panel.contains(&self.node));
        match self.knowledge.view.is_recovered() {
            false => RECOVERY_READ_INTERVAL_MS.min(self.settings.renew_interval_ms),
            true if is_member || self.non_member_rank() < NON_MEMBER_READERS => {
                self.settings.renew_interval_ms
            }
            true => NON_MEMBER_READ_INTERVAL_MS,
        }
    }

    /// Returns the row to write now, if any.
    pub(crate) fn next_row(&mut self, now: Instant) -> Option<ControllerRow> {
        if now < self.installer.next_write {
            return None;
        }
        let row = match self.holds_quorum(now) {
            true => self.renewed_row(now),
            false => self.initial_row(now).or_else(|| self.superseding_row(now)),
        };
        let row = row.or_else(|| self.row_after_tenure(now))?;
        self.installer.next_write = now + WRITE_INTERVAL;
        Some(row)
    }

    /// Returns the requests to send to other zones now.
    pub(crate) fn next_zone_requests(&mut self, now: Instant) -> Vec<(ZoneId, ZoneRequestKind)> {
        if now < self.installer.next_zone_request_at {
            return Vec::new();
        }
        let requests = match self.holds_quorum(now) {
            true => self.extension_requests(now),
            false => Vec::new(),
        };
        let requests = if requests.is_empty() { self.consent_requests(now) } else { requests };
        if !requests.is_empty() {
            self.installer.next_zone_request_at = now + ZONE_REQUEST_INTERVAL;
        }
        requests
    }

    fn extension_requests(&self, now: Instant) -> Vec<(ZoneId, ZoneRequestKind)> {
        let active = self.knowledge.view.active();
        let panel = self.knowledge.view.valid_panels().find(|panel| panel.generation == active);
        let is_due = |panel: &&Panel| {
            let renewal_timeout_ms =
                (self.settings.renew_interval_ms * 3 / 2).min(panel.tenure_ms / 3);
            let renewed = self.installer.last_write;
            renewed.is_none_or(|sent| now >= sent + Duration::from_millis(renewal_timeout_ms))
        };
        let witnesses = panel.filter(is_due).map(|panel| panel.witnesses.as_slice());
        witnesses
            .unwrap_or_default()
            .iter()
            .map(|zone| (zone.clone(), ZoneRequestKind::Extend))
            .collect()
    }

    fn consent_requests(&self, now: Instant) -> Vec<(ZoneId, ZoneRequestKind)> {
        let Some(stored) =
            self.knowledge.view.stored().filter(|_| Some(now) >= self.tenure_ended_at())
        else {
            return Vec::new();
        };
        let zones = stored.row.panels().flat_map(|panel| &panel.witnesses);
        let mut requests: Vec<_> =
            zones.map(|zone| (zone.clone(), ZoneRequestKind::Consent)).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// Returns the row that a node with a quorum writes: a renewal, or a new panel when members are
    /// replaced, dropped or added or the settings changed.
    fn renewed_row(&mut self, now: Instant) -> Option<ControllerRow> {
        let stored = self.knowledge.view.stored()?;
        let row = &stored.row;
        let is_active = row.panel.generation == self.knowledge.view.active();
        let is_stuck = now.saturating_since(self.knowledge.view.panel_since())
            >= ACTIVATION_TIMEOUT
            && row.superseded.len() < MAX_SUPERSEDED;
        let keep = |node: &NodeId| self.is_responsive(now, node) && !self.leaving.contains(node);
        let members = match is_active || is_stuck {
            true if self.is_foreign && !self.home_members.is_empty() => self.choose_home_members(),
            true => self.choose_members(now, &row.panel.members, keep),
            false => row.panel.members.clone(),
        };
        let superseded = if is_active { Vec::new() } else { row.superseded.clone() };
        let renewals = row.renewals + 1;
        let is_changed =
            !same_members(&members, &row.panel) || self.settings_changed(&row.panel) && is_active;
        if is_changed {
            let superseded = superseded.into_iter().chain([row.panel.clone()]).collect();
            return Some(self.row_with_panel(now, members, superseded));
        }
        let interval = Duration::from_millis(self.settings.renew_interval_ms);
        let is_due = self.installer.last_write.is_none_or(|sent| now >= sent + interval)
            || self.knowledge.tenure.end(self.knowledge.view.active()).is_none_or(|end| end <= now)
            || superseded.len() < row.superseded.len();
        is_due.then(|| ControllerRow { panel: row.panel.clone(), renewals, superseded })
    }

    fn settings_changed(&self, panel: &Panel) -> bool {
        panel.tenure_ms != self.settings.tenure_ms || panel.witnesses != self.settings.other_zones
    }

    /// Returns the first row of a zone, which any node of the zone may write.
    fn initial_row(&mut self, now: Instant) -> Option<ControllerRow> {
        let is_allowed = !self.is_foreign
            && self.knowledge.view.stored().is_none()
            && now
                >= self.knowledge.view.unchanged_since()
                    + self.settings.stagger(self.non_member_rank());
        let members = self.choose_members(now, &[], |_| true);
        is_allowed.then(|| self.row_with_panel(now, members, Vec::new()))
    }

    /// Returns a row with a new panel that supersedes the current panels, if enough of their
    /// members are reachable to release them. A panel member writes the row when its campaign finds
    /// no quorum; a node outside the panel writes it when the row is no longer renewed.
    fn superseding_row(&mut self, now: Instant) -> Option<ControllerRow> {
        let row = &self.knowledge.view.stored()?.row;
        let is_member = row.panels().any(|panel| panel.contains(&self.node));
        let can_release = |panel: &Panel| {
            let reachable = panel.members.iter().filter(|node| match is_member {
                true => self.has_recent_contact(now, node),
                false => self.is_live(node),
            });
            reachable.count() >= panel.blocking_size()
        };
        let delay = Duration::from_millis(self.settings.non_member_delay_ms)
            + self.settings.stagger(self.non_member_rank());
        let is_allowed = match is_member {
            true => {
                self.campaigning_since().is_some_and(|since| now >= since + MIN_CAMPAIGN_DURATION)
            }
            false => !self.is_foreign && now >= self.knowledge.view.unchanged_since() + delay,
        };
        let is_fresh = self.reads.is_confirmed();
        if !is_allowed
            || !is_fresh
            || row.superseded.len() >= MAX_SUPERSEDED
            || !row.panels().all(can_release)
        {
            return None;
        }
        let members =
            self.choose_members(now, &row.panel.members, |node| self.has_recent_contact(now, node));
        // A new panel with the same members would not find a quorum either.
        if same_members(&members, &row.panel) {
            return None;
        }
        let superseded = row.panels().cloned().collect();
        Some(self.row_with_panel(now, members, superseded))
    }

    fn row_with_panel(
        &mut self,
        now: Instant,
        members: Vec<NodeId>,
        superseded: Vec<Panel>,
    ) -> ControllerRow {
        let row = self.knowledge.view.stored().map(|stored| &stored.row);
        let old_panel = row.map(|row| row.panel.clone());
        let renewals = row.map_or(0, |row| row.renewals) + 1;
        let (generation, old_members) =
            old_panel.map_or_else(Default::default, |panel| (panel.generation, panel.members));
        for node in old_members.into_iter().filter(|node| !members.contains(node)) {
            self.installer.dropped.insert(node, now);
        }
        ControllerRow { panel: self.next_panel(generation, members), renewals, superseded }
    }

    /// Returns a row that replaces the panel without releases, which any node may write after the
    /// tenure has ended and a witness of each panel has consented.
    fn row_after_tenure(&mut self, now: Instant) -> Option<ControllerRow> {
        let row = &self.knowledge.view.stored()?.row;
        let ended = self.tenure_ended_at()?;
        let consents = |panel: &Panel| {
            let mut given = panel.witnesses.iter().filter_map(|zone| self.knowledge.consent(zone));
            panel.witnesses.is_empty() || given.any(|sent| sent >= ended)
        };
        let start = match self.is_foreign {
            true if !self.home_members.is_empty() => return None,
            true => ended + FOREIGN_DELAY,
            false => ended,
        };
        if now < start + self.settings.stagger(self.rank()) || !row.panels().all(consents) {
            return None;
        }
        // The panel was not renewed for a whole tenure, so its members are kept only if they have
        // responded recently, whether or not membership reports them as live.
        let members =
            self.choose_members(now, &row.panel.members, |node| self.has_recent_contact(now, node));
        Some(self.row_with_panel(now, members, Vec::new()))
    }

    /// Returns when the tenure of every panel of the row has ended, unless other zones extended it.
    fn tenure_ended_at(&self) -> Option<Instant> {
        let tenure_ms =
            self.knowledge.view.stored()?.row.panels().map(|panel| panel.tenure_ms).max()?;
        Some(self.knowledge.view.unchanged_since() + self.settings.plus_drift(tenure_ms))
    }

    fn next_panel(&self, generation: Generation, members: Vec<NodeId>) -> Panel {
        let tenure_ms = self.settings.tenure_ms;
        let witnesses = self.settings.other_zones.clone();
        Panel { generation: generation.next(), members, tenure_ms, witnesses }
    }

    /// Chooses panel members: this node, the current members to keep, and then live nodes, on other
    /// racks if possible.
    fn choose_members(
        &self,
        now: Instant,
        current: &[NodeId],
        keep: impl Fn(&NodeId) -> bool,
    ) -> Vec<NodeId> {
        let kept = current.iter().filter(|node| **node != self.node && keep(node));
        let mut chosen: Vec<NodeId> = [&self.node].into_iter().chain(kept).cloned().collect();
        chosen.truncate(Panel::MAX_MEMBERS);
        let recently_dropped = |node: &NodeId| {
            let dropped = self.installer.dropped.get(node);
            dropped.is_some_and(|dropped| now.saturating_since(*dropped) < READD_DELAY)
        };
        let eligible = |node: &NodeId| !current.contains(node) && !recently_dropped(node);
        add_members(chosen, &self.members, eligible)
    }

    /// Chooses panel members among the nodes of the lease's zone, so that a panel of nodes of
    /// another zone hands the lease back to them.
    fn choose_home_members(&self) -> Vec<NodeId> {
        add_members(Vec::new(), &self.home_members, |_| true)
    }

    fn is_live(&self, node: &NodeId) -> bool {
        self.members.iter().any(|member| member.node == *node)
    }

    fn rank(&self) -> usize {
        self.members
            .iter()
            .position(|member| member.node == self.node)
            .unwrap_or(self.members.len())
    }

    /// Returns the position of this node among the live nodes outside the newest panel.
    fn non_member_rank(&self) -> usize {
        let is_outside = |node: &NodeId| {
            self.knowledge.view.newest_panel().is_none_or(|panel| !panel.contains(node))
        };
        self.members
            .iter()
            .filter(|member| member.node < self.node && is_outside(&member.node))
            .count()
    }
}

/// Adds live nodes to a panel up to its maximum size, those on other racks first.
fn add_members(
    mut chosen: Vec<NodeId>,
    live: &[Member],
    eligible: impl Fn(&NodeId) -> bool,
) -> Vec<NodeId> {
    let rack =
        |node: &NodeId| live.iter().find(|member| member.node == *node).map(|member| &member.rack);
    while chosen.len() < Panel::MAX_MEMBERS {
        let shares_rack = |node: &NodeId| chosen.iter().any(|other| rack(other) == rack(node));
        let others = live.iter().map(|member| &member.node);
        let others = others.filter(|node| !chosen.contains(node) && eligible(node));
        match others.min_by_key(|node| shares_rack(node)).cloned() {
            Some(node) => chosen.push(node),
            None => break,
        }
    }
    chosen
}

fn same_members(members: &[NodeId], panel: &Panel) -> bool {
    members.len() == panel.members.len() && members.iter().all(|node| panel.contains(node))
}
