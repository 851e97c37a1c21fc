//! Shared storage of the counters that keyed targets update.

use std::cell::RefCell;
use std::collections::HashMap;

/// One counter for each key, shared by all keyed targets like their storage in production.
///
/// A target loads a counter when the first request for the key starts, and stores it after each
/// change. Two targets that work on the same key concurrently lose updates, as they would in
/// production; the history checker detects that.
#[derive(Default)]
pub(crate) struct KeyStore {
    counters: RefCell<HashMap<String, u64>>,
}

impl KeyStore {
    pub(crate) fn load(&self, key: &str) -> u64 {
        self.counters.borrow().get(key).copied().unwrap_or_default()
    }

    pub(crate) fn store(&self, key: &str, value: u64) {
        self.counters.borrow_mut().insert(key.to_owned(), value);
    }
}

/// Counters that a target has loaded for its running requests.
#[derive(Default)]
pub(crate) struct WorkingSet {
    entries: RefCell<HashMap<String, Entry>>,
}

struct Entry {
    value: u64,
    users: usize,
}

impl WorkingSet {
    /// Registers a request for a key; loads the counter if it is the first one.
    pub(crate) fn acquire(&self, store: &KeyStore, key: &str) {
        let mut entries = self.entries.borrow_mut();
        let load = || Entry { value: store.load(key), users: 0 };
        entries.entry(key.to_owned()).or_insert_with(load).users += 1;
    }

    /// Ends a request for a key; drops the counter if it was the last one.
    pub(crate) fn release(&self, key: &str) {
        let mut entries = self.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(key) {
            entry.users -= 1;
            if entry.users == 0 {
                entries.remove(key);
            }
        }
    }

    /// Adds to the counter of a key and returns the result.
    pub(crate) fn add(&self, store: &KeyStore, key: &str, amount: u64) -> u64 {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(key) else { return store.load(key) };
        entry.value += amount;
        if amount > 0 {
            store.store(key, entry.value);
        }
        entry.value
    }
}
