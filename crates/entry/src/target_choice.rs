//! Choice of targets and the queues in front of them.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use wagtailmoor_core::{BackEndId, CustomerId, Epoch, Instant, KeyHash, Reason, SlotId, TargetId};
use wagtailmoor_dispatch::{ChoiceRequest, ChosenTarget, Member, MemberState, PowerOfTwo};
use wagtailmoor_front::{Assigned, Call};
use wagtailmoor_limits::{FairQueue, PushResult, ResourceId};
use wagtailmoor_ownership::{Route, Unit};

use crate::back_end::SLOTS;
use crate::configure::permit_zone;
use crate::entry::Entry;
use crate::state::State;
use crate::waiter::{Guard, SlotPermit, Turn, Waiter};

/// What a request may do now about its target.
pub(crate) enum Choice {
    Assigned(Box<Assigned<Guard>>),
    Wait(oneshot::Receiver<Turn>),
    Moving,
    Refused(Reason),
}

/// The place of a request among others for the same target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// Behind those that wait.
    Behind,
    /// It waited and has its turn.
    First,
}

impl State {
    /// Tells the issuer that a target is cold, so that all nodes together start little there.
    pub(crate) fn report_cold(&mut self, target: &TargetId) {
        let Some(zone) = permit_zone(self, target).cloned() else { return };
        if let Some(holder) = self.permits.get_mut(&zone) {
            holder.report_cold(&ResourceId::slots(target.clone()));
        }
    }

    pub(crate) fn choose(
        &mut self,
        entry: &Entry,
        now: Instant,
        call: &Call,
        tried: &[TargetId],
        place: Place,
    ) -> Choice {
        match call.key {
            Some(key) => self.choose_owner(entry, now, call, key, place),
            None => self.choose_pooled(entry, now, call, tried),
        }
    }

    fn choose_pooled(
        &mut self,
        entry: &Entry,
        now: Instant,
        call: &Call,
        tried: &[TargetId],
    ) -> Choice {
        let waiting =
            self.back_ends.get(&call.back_end).is_none_or(|known| !known.queue.is_empty());
        let request = ChoiceRequest { idempotent: call.idempotent, avoid: tried };
        let chosen = match waiting {
            true => None,
            false => self.take_target(entry, now, &call.back_end, request),
        };
        match chosen {
            Some(assigned) => Choice::Assigned(Box::new(assigned)),
            None => {
                self.want_target(now, &call.back_end);
                self.enqueue(call, tried, None)
            }
        }
    }

    fn choose_owner(
        &mut self,
        entry: &Entry,
        now: Instant,
        call: &Call,
        key: KeyHash,
        place: Place,
    ) -> Choice {
        let (server, ownership) = match self.routes.lookup(now, &call.back_end, key) {
            Route::Owner { target, epoch, unit } => (target.clone(), (slot_of(unit, key), epoch)),
            Route::Moving | Route::NoOwner | Route::Stale => return Choice::Moving,
        };
        let chosen = match place == Place::Behind && self.has_waiting(call, &server) {
            true => None,
            false => self.take_owner(entry, now, call, &server, ownership),
        };
        match chosen {
            Some(assigned) => Choice::Assigned(Box::new(assigned)),
            None => self.enqueue(call, &[], Some(server)),
        }
    }

    fn has_waiting(&self, call: &Call, server: &TargetId) -> bool {
        let back_end = self.back_ends.get(&call.back_end);
        let queue = back_end.and_then(|back_end| back_end.server_queues.get(server));
        queue.is_some_and(|queue| !queue.is_empty())
    }

    /// Chooses a target of a pooled back end among those with a free permit.
    fn take_target(
        &mut self,
        entry: &Entry,
        now: Instant,
        back_end: &BackEndId,
        request: ChoiceRequest<'_>,
    ) -> Option<Assigned<Guard>> {
        let Self { back_ends, permits, directory, random, .. } = self;
        let capacity = &entry.signals.capacity;
        let mut acquire = |now: Instant, target: &TargetId| {
            let holder = permits.get_mut(&directory.get(target)?.zone)?;
            let resource = ResourceId::slots(target.clone());
            let free = holder.free(now, &resource) > 0;
            let permit = free.then(|| holder.acquire(now, &resource).granted()).flatten()?;
            Some(SlotPermit::new(permit, capacity))
        };
        let targets = &mut back_ends.get_mut(back_end)?.targets;
        let ChosenTarget { target, in_flight } =
            targets.choose(now, request, &mut PowerOfTwo, &mut acquire, random)?;
        let address = self.directory.get(&target)?.address;
        Some(Assigned { target, address, guard: in_flight, ownership: None, send_before: None })
    }

    /// Tells the permit holder that one request waits for some target of a pooled back end.
    ///
    /// The demand is put on one target. On all of them it would look as many times as large, and
    /// the permits of other nodes would be recalled for it.
    fn want_target(&mut self, now: Instant, back_end: &BackEndId) {
        let Self { back_ends, permits, random, .. } = self;
        let Some(back_end) = back_ends.get(back_end) else { return };
        let live = |member: &&Member| member.state == MemberState::Live;
        let count = back_end.targets.members().filter(live).count();
        let pick = random.random_range(0..count.max(1));
        let Some(member) = back_end.targets.members().filter(live).nth(pick) else { return };
        if let Some(holder) = permits.get_mut(&member.zone) {
            // A permit that is granted after all is free again at once.
            drop(holder.acquire(now, &ResourceId::slots(member.target.clone())));
        }
    }

    fn take_owner(
        &mut self,
        entry: &Entry,
        now: Instant,
        call: &Call,
        server: &TargetId,
        ownership: (SlotId, Epoch),
    ) -> Option<Assigned<Guard>> {
        let Self { back_ends, permits, directory, .. } = self;
        let capacity = &entry.signals.capacity;
        let mut acquire = |now: Instant, target: &TargetId| {
            let holder = permits.get_mut(&directory.get(target)?.zone)?;
            let permit = holder.acquire(now, &ResourceId::slots(target.clone())).granted()?;
            Some(SlotPermit::new(permit, capacity))
        };
        let targets = &mut back_ends.get_mut(&call.back_end)?.targets;
        let chosen = targets.choose_owner(now, server, &mut acquire)?;
        Some(Assigned {
            address: self.directory.get(server)?.address,
            target: chosen.target,
            guard: chosen.in_flight,
            ownership: Some(ownership),
            send_before: None,
        })
    }

    fn enqueue(&mut self, call: &Call, tried: &[TargetId], server: Option<TargetId>) -> Choice {
        let limits = self.queue_limits();
        let Some(back_end) = self.back_ends.get_mut(&call.back_end) else {
            return Choice::Refused(Reason::RouteUnknown);
        };
        let queue = match server {
            Some(server) => {
                let make = || FairQueue::new(limits);
                back_end.server_queues.get_or_insert_with(server, make)
            }
            None => &mut back_end.queue,
        };
        let (turn, wait) = oneshot::channel();
        let waiter = Waiter { tried: tried.to_vec(), turn };
        let customer = call.customer.clone().unwrap_or_else(anonymous);
        match queue.push(&customer, call.weight, call.deadline, waiter) {
            PushResult::Waiting { evicted, .. } => {
                evicted
                    .into_iter()
                    .for_each(|waiter| waiter.wake(Turn::Refused(Reason::QueueFull)));
                Choice::Wait(wait)
            }
            PushResult::Full(_) => Choice::Refused(Reason::QueueFull),
        }
    }

    /// Hands free targets to requests that wait.
    ///
    /// After a reply of an issuer each waiting request is counted as demand again; at other times
    /// only what is free is handed out, because counting a request twice would inflate the demand.
    pub(crate) fn serve_waiting(&mut self, entry: &Entry, now: Instant) {
        let replied = std::mem::take(&mut self.permits_replied);
        let ids: Vec<_> = self.back_ends.keys().cloned().collect();
        for id in ids {
            self.serve_pooled(entry, now, &id);
            if replied {
                self.want_targets(now, &id);
            }
            self.serve_keyed(now, &id, replied);
        }
    }

    fn want_targets(&mut self, now: Instant, id: &BackEndId) {
        let waiting = self.back_ends.get(id).map_or(0, |back_end| back_end.queue.len());
        (0..waiting).for_each(|_| self.want_target(now, id));
    }

    fn serve_pooled(&mut self, entry: &Entry, now: Instant, id: &BackEndId) {
        let any = ChoiceRequest { idempotent: false, avoid: &[] };
        while self.back_ends.get(id).is_some_and(|back_end| !back_end.queue.is_empty()) {
            let Some(assigned) = self.take_target(entry, now, id, any) else { return };
            let Some(waiter) = self.next_pooled(now, id) else { return };
            let turn = match waiter.tried.contains(&assigned.target) {
                false => Turn::Assigned(Box::new(assigned)),
                true => Turn::Refused(Reason::TargetUnavailable),
            };
            waiter.wake(turn);
        }
    }

    fn next_pooled(&mut self, now: Instant, id: &BackEndId) -> Option<Waiter> {
        let back_end = self.back_ends.get_mut(id)?;
        let expected = back_end.expected();
        next_waiter(&mut back_end.queue, now, expected)
    }

    /// Wakes the first requests of each server that has room; they look up their owner again.
    fn serve_keyed(&mut self, now: Instant, id: &BackEndId, replied: bool) {
        let Self { back_ends, permits, directory, .. } = self;
        let Some(back_end) = back_ends.get_mut(id) else { return };
        let expected = back_end.expected();
        for (server, queue) in back_end.server_queues.iter_mut() {
            let zone = directory.get(server).map(|known| &known.zone);
            let Some(holder) = zone.and_then(|zone| permits.get_mut(zone)) else { continue };
            let resource = ResourceId::slots(server.clone());
            let mut room = Vec::new();
            for _ in 0..queue.len() {
                if !replied && holder.free(now, &resource) == 0 {
                    break;
                }
                let Some(permit) = holder.acquire(now, &resource).granted() else { continue };
                room.push(permit);
                match next_waiter(queue, now, expected) {
                    Some(waiter) => waiter.wake(Turn::LookUp),
                    None => break,
                }
            }
        }
    }

    /// Wakes every request that waits for an owner, because owners changed.
    pub(crate) fn wake_keyed(&mut self) {
        for back_end in self.back_ends.values_mut() {
            for queue in back_end.server_queues.values_mut() {
                queue.drain().into_iter().for_each(|waiter| waiter.wake(Turn::LookUp));
            }
        }
    }

    pub(crate) fn unowned_reason(&self, now: Instant, call: &Call) -> Reason {
        let Some(key) = call.key else { return Reason::OwnerUnknown };
        match self.routes.lookup(now, &call.back_end, key) {
            Route::Moving | Route::Owner { .. } => Reason::OwnerMoving,
            Route::NoOwner => Reason::OwnerUnknown,
            Route::Stale => Reason::OwnerUnreachable,
        }
    }
}

/// Returns the next request that can still finish and refuses those that cannot.
fn next_waiter(queue: &mut FairQueue<Waiter>, now: Instant, expected: Duration) -> Option<Waiter> {
    let popped = queue.pop(now, expected);
    let expired = popped.expired.into_iter();
    expired.for_each(|waiter| waiter.wake(Turn::Refused(Reason::DeadlineExceeded)));
    popped.next
}

fn slot_of(unit: Unit, key: KeyHash) -> SlotId {
    match unit {
        Unit::Slot(slot) => slot,
        Unit::HotKey(_) => key.slot(SLOTS),
    }
}

/// Requests without a customer share one flow of the fair queue.
fn anonymous() -> CustomerId {
    "-".parse().expect("a dash is a valid id")
}
