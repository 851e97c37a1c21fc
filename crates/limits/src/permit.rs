//! A permit for one request or connection at a target.

use std::cell::Cell;
use std::rc::Rc;

/// Permission to run one request, or to keep one connection open, at a target.
///
/// Dropping it returns the permit to the holder. The caller must end or abort the request within
/// the resource's [`crate::PermitLimit::request_max`].
#[derive(Debug)]
#[must_use = "dropping the permit returns it"]
pub struct Permit {
    in_use: Rc<Cell<u32>>,
}

impl Permit {
    pub(crate) fn new(in_use: &Rc<Cell<u32>>) -> Self {
        in_use.set(in_use.get() + 1);
        Self { in_use: Rc::clone(in_use) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
