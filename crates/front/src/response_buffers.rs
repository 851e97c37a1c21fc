//! The memory for responses that are read before they are forwarded.

use std::cell::Cell;
use std::rc::Rc;

/// Limit on the buffered bytes of all responses together.
const BUFFERED_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Counts the buffered bytes of all responses of a process.
///
/// A response that gets no more memory is forwarded as it arrives. Without the limit, targets that
/// send without end could fill the memory of the process through many requests at once.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffers {
    buffered_bytes: Cell<usize>,
}

/// The buffered bytes of one response, released when dropped.
#[derive(Debug)]
pub(crate) struct BufferReservation {
    buffers: Rc<ResponseBuffers>,
    reserved_bytes: usize,
}

impl BufferReservation {
    pub(crate) fn new(buffers: &Rc<ResponseBuffers>) -> Self {
        Self { buffers: Rc::clone(buffers), reserved_bytes: 0 }
    }

    /// Adds received bytes. Returns whether more may be buffered.
    pub(crate) fn add(&mut self, received_bytes: usize) -> bool {
        self.reserved_bytes += received_bytes;
        let buffered_bytes = self.buffers.buffered_bytes.get() + received_bytes;
        self.buffers.buffered_bytes.set(buffered_bytes);
        buffered_bytes < BUFFERED_MAX_BYTES
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let buffered_bytes = self.buffers.buffered_bytes.get();
        self.buffers.buffered_bytes.set(buffered_bytes - self.reserved_bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a limit for each response in place of one for all, and against memory that is
    // never released.
    #[test]
    fn all_responses_share_the_limit() {
        let buffers = Rc::default();
        let mut first = BufferReservation::new(&buffers);
        let mut second = BufferReservation::new(&buffers);
        assert!(first.add(BUFFERED_MAX_BYTES / 2));
        assert!(!second.add(BUFFERED_MAX_BYTES / 2));
        drop(first);
        assert!(second.add(BUFFERED_MAX_BYTES / 2 - 1));
        drop(second);
        assert_eq!(buffers.buffered_bytes.get(), 0);
    }
}
