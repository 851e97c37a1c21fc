//! Queue of one customer within a fair queue.

use std::collections::VecDeque;

use wagtailmoor_core::{Instant, Weight};

/// A queued request.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    pub(crate) number: u64,
    pub(crate) deadline: Instant,
    pub(crate) item: T,
}

/// Queued requests of one customer, with the start tag of the first.
#[derive(Debug)]
pub(crate) struct FairFlow<T> {
    entries: VecDeque<Entry<T>>,
    weight: f64,
    start_tag: f64,
}

impl<T> Default for FairFlow<T> {
    fn default() -> Self {
        Self { entries: VecDeque::new(), weight: 1.0, start_tag: 0.0 }
    }
}

impl<T> FairFlow<T> {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the start tag of the next request.
    pub(crate) fn start_tag(&self) -> f64 {
        self.start_tag
    }

    pub(crate) fn weighted_len(&self) -> f64 {
        self.entries.len() as f64 / self.weight
    }

    pub(crate) fn push(&mut self, virtual_time: f64, weight: Weight, entry: Entry<T>) {
        if self.entries.is_empty() {
            self.start_tag = self.start_tag.max(virtual_time);
        }
        self.weight = f64::from(weight.get().max(1));
        self.entries.push_back(entry);
    }

    /// Removes the oldest request and advances the start tag.
    pub(crate) fn pop(&mut self) -> Option<T> {
        let entry = self.entries.pop_front()?;
        self.start_tag += 1.0 / self.weight;
        Some(entry.item)
    }

    /// Removes the newest request. It was not served, so the start tag does not advance.
    pub(crate) fn pop_newest(&mut self) -> Option<T> {
        self.entries.pop_back().map(|entry| entry.item)
    }

    /// Moves requests at the front whose deadline is before `earliest_end` to `expired`, and
    /// returns their number.
    pub(crate) fn drop_expired(&mut self, earliest_end: Instant, expired: &mut Vec<T>) -> usize {
        let before = expired.len();
        while let Some(entry) = self.entries.pop_front_if(|entry| entry.deadline < earliest_end) {
            expired.push(entry.item);
        }
        expired.len() - before
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<T> {
        let index = self.entries.binary_search_by_key(&number, |entry| entry.number).ok()?;
        self.entries.remove(index).map(|entry| entry.item)
    }

    pub(crate) fn into_items(self) -> impl Iterator<Item = T> {
        self.entries.into_iter().map(|entry| entry.item)
    }
}
