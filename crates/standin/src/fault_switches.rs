//! Simulated crashes and freezes of a target.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

/// Switches that take a target down or freeze it.
pub(crate) struct FaultSwitches {
    frozen: watch::Sender<bool>,
    down: watch::Sender<bool>,
    blocked: Cell<u32>,
}

struct BlockedGuard<'a>(&'a Cell<u32>);

impl Default for FaultSwitches {
    fn default() -> Self {
        let (frozen, down) = (watch::Sender::new(false), watch::Sender::new(false));
        Self { frozen, down, blocked: Cell::new(0) }
    }
}

impl FaultSwitches {
    /// Freezes the target, until `thaw` if no time is given.
    pub(crate) fn freeze(self: &Rc<Self>, time: Option<Duration>) {
        self.frozen.send_replace(true);
        self.revert_after(time, |faults| faults.thaw());
    }

    pub(crate) fn thaw(&self) {
        self.frozen.send_replace(false);
    }

    /// Takes the target down, until `bring_up` if no time is given.
    pub(crate) fn take_down(self: &Rc<Self>, time: Option<Duration>) {
        self.down.send_replace(true);
        self.revert_after(time, |faults| faults.bring_up());
    }

    pub(crate) fn bring_up(&self) {
        self.down.send_replace(false);
    }

    pub(crate) fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    pub(crate) fn is_frozen(&self) -> bool {
        *self.frozen.borrow()
    }

    /// Returns the number of requests that are waiting for the end of a freeze.
    pub(crate) fn blocked_count(&self) -> u32 {
        self.blocked.get()
    }

    /// Waits until the target is not frozen; returns at once if it is not.
    pub(crate) async fn wait_until_thawed(&self) {
        if self.is_frozen() {
            self.blocked.set(self.blocked.get() + 1);
            let _blocked = BlockedGuard(&self.blocked);
            wait_for(&self.frozen, false).await;
        }
    }

    pub(crate) async fn wait_until_down(&self) {
        wait_for(&self.down, true).await;
    }

    pub(crate) async fn wait_until_up(&self) {
        wait_for(&self.down, false).await;
    }

    fn revert_after(self: &Rc<Self>, time: Option<Duration>, revert: fn(&Self)) {
        let Some(time) = time else { return };
        let faults = self.clone();
        tokio::task::spawn_local(async move {
            time::sleep(time).await;
            revert(&faults);
        });
    }
}

impl Drop for BlockedGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn wait_for(switch: &watch::Sender<bool>, state: bool) {
    // The borrowed sender outlives the receiver, so the wait cannot fail.
    let _ = switch.subscribe().wait_for(|value| *value == state).await;
}
