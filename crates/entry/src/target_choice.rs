//! Choice of a target for each request, and the queues of requests that wait for one.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use wagtailmoor_core::{BackEndId, CustomerId, Epoch, Instant, KeyHash, Reason, SlotId, TargetId};
use wagtailmoor_dispatch::{ChoiceRequest, ChosenTarget, Member, MemberState, PowerOfTwo};
use wagtailmoor_front::{AssignedTarget, Call};
use wagtailmoor_limits::{FairQueue, PushResult, ResourceId};
use wagtailmoor_ownership::{Route, Unit};

use crate::back_end::SLOTS;
use crate::configure::permit_zone;
use crate::entry::Entry;
use crate::state::State;
use crate::waiter::{AttemptGuard, SlotPermit, WaitOutcome, Waiter};

/// Result of choosing a target for a request.
pub(crate) enum TargetChoice {
    Assigned(Box<AssignedTarget<AttemptGuard>>),
    /// The request is queued; the receiver yields how the wait ended.
    Wait(oneshot::Receiver<WaitOutcome>),
    /// The key has no known owner at present.
    NoOwner,
    Refused(Reason),
}

/// The position of a request relative to queued requests for the same target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueuePosition {
    /// Behind all queued requests.
    Back,
    /// Ahead of them, because the request has left the queue.
    Front,
}

impl State {
    /// Reports a cold target to its permit issuer, which limits the requests of all nodes there.
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
        position: QueuePosition,
    ) -> TargetChoice {
        match call.key {
            Some(key) => self.choose_owner(entry, now, call, key, position),
            None => self.choose_pooled(entry, now, call, tried),
        }
    }

    fn choose_pooled(
        &mut self,
        entry: &Entry,
        now: Instant,
        call: &Call,
        tried: &[TargetId],
    ) -> TargetChoice {
        let waiting =
            self.back_ends.get(&call.back_end).is_none_or(|known| !known.queue.is_empty());
        let request = ChoiceRequest { idempotent: call.idempotent, avoid: tried };
        let chosen = match waiting {
            true => None,
            false => self.acquire_target(entry, now, &call.back_end, request),
        };
        match chosen {
            Some(assigned) => TargetChoice::Assigned(Box::new(assigned)),
            None => {
                self.add_demand(now, &call.back_end);
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
        position: QueuePosition,
    ) -> TargetChoice {
        let (owner, ownership) = match self.routes.lookup(now, &call.back_end, key) {
            Route::Owner { target, epoch, unit } => (target.clone(), (slot_of(unit, key), epoch)),
            Route::Moving | Route::NoOwner | Route::Stale => return TargetChoice::NoOwner,
        };
        let chosen = match position == QueuePosition::Back && self.has_waiting(call, &owner) {
            true => None,
            false => self.acquire_owner(entry, now, call, &owner, ownership),
        };
        match chosen {
            Some(assigned) => TargetChoice::Assigned(Box::new(assigned)),
            None => self.enqueue(call, &[], Some(owner)),
        }
    }

    fn has_waiting(&self, call: &Call, owner: &TargetId) -> bool {
        let back_end = self.back_ends.get(&call.back_end);
        let queue = back_end.and_then(|back_end| back_end.owner_queues.get(owner));
        queue.is_some_and(|queue| !queue.is_empty())
    }

    /// Chooses a target of a pooled back end among those with a free permit, and acquires it.
    fn acquire_target(
        &mut self,
        entry: &Entry,
        now: Instant,
        back_end: &BackEndId,
        request: ChoiceRequest<'_>,
    ) -> Option<AssignedTarget<AttemptGuard>> {
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
        Some(AssignedTarget {
            target,
            address,
            guard: in_flight,
            ownership: None,
            send_before: None,
        })
    }

    /// Adds the permit demand of one request that waits for any target of a pooled back end.
    ///
    /// The demand is added to one random live target. Demand on every target would multiply it, and
    /// the issuer would recall permits of other nodes for it.
    fn add_demand(&mut self, now: Instant, back_end: &BackEndId) {
        let Self { back_ends, permits, random, .. } = self;
        let Some(back_end) = back_ends.get(back_end) else { return };
        let live = |member: &&Member| member.state == MemberState::Live;
        let count = back_end.targets.members().filter(live).count();
        let pick = random.random_range(0..count.max(1));
        let Some(member) = back_end.targets.members().filter(live).nth(pick) else { return };
        if let Some(holder) = permits.get_mut(&member.zone) {
            // If the holder grants a permit after all, dropping it makes it free again.
            drop(holder.acquire(now, &ResourceId::slots(member.target.clone())));
        }
    }

    fn acquire_owner(
        &mut self,
        entry: &Entry,
        now: Instant,
        call: &Call,
        owner: &TargetId,
        ownership: (SlotId, Epoch),
    ) -> Option<AssignedTarget<AttemptGuard>> {
        let Self { back_ends, permits, directory, .. } = self;
        let capacity = &entry.signals.capacity;
        let mut acquire = |now: Instant, target: &TargetId| {
            let holder = permits.get_mut(&directory.get(target)?.zone)?;
            let permit = holder.acquire(now, &ResourceId::slots(target.clone())).granted()?;
            Some(SlotPermit::new(permit, capacity))
        };
        let targets = &mut back_ends.get_mut(&call.back_end)?.targets;
        let chosen = targets.choose_owner(now, owner, &mut acquire)?;
        Some(AssignedTarget {
            address: self.directory.get(owner)?.address,
            target: chosen.target,
            guard: chosen.in_flight,
            ownership: Some(ownership),
            send_before: None,
        })
    }

    fn enqueue(
        &mut self,
        call: &Call,
        tried: &[TargetId],
        owner: Option<TargetId>,
    ) -> TargetChoice {
        let limits = self.queue_limits();
        let Some(back_end) = self.back_ends.get_mut(&call.back_end) else {
            return TargetChoice::Refused(Reason::RouteUnknown);
        };
        let queue = match owner {
            Some(owner) => {
                let make = || FairQueue::new(limits);
                back_end.owner_queues.get_or_insert_with(owner, make)
            }
            None => &mut back_end.queue,
        };
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { tried: tried.to_vec(), sender };
        let customer = call.customer.clone().unwrap_or_else(anonymous);
        match queue.push(&customer, call.weight, call.deadline, waiter) {
            PushResult::Waiting { evicted, .. } => {
                evicted
                    .into_iter()
                    .for_each(|waiter| waiter.wake(WaitOutcome::Refused(Reason::QueueFull)));
                TargetChoice::Wait(receiver)
            }
            PushResult::Full(_) => TargetChoice::Refused(Reason::QueueFull),
        }
    }

    /// Assigns free targets to waiting requests.
    ///
    /// After a reply of an issuer, each waiting request is counted as demand again. At other times
    /// only free permits are used, because counting a request twice would inflate the demand.
    pub(crate) fn serve_waiting(&mut self, entry: &Entry, now: Instant) {
        let replied = std::mem::take(&mut self.permits_replied);
        let ids: Vec<_> = self.back_ends.keys().cloned().collect();
        for id in ids {
            self.serve_pooled(entry, now, &id);
            if replied {
                self.add_queued_demand(now, &id);
            }
            self.serve_keyed(now, &id, replied);
        }
    }

    fn add_queued_demand(&mut self, now: Instant, id: &BackEndId) {
        let waiting = self.back_ends.get(id).map_or(0, |back_end| back_end.queue.len());
        (0..waiting).for_each(|_| self.add_demand(now, id));
    }

    fn serve_pooled(&mut self, entry: &Entry, now: Instant, id: &BackEndId) {
        let any = ChoiceRequest { idempotent: false, avoid: &[] };
        while self.back_ends.get(id).is_some_and(|back_end| !back_end.queue.is_empty()) {
            let Some(assigned) = self.acquire_target(entry, now, id, any) else { return };
            let Some(waiter) = self.next_pooled(now, id) else { return };
            let outcome = match waiter.tried.contains(&assigned.target) {
                false => WaitOutcome::Assigned(Box::new(assigned)),
                true => WaitOutcome::Refused(Reason::TargetUnavailable),
            };
            waiter.wake(outcome);
        }
    }

    fn next_pooled(&mut self, now: Instant, id: &BackEndId) -> Option<Waiter> {
        let back_end = self.back_ends.get_mut(id)?;
        let expected_duration = back_end.expected_duration();
        next_waiter(&mut back_end.queue, now, expected_duration)
    }

    /// Wakes as many requests of each owner as it has free slots; they look up their owner again.
    fn serve_keyed(&mut self, now: Instant, id: &BackEndId, replied: bool) {
        let Self { back_ends, permits, directory, .. } = self;
        let Some(back_end) = back_ends.get_mut(id) else { return };
        let expected_duration = back_end.expected_duration();
        for (owner, queue) in back_end.owner_queues.iter_mut() {
            let zone = directory.get(owner).map(|known| &known.zone);
            let Some(holder) = zone.and_then(|zone| permits.get_mut(zone)) else { continue };
            let resource = ResourceId::slots(owner.clone());
            // Keeps the permits until the loop ends, so that none is counted for two requests.
            let mut permits_held = Vec::new();
            for _ in 0..queue.len() {
                if !replied && holder.free(now, &resource) == 0 {
                    break;
                }
                let Some(permit) = holder.acquire(now, &resource).granted() else { continue };
                permits_held.push(permit);
                match next_waiter(queue, now, expected_duration) {
                    Some(waiter) => waiter.wake(WaitOutcome::RetryLookup),
                    None => break,
                }
            }
        }
    }

    /// Wakes all requests that wait for an owner, after a change of routes.
    pub(crate) fn wake_keyed(&mut self) {
        for back_end in self.back_ends.values_mut() {
            for queue in back_end.owner_queues.values_mut() {
                queue.drain().into_iter().for_each(|waiter| waiter.wake(WaitOutcome::RetryLookup));
            }
        }
    }

    /// Returns the reason to refuse a request whose owner was not found in time.
    pub(crate) fn unowned_reason(&self, now: Instant, call: &Call) -> Reason {
        let Some(key) = call.key else { return Reason::OwnerUnknown };
        match self.routes.lookup(now, &call.back_end, key) {
            Route::Moving | Route::Owner { .. } => Reason::OwnerMoving,
            Route::NoOwner => Reason::OwnerUnknown,
            Route::Stale => Reason::OwnerUnreachable,
        }
    }
}

/// Returns the next request that can still meet its deadline, and refuses those that cannot.
fn next_waiter(
    queue: &mut FairQueue<Waiter>,
    now: Instant,
    expected_duration: Duration,
) -> Option<Waiter> {
    let popped = queue.pop(now, expected_duration);
    let expired = popped.expired.into_iter();
    expired.for_each(|waiter| waiter.wake(WaitOutcome::Refused(Reason::DeadlineExceeded)));
    popped.next
}

fn slot_of(unit: Unit, key: KeyHash) -> SlotId {
    match unit {
        Unit::Slot(slot) => slot,
        Unit::HotKey(_) => key.slot(SLOTS),
    }
}

/// Returns the id under which all requests without a customer share one flow of the fair queue.
fn anonymous() -> CustomerId {
    "-".parse().expect("a dash is a valid id")
}
