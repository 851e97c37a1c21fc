//! Guard that counts a request in flight at a target.

use std::cell::Cell;
use std::rc::Rc;

/// Guard of one request in flight at a target, which holds the permit for it.
///
/// Dropping the guard decrements the target's in-flight count and drops the permit.
#[derive(Debug)]
pub struct InFlight<P> {
    count: Rc<Cell<u32>>,
    permit: P,
}

impl<P> InFlight<P> {
    pub(crate) fn start(count: &Rc<Cell<u32>>, permit: P) -> Self {
        count.set(count.get() + 1);
        Self { count: Rc::clone(count), permit }
    }

    /// Returns the permit, which is released with the guard.
    pub fn permit(&self) -> &P {
        &self.permit
    }
}

impl<P> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
