//! Slots of a target, which limit the number of concurrent requests.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts running and waiting requests.
#[derive(Default)]
pub(crate) struct Slots {
    running: Cell<u32>,
    waiting: Cell<u32>,
    released: Notify,
}

/// An occupied slot, released when dropped.
pub(crate) struct SlotGuard {
    slots: Rc<Slots>,
}

struct WaitGuard<'a> {
    slots: &'a Slots,
}

impl Slots {
    pub(crate) fn running(&self) -> u32 {
        self.running.get()
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.get()
    }

    /// Waits until fewer than `count` slots are in use, then occupies one. `count` is read again
    /// after each release, because the settings may change in the meantime.
    pub(crate) async fn acquire(self: &Rc<Self>, count: impl Fn() -> u32) -> SlotGuard {
        if self.running.get() >= count() {
            self.waiting.set(self.waiting.get() + 1);
            let _waiting = WaitGuard { slots: self };
            while self.running.get() >= count() {
                self.released.notified().await;
            }
        }
        self.running.set(self.running.get() + 1);
        SlotGuard { slots: self.clone() }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.running.set(self.slots.running.get() - 1);
        self.slots.released.notify_one();
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.slots.waiting.set(self.slots.waiting.get() - 1);
    }
}
