//! Requests of a node that one target has not answered.

use std::cell::RefCell;
use std::rc::Rc;

use wagtailmoor_core::Instant;

#[derive(Debug)]
struct Entry {
    number: u64,
    silent_from: Instant,
    reported_silent: bool,
}

#[derive(Debug, Default)]
struct Entries {
    next_number: u64,
    open: Vec<Entry>,
}

/// Counts a request as unanswered at its target until it is dropped.
#[derive(Debug)]
pub struct UnansweredGuard {
    number: u64,
    entries: Rc<RefCell<Entries>>,
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        self.entries.borrow_mut().open.retain(|entry| entry.number != self.number);
    }
}

/// Requests of a node that one target has not answered. A request without an answer for several
/// times the expected time is silent: the target has most likely dropped it.
#[derive(Debug, Default)]
pub(crate) struct UnansweredList {
    entries: Rc<RefCell<Entries>>,
}

impl UnansweredList {
    /// Adds a request that turns silent at `silent_from`.
    pub(crate) fn start(&self, silent_from: Instant) -> UnansweredGuard {
        let mut entries = self.entries.borrow_mut();
        let number = entries.next_number;
        entries.next_number += 1;
        entries.open.push(Entry { number, silent_from, reported_silent: false });
        UnansweredGuard { number, entries: Rc::clone(&self.entries) }
    }

    /// Returns the number of requests that are not silent.
    pub(crate) fn waiting(&self, now: Instant) -> u32 {
        let entries = self.entries.borrow();
        entries.open.iter().filter(|entry| now < entry.silent_from).count() as u32
    }

    /// Returns the number of requests that turned silent since the last call.
    pub(crate) fn take_silent(&self, now: Instant) -> u32 {
        let mut entries = self.entries.borrow_mut();
        let open = entries.open.iter_mut();
        let silent = open.filter(|entry| now >= entry.silent_from && !entry.reported_silent);
        silent.map(|entry| entry.reported_silent = true).count() as u32
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.borrow().open.is_empty()
    }
}
