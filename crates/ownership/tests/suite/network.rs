//! Messages between nodes, targets and the table of a simulated system.

use rand::RngExt;
use wagtailmoor_core::{Instant, KeyHash, TargetId};
use wagtailmoor_ownership::{Grant, Input, Output, Revoke, RowSource, WriteResult};

use crate::occupancy::Acceptance;
use crate::world::{Event, MS, TableCall, TargetCall, World, back_end};

impl World {
    pub(crate) fn deliver_to_node(&mut self, node: usize, input: Input) -> Result<(), String> {
        let paused_until = self.nodes[node].paused_until_us;
        if paused_until > self.now_us {
            self.schedule(paused_until - self.now_us, Event::ToNode(node, input));
            return Ok(());
        }
        if !self.nodes[node].up {
            return Ok(());
        }
        self.handle(node, input)
    }

    pub(crate) fn handle(&mut self, node: usize, input: Input) -> Result<(), String> {
        let now = self.nodes[node].now(self.now_us);
        let starts = matches!(input, Input::Authority(Some(_)))
            && !self.nodes[node].controller.is_active(now);
        self.handle_input(node, input)?;
        if starts {
            let (zone, id) = (self.nodes[node].zone.clone(), back_end("pump"));
            let held = self.nodes[node].routes.held_routes(&zone, &id);
            held.map_or(Ok(()), |held| self.handle_input(node, Input::HeldRoutes(held)))?;
        }
        Ok(())
    }

    fn handle_input(&mut self, node: usize, input: Input) -> Result<(), String> {
        for output in self.nodes[node].handle(self.now_us, input) {
            self.send_output(node, output)?;
        }
        Ok(())
    }

    pub(crate) fn send_output(&mut self, node: usize, output: Output) -> Result<(), String> {
        let delayed = self.random_faults && self.random.random_range(0..100) == 0;
        let delay = if delayed { self.random.random_range(0..300 * MS) } else { 0 };
        match output {
            Output::Grant(grant) => {
                let drop_after = grant.drop_after;
                self.schedule(delay, Event::Send(node, TargetCall::Grant(grant), drop_after));
            }
            Output::Revoke(revoke) => {
                if self.config.acknowledges_early {
                    self.revoked(node, &revoke);
                }
                let drop_after = revoke.drop_after;
                self.schedule(delay, Event::Send(node, TargetCall::Revoke(revoke), drop_after));
            }
            Output::QueryHeld(query) => {
                let never = Instant::from_us(u64::MAX);
                self.schedule(delay, Event::Send(node, TargetCall::Query(query), never));
            }
            Output::WriteRows(write) => {
                let delay = delay + self.delay();
                self.schedule(delay, Event::ToTable(node, TableCall::Write(write)));
            }
            Output::ReadRows(read) => {
                let call = TableCall::Read(read.back_end, self.nodes[node].now(self.now_us));
                let delay = delay + self.delay();
                self.schedule(delay, Event::ToTable(node, call));
            }
        }
        Ok(())
    }

    pub(crate) fn delay(&mut self) -> u64 {
        let slow = self.random_faults && self.random.random_range(0..100) == 0;
        self.random.random_range(if slow { 10 * MS..3_000 * MS } else { MS / 5..3 * MS })
    }

    pub(crate) fn is_blocked(&mut self, node: usize, target: usize, to_target: bool) -> bool {
        let lost = self.random_faults && self.random.random_range(0..100) == 0;
        let until = self.blocked.get(&(node, target, to_target)).copied().unwrap_or_default();
        lost || until > self.now_us
    }

    pub(crate) fn target_of(&self, message: &TargetCall) -> usize {
        let id = match message {
            TargetCall::Grant(grant) => &grant.target,
            TargetCall::Revoke(revoke) => &revoke.target,
            TargetCall::Query(query) => &query.target,
        };
        self.target_index(id)
    }

    pub(crate) fn target_index(&self, id: &TargetId) -> usize {
        let found = self.targets.iter().position(|it| it.target.target == *id);
        found.expect("a known target")
    }

    pub(crate) fn send(&mut self, node: usize, message: TargetCall) {
        let target = self.target_of(&message);
        if !self.is_blocked(node, target, true) {
            let delay = self.delay();
            self.schedule(delay, Event::ToTarget(node, message));
        }
    }

    pub(crate) fn deliver_to_target(
        &mut self,
        node: usize,
        message: TargetCall,
    ) -> Result<(), String> {
        let target = self.target_of(&message);
        let frozen_until = self.targets[target].frozen_until_us;
        if frozen_until > self.now_us {
            self.schedule(frozen_until - self.now_us, Event::ToTarget(node, message));
            return Ok(());
        }
        if !self.targets[target].up {
            return Ok(());
        }
        match message {
            TargetCall::Grant(grant) => self.serve_grant(node, target, &grant),
            TargetCall::Revoke(revoke) => {
                self.serve_revoke(node, target, revoke);
                Ok(())
            }
            TargetCall::Query(query) => {
                let reply = self.targets[target].on_query(self.now_us, &query);
                self.reply(node, target, 0, Input::HeldReply(reply));
                Ok(())
            }
        }
    }

    pub(crate) fn serve_grant(
        &mut self,
        node: usize,
        target: usize,
        grant: &Grant,
    ) -> Result<(), String> {
        self.grants += 1;
        let (reply, accepted) = self.targets[target].on_grant(self.now_us, grant);
        let request_max_us = 500 * MS;
        for each in accepted {
            let acceptance = Acceptance {
                back_end: &grant.back_end,
                target: &grant.target,
                unit: each.unit,
                epoch: each.epoch,
                end_us: each.end_us + request_max_us,
                split_keys: &each.split_keys,
            };
            let targets = &self.targets;
            let excludes = |id: &TargetId, key: KeyHash, epoch| {
                let target = targets.iter().find(|it| it.target.target == *id);
                target.is_some_and(|target| target.excludes(key, epoch))
            };
            self.occupancies.accept(self.now_us, &acceptance, excludes)?;
        }
        self.reply(node, target, 0, Input::GrantReply(reply));
        Ok(())
    }

    // The reply is delayed until the running requests have ended.
    pub(crate) fn serve_revoke(&mut self, node: usize, target: usize, revoke: Revoke) {
        self.targets[target].on_revoke(&revoke);
        let running_us = if self.random.random_range(0..4) == 0 {
            self.random.random_range(0..500 * MS)
        } else {
            0
        };
        let end_us = self.now_us + running_us;
        for (unit, _) in &revoke.units {
            self.occupancies.revoke(&revoke.back_end, &revoke.target, *unit, end_us);
        }
        self.schedule(running_us, Event::Revoked(node, revoke));
    }

    pub(crate) fn revoked(&mut self, node: usize, revoke: &Revoke) {
        let target = self.target_index(&revoke.target);
        let input = Input::RevokeReply {
            back_end: revoke.back_end.clone(),
            target: revoke.target.clone(),
            grant_id: revoke.grant_id,
        };
        self.reply(node, target, 0, input);
    }

    pub(crate) fn reply(&mut self, node: usize, target: usize, delay_us: u64, input: Input) {
        if !self.is_blocked(node, target, false) {
            let delay = delay_us + self.delay();
            self.schedule(delay, Event::ToNode(node, input));
        }
    }

    pub(crate) fn deliver_to_table(&mut self, node: usize, call: TableCall) -> Result<(), String> {
        let down = self.table.down_until_us > self.now_us;
        let takes_effect = !down || self.random.random_range(0..4) == 0;
        let lost = down || (self.random_faults && self.random.random_range(0..30) == 0);
        let delay = self.delay();
        let input = match call {
            TableCall::Read(back_end, _) if lost => Input::ReadFailed(back_end),
            TableCall::Read(back_end, requested_at) => {
                let rows = self.table.read(&back_end);
                Input::Rows {
                    back_end,
                    source: RowSource::Store,
                    requested_at,
                    complete: true,
                    rows,
                }
            }
            TableCall::Write(write) => {
                let result =
                    if takes_effect { self.table.write(&write)? } else { WriteResult::Unknown };
                let result = if lost { WriteResult::Unknown } else { result };
                Input::WriteResult { back_end: write.back_end, write_id: write.write_id, result }
            }
        };
        let delay = if lost { 200 * MS } else { delay };
        self.schedule(delay, Event::ToNode(node, input));
        Ok(())
    }
}
