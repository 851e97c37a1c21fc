//! Weighted fair queue in front of a back end.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, SortedVec, Weight};

use crate::fair_flow::{Entry, FairFlow};
use crate::{PushResult, QueueLimits, Ticket};

/// Start-time weighted fair queue by customer.
///
/// The queue serves the request with the lowest start tag. A customer's tag advances by 1/weight
/// for each served request, so backlogged customers share the back end by weight. A customer that
/// was idle starts at the current virtual time and cannot claim its unused share.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    flows: SortedVec<CustomerId, FairFlow<T>>,
    len: usize,
    next_ticket: u64,
    virtual_time: f64,
}

/// Requests removed from the queue by one call of [`FairQueue::pop`].
#[derive(Debug)]
#[must_use]
pub struct Popped<T> {
    /// Request to run now.
    pub next: Option<T>,
    /// Requests that cannot finish before their deadline and must not run.
    pub expired: Vec<T>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        let flows = SortedVec::new();
        Self { limits, flows, len: 0, next_ticket: 0, virtual_time: 0.0 }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request that must finish by `deadline`.
    ///
    /// When the queue is full, the newest request of the customer with the longest queue relative
    /// to its weight is evicted. If that is `customer` itself, the new request is rejected.
    pub fn push(
        &mut self,
        customer: &CustomerId,
        weight: Weight,
        deadline: Instant,
        item: T,
    ) -> PushResult<T> {
        let own_len = self.flows.get(customer).map_or(0, FairFlow::len);
        if own_len >= self.limits.per_customer {
            return PushResult::Full(item);
        }
        let evicted = match self.len >= self.limits.total {
            true => match self.evict(customer, weight, own_len) {
                Some(evicted) => Some(evicted),
                None => return PushResult::Full(item),
            },
            false => None,
        };
        let ticket = Ticket::new(customer, self.next_ticket);
        self.next_ticket += 1;
        let virtual_time = self.virtual_time;
        let flow = self.flows.get_or_insert_with(customer.clone(), FairFlow::default);
        flow.push(virtual_time, weight, Entry { number: ticket.number(), deadline, item });
        self.len += 1;
        PushResult::Waiting { ticket, evicted }
    }

    /// Removes the next request that can finish before its deadline if it runs for `expected`.
    pub fn pop(&mut self, now: Instant, expected: Duration) -> Popped<T> {
        let mut popped = Popped { next: None, expired: Vec::new() };
        let earliest_end = now + expected;
        while let (None, Some(customer)) = (&popped.next, self.next_flow()) {
            let flow = self.flows.get_mut(&customer).expect("next_flow returns an existing flow");
            let start_tag = flow.start_tag();
            self.len -= flow.drop_expired(earliest_end, &mut popped.expired);
            if let Some(item) = flow.pop() {
                self.virtual_time = self.virtual_time.max(start_tag);
                self.len -= 1;
                popped.next = Some(item);
            }
        }
        self.remove_idle_flows();
        popped
    }

    /// Removes a request whose client has disconnected, and returns it if it is still queued.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let item = self.flows.get_mut(ticket.customer())?.remove(ticket.number())?;
        self.len -= 1;
        Some(item)
    }

    /// Removes and returns all requests, for a graceful shutdown.
    pub fn drain(&mut self) -> Vec<T> {
        self.len = 0;
        let flows = std::mem::take(&mut self.flows);
        flows.into_iter().flat_map(|(_, flow)| flow.into_items()).collect()
    }

    fn next_flow(&self) -> Option<CustomerId> {
        let waiting = self.flows.iter().filter(|(_, flow)| flow.len() > 0);
        let first =
            waiting.min_by(|(_, left), (_, right)| left.start_tag().total_cmp(&right.start_tag()));
        first.map(|(customer, _)| customer.clone())
    }

    /// Evicts a request in favour of a customer with `own_len` requests, or returns `None` if that
    /// customer has the longest queue.
    fn evict(&mut self, customer: &CustomerId, weight: Weight, own_len: usize) -> Option<T> {
        let weighted_own_len = (own_len + 1) as f64 / f64::from(weight.get().max(1));
        let others = self.flows.iter_mut().filter(|(other, _)| *other != customer);
        let longest = others
            .max_by(|(_, left), (_, right)| left.weighted_len().total_cmp(&right.weighted_len()));
        let (_, flow) = longest.filter(|(_, flow)| flow.weighted_len() >= weighted_own_len)?;
        let evicted = flow.pop_newest()?;
        self.len -= 1;
        Some(evicted)
    }

    /// Removes empty flows whose start tag would not delay a new request.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| flow.len() > 0 || flow.start_tag() > virtual_time);
    }
}
