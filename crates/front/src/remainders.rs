//! Request bodies of which a remainder is sent after the response.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts the connections that carry the remainder of a request's body.
#[derive(Debug, Default)]
pub(crate) struct Remainders {
    count: Cell<u32>,
    last_ended: Notify,
}

impl Remainders {
    /// Counts a connection until the guard is dropped.
    pub(crate) fn start(self: &Rc<Self>) -> RemainderGuard {
        self.count.set(self.count.get() + 1);
        RemainderGuard(Rc::clone(self))
    }

    /// Waits until no connection is counted.
    pub(crate) async fn ended(&self) {
        while self.count.get() > 0 {
            self.last_ended.notified().await;
        }
    }
}

/// Counts a connection in [`Remainders`] until dropped.
#[derive(Debug)]
pub(crate) struct RemainderGuard(Rc<Remainders>);

impl Drop for RemainderGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.last_ended.notify_one();
    }
}
