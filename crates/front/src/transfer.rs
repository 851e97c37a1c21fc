//! Transfer of a request's body to a target.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use wagtailmoor_core::ByteCount;

/// How far a request's body has been sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    /// There is no body to send.
    #[default]
    Empty,
    /// Hyper has not taken the whole body yet.
    Unread,
    /// The end of the body is in hyper's write buffer.
    Buffered,
    /// The socket has accepted the whole body.
    Written,
}

/// The state of the latest request on a connection to a target, as far as its body is concerned.
///
/// The body, the socket and the exchange of the request report to it. It decides whether the
/// connection may carry another request, and how it is closed.
#[derive(Debug, Default)]
pub(crate) struct Transfer {
    progress: Cell<Progress>,
    body_bytes: Cell<u64>,
    in_exchange: Cell<bool>,
    socket_closed: Cell<bool>,
    changed: Notify,
}

impl Transfer {
    /// Starts the exchange of another request.
    pub(crate) fn start(self: &Rc<Self>, has_body: bool) -> BodyGuard {
        self.progress.set(match has_body {
            true => Progress::Unread,
            false => Progress::Empty,
        });
        self.body_bytes.set(0);
        self.in_exchange.set(true);
        BodyGuard { transfer: Rc::clone(self), ended: !has_body }
    }

    /// Called when the response was received completely.
    pub(crate) fn end_exchange(&self) {
        self.in_exchange.set(false);
        self.changed.notify_waiters();
    }

    /// Called when the socket has accepted everything that hyper had to write.
    pub(crate) fn on_flush(&self) {
        if self.progress.get() == Progress::Buffered {
            self.progress.set(Progress::Written);
            self.changed.notify_waiters();
        }
    }

    /// Called when the socket is closed.
    pub(crate) fn on_socket_closed(&self) {
        self.socket_closed.set(true);
        self.changed.notify_waiters();
    }

    /// Returns whether the socket has accepted the whole body.
    pub(crate) fn is_written(&self) -> bool {
        matches!(self.progress.get(), Progress::Empty | Progress::Written)
    }

    /// Returns whether bytes that the target has not received are to be delivered although the
    /// socket is closed. Those of a cancelled request are not, nor is a part of a body.
    pub(crate) fn delivers_after_close(&self) -> bool {
        !self.in_exchange.get() && self.progress.get() == Progress::Written
    }

    /// Waits until no exchange is running.
    pub(crate) async fn exchange_ended(&self) {
        self.wait_until(|transfer| !transfer.in_exchange.get()).await;
    }

    /// Waits until the socket is closed.
    pub(crate) async fn socket_closed(&self) {
        self.wait_until(|transfer| transfer.socket_closed.get()).await;
    }

    /// Waits until the socket has accepted the whole body, is closed, or more than `size_max` of
    /// the body was read since the call.
    pub(crate) async fn remainder_ended(&self, size_max: ByteCount) {
        let end = self.body_bytes.get().saturating_add(size_max.get());
        self.wait_until(|transfer| {
            transfer.is_written() || transfer.socket_closed.get() || transfer.body_bytes.get() > end
        })
        .await;
    }

    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            // Created first, so that no change between the check and the wait is missed.
            let changed = self.changed.notified();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }
}

/// Held by a request's body; reports what hyper takes of it.
#[derive(Debug)]
pub(crate) struct BodyGuard {
    transfer: Rc<Transfer>,
    ended: bool,
}

impl BodyGuard {
    /// Called when bytes of the body are passed to hyper.
    pub(crate) fn on_data(&self, bytes: usize) {
        let sent = self.transfer.body_bytes.get().saturating_add(bytes as u64);
        self.transfer.body_bytes.set(sent);
        self.transfer.changed.notify_waiters();
    }

    /// Called when the end of the body is passed to hyper.
    pub(crate) fn on_end(&mut self) {
        self.ended = true;
    }
}

impl Drop for BodyGuard {
    /// Hyper drops a body after it has put its end into the write buffer.
    fn drop(&mut self) {
        if self.ended && self.transfer.progress.get() == Progress::Unread {
            self.transfer.progress.set(Progress::Buffered);
        }
    }
}
